//! The decision module: which server a request goes to, whether it is tried again, what is refused.
//!
//! Owns the breakers, the order of a key's servers, in-flight limits and the retry budget. It never does I/O and has no
//! clock: events come in with their time, randomness is a seed, and what must be done goes out as [`Action`]s. Equal
//! events give equal actions.
#![warn(missing_docs)]

pub mod api;
pub mod balance;

pub use api::*;
pub use balance::Balancer;
