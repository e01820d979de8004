//! Admission to a node's connections: which are accepted, which are evicted, and their timeouts.
//!
//! Owns the [`Budget`] of descriptors and bytes, and the [`ConnectionTable`] with its timers. It has no sockets and no
//! clock: time comes in as a [`Duration`](std::time::Duration) since some origin, effects go out as values, and equal
//! inputs give equal outputs. It never answers a request: which ones are shed is up to the decision module.

#![warn(missing_docs)]

mod budget;
mod connections;
mod linked_lists;
mod timer_wheel;

pub use budget::{Budget, ConnectionKind, Lease, LeaseError, Quota, Usage};
pub use connections::{
    AddressQuotaExceeded, CloseCause, ConnectionId, ConnectionLimits, ConnectionStats,
    ConnectionTable, Directive, KeepAlive, MemoryShortage, Phase,
};
pub use timer_wheel::TimerWheel;
