//! The limits of a table, and the counts that it reports.

use super::{CloseCause, Phase};
use std::time::Duration;

/// The limits of a table.
#[derive(Clone, Debug, Default)]
pub struct ConnectionLimits {
    /// With this many connections in use, one closes with its response, so that other clients get a turn.
    pub keep_alive_limit: usize,
    /// An idle connection is kept this long.
    pub idle_timeout: Duration,
    /// Connections of one address, at most.
    pub per_address: Option<usize>,
    /// Open requests of each class, at most; classes past its end have no limit.
    pub per_class: Vec<Option<usize>>,
    /// Bytes that a connection in use is counted as.
    pub active_bytes: usize,
    /// Bytes that one is counted as that holds nothing but its socket.
    pub parked_bytes: usize,
}

/// Counts of a table's connections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionStats {
    /// Connections in each phase, by its number.
    pub phases: [usize; Phase::ALL.len()],
    /// Accepted, and waiting for a place.
    pub waiting: usize,
    /// Closed since the start, by the cause's number.
    pub closed: [u64; CloseCause::ALL.len()],
    /// Connections not let in, and requests that the decision module is to refuse, since the start, by the cause's number.
    pub refused: [u64; CloseCause::ALL.len()],
}
