//! Admission control for a node's connections: acceptance, eviction and timeouts.
//!
//! Owns the [`Budget`] of descriptors and bytes, the [`ConnectionTable`] with its timers, and the
//! [`ReadScheduler`] that shares the node among connections. Uses no sockets and no clock: time is
//! passed in as a [`Duration`](std::time::Duration) since an
//! origin chosen by the caller, effects are returned as values, and equal inputs produce equal
//! outputs. Never answers a request: the decision module decides which requests are shed.

#![warn(missing_docs)]

mod budget;
mod connections;
mod linked_lists;
mod read_scheduler;
mod timer_wheel;

pub use budget::{
    Budget, ByteReservation, ConnectionKind, LargeMessageLimit, Lease, LeaseError, Quota, Usage,
};
pub use connections::{
    AddressQuotaExceeded, CloseCause, ConnectionId, ConnectionLimits, ConnectionStats,
    ConnectionTable, Directive, KeepAlive, MemoryShortage, Phase,
};
pub use read_scheduler::ReadScheduler;
pub use timer_wheel::TimerWheel;
