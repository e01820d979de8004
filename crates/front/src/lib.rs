//! Admission to a node's connections: who is let in, who gives way, and when a connection's time is up.
//!
//! Owns the budget of descriptors and bytes, the table of clients' connections and their timers. It has no sockets and
//! no clock: time comes in as a [`Duration`](std::time::Duration) since some start, effects go out as values, and equal
//! inputs give equal outputs. It never answers a request: what is refused is the decision module's word.

#![warn(missing_docs)]

mod budget;
mod door;
mod lists;
mod wheel;

pub use budget::{Budget, Held, Lease, Share, Short, Side};
pub use door::{Cause, Door, Figures, Id, Phase, Terms, Told};
pub use lists::Lists;
pub use wheel::Wheel;
