//! Admission to a node's connections: which are accepted, which are evicted, and their timeouts.
//!
//! Owns the budget of descriptors and bytes, the table of clients' connections and their timers. It has no sockets and
//! no clock: time comes in as a [`Duration`](std::time::Duration) since some start, effects go out as values, and equal
//! inputs give equal outputs. It never answers a request: what is refused is for the decision module to say.

#![warn(missing_docs)]

mod budget;
mod connections;
mod lists;
mod wheel;

pub use budget::{Budget, Held, Lease, Share, Short, Side};
pub use connections::{
    Cause, ConnectionId, ConnectionLimits, ConnectionStats, ConnectionTable, Directive, Phase,
};
pub use lists::Lists;
pub use wheel::Wheel;
