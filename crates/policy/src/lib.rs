//! The policy: which endpoint a request goes to, whether it is retried, which requests are shed.
//!
//! A [`Balancer`] decides for one node. It does no I/O and has no clock: events come in with their
//! time, randomness is a seed, and what must be done goes out as [`Action`]s. Equal events give
//! equal actions.
//!
//! [`api`] is the interface and [`balancer`] the way of an event; each other module is one
//! mechanism, which the balancer calls and which knows nothing of it.
#![warn(missing_docs)]

pub mod api;
pub mod balancer;
mod breaker;
mod cached_keys;
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
