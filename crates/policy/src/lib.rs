//! Load-balancing policy: endpoint selection, retries and load shedding.
//!
//! A [`Balancer`] makes the decisions of one node. It does no I/O and has no clock: the caller
//! provides the random seed and the time of each event, and performs the resulting [`Action`]s.
//! Equal events give equal actions.
//!
//! [`api`] is the interface and [`balancer`] the event handling. Each other module is one
//! mechanism; the balancer calls the mechanisms, and no mechanism depends on the balancer.
#![warn(missing_docs)]

pub mod api;
pub mod balancer;
mod breaker;
mod cached_keys;
mod class_states;
mod concurrency_limit;
mod decay;
mod endpoint_speed;
mod endpoint_table;
mod hashing;
mod idempotency;
mod latency;
mod load_shedding;
mod origin_protection;
mod outlier;
mod pending;
mod poll_schedule;
mod queue;
mod random;
mod retry_budget;
mod slow_start;
mod zone_breakers;

pub use api::*;
pub use balancer::Balancer;
