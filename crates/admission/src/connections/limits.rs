//! Limits of a connection table, and the counts that it reports.

use super::{CloseCause, Phase};
use std::time::Duration;

/// Limits of a connection table.
#[derive(Clone, Debug, Default)]
pub struct ConnectionLimits {
    /// Number of connections in use (processing, writing a response or idle) from which connections
    /// close with their response, to free descriptors for other clients.
    pub keep_alive_limit: usize,
    /// Time after which an idle connection closes.
    pub idle_timeout: Duration,
    /// Maximum number of connections per client address; `None` for no limit.
    pub per_address: Option<usize>,
    /// Maximum number of requests in flight per class, by class number; no limit for `None` and for
    /// classes past the end.
    pub per_class: Vec<Option<usize>>,
    /// Bytes of memory charged for a connection in use.
    pub active_bytes: usize,
    /// Bytes of memory charged for a connection that holds only its socket.
    pub parked_bytes: usize,
}

/// Counts of a table's connections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionStats {
    /// Current number of connections in each phase, in the order of [`Phase::ALL`].
    pub phases: [usize; Phase::ALL.len()],
    /// Current number of accepted connections that wait for a descriptor.
    pub waiting: usize,
    /// Number of connections closed since the start, in the order of [`CloseCause::ALL`].
    pub closed: [u64; CloseCause::ALL.len()],
    /// Number of connections refused and requests shed since the start, in the order of
    /// [`CloseCause::ALL`].
    pub refused: [u64; CloseCause::ALL.len()],
}
