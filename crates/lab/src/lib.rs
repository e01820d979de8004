//! The lab: a whole platform on loopback around real nodes, and the checker that watches from outside.
//!
//! Owns stand-ins for discovery, cache servers, the player database, the front and the clients; open-loop load drawn
//! ahead from a seed; faults on a time line; the rules; the reports. The models (`model`, `plan`, `rules`, `report`) do
//! no I/O: time comes in as an argument, randomness as a seed. Nothing here believes what a node says of itself: the
//! verdict rests on what stand-ins and clients saw.
#![warn(missing_docs)]

pub mod client;
pub mod compare;
pub mod discovery;
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
