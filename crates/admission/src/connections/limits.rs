//! The limits of a connection table, and the counts that it reports.

use super::{CloseCause, Phase};
use std::time::Duration;

/// The limits of a connection table.
#[derive(Clone, Debug, Default)]
pub struct ConnectionLimits {
    /// With this many connections in use (processing, writing a response or idle), a connection closes with its
    /// response, so that other clients get a descriptor.
    pub keep_alive_limit: usize,
    /// An idle connection closes after this time.
    pub idle_timeout: Duration,
    /// Connections that one client address may have; `None` for any number.
    pub per_address: Option<usize>,
    /// Requests in flight that each class may have, by the class's number; `None` for any number, as for classes past
    /// the end.
    pub per_class: Vec<Option<usize>>,
    /// Bytes of memory that a connection in use is counted as.
    pub active_bytes: usize,
    /// Bytes of memory that a connection is counted as that holds nothing but its socket.
    pub parked_bytes: usize,
}

/// Counts of a table's connections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionStats {
    /// Connections in each phase at present, in the order of [`Phase::ALL`].
    pub phases: [usize; Phase::ALL.len()],
    /// Accepted connections that wait for a descriptor at present.
    pub waiting: usize,
    /// Connections closed since the start, in the order of [`CloseCause::ALL`].
    pub closed: [u64; CloseCause::ALL.len()],
    /// Connections refused and requests shed since the start, in the order of [`CloseCause::ALL`].
    pub refused: [u64; CloseCause::ALL.len()],
}
