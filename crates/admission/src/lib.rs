//! Admission to a node's connections: which are accepted, which are evicted, and their timeouts.
//!
//! Owns the budget of descriptors and bytes, the table of clients' connections and their timers. It has no sockets and
//! no clock: time comes in as a [`Duration`](std::time::Duration) since some start, effects go out as values, and equal
//! inputs give equal outputs. It never answers a request: what is refused is for the decision module to say.

#![warn(missing_docs)]

mod budget;
mod connections;
mod linked_lists;
mod timer_wheel;

pub use budget::{Budget, ConnectionKind, Lease, LeaseError, Quota, Usage};
pub use connections::{
    CloseCause, ConnectionId, ConnectionLimits, ConnectionStats, ConnectionTable, Directive, Phase,
};
pub use linked_lists::LinkedLists;
pub use timer_wheel::TimerWheel;
