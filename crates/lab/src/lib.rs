//! Test platform on loopback around real nodes, with a checker that observes them from outside.
//!
//! Owns stand-ins for discovery, cache servers, the player database, the front and the clients;
//! open-loop load generated in advance from a seed; scheduled faults; the rules; the reports. The
//! models (`model`, `plan`, `rules`, `report`) do no I/O: time is passed as an argument, randomness
//! as a seed. The verdict relies only on the observations of stand-ins and clients, never on data
//! that a node reports about itself.
#![warn(missing_docs)]

pub mod client;
pub mod compare;
pub mod core_share;
pub mod discovery;
pub mod flood;
pub mod http;
pub mod idle;
pub mod list_protocol;
pub mod model;
pub mod nodes;
pub mod page;
pub mod plan;
pub mod record;
pub mod report;
pub mod rules;
pub mod run;
pub mod scale;
pub mod scenario;
pub mod servers;
