//! A relay's state and counters, as reported in JSON by its status resource.

use serde::{Deserialize, Serialize};

/// Path of the status resource.
pub const STATUS_PATH: &str = "/v1/relay";

/// Counts of the messages exchanged with downstream clients since the start of the relay. Bytes are
/// those of complete HTTP messages, without TCP and IP headers.
///
/// The scale run keeps a similar record of discovery's messages, `ControlCounts` of
/// `slatelink-lab`. The two types are separate because their last fields have different meanings:
/// rejected connections here, reset connections there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DownstreamCounts {
    /// Calls for a snapshot.
    #[serde(rename = "whole_calls")]
    pub snapshot_calls: u64,
    /// Calls for the changes after a version.
    pub watch_calls: u64,
    /// Bytes of all calls for a snapshot or for changes.
    pub call_bytes: u64,
    /// Answers with a snapshot.
    #[serde(rename = "whole_answers")]
    pub snapshot_answers: u64,
    /// Answers with a delta that has at least one record.
    #[serde(rename = "change_answers")]
    pub delta_answers: u64,
    /// Answers with an empty delta.
    #[serde(rename = "empty_answers")]
    pub unchanged_answers: u64,
    /// Calls answered with 503: the relay holds no list, the lease has expired, or upstream did not
    /// confirm the client's version.
    #[serde(rename = "refused")]
    pub rejected_calls: u64,
    /// Bytes of all answers to calls.
    pub answer_bytes: u64,
    /// Endpoint records in all answers.
    #[serde(rename = "entries")]
    pub answer_records: u64,
    /// Connections with at least one call for the list.
    pub connections: u64,
    /// Connections rejected because the limit on open connections was reached.
    #[serde(rename = "connections_refused")]
    pub rejected_connections: u64,
}

/// Counts of the messages exchanged with upstream since the start of the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Calls made.
    pub calls: u64,
    /// Calls that returned no update.
    #[serde(rename = "failed")]
    pub failed_calls: u64,
    /// Updates applied.
    #[serde(rename = "applied")]
    pub applied_updates: u64,
    /// Updates read but not applied.
    #[serde(rename = "rejected")]
    pub rejected_updates: u64,
}

/// A relay's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// Version of the held endpoint list.
    pub version: Option<u64>,
    /// Number of endpoints in the held list.
    #[serde(rename = "servers")]
    pub endpoints: usize,
    /// Number of epochs begun: one with the first list, and one each time upstream sends a lower
    /// version or reuses a version for a different list.
    pub epochs: u64,
    /// Bytes of the changes kept to answer with deltas.
    pub history_bytes: usize,
    /// Milliseconds until the lease expires; `None` without a list, 0 after the lease has expired.
    #[serde(rename = "lease_left_ms")]
    pub lease_remaining_ms: Option<u64>,
    /// Number of open connections of downstream clients.
    #[serde(rename = "open")]
    pub open_connections: usize,
    /// Upper bound of `open_connections`.
    #[serde(rename = "most_open")]
    pub max_connections: usize,
    /// Number of watches of clients that have the held version and wait for a newer one.
    #[serde(rename = "waiting")]
    pub waiting_watches: usize,
    /// Counts of the messages exchanged with downstream clients.
    #[serde(rename = "callers")]
    pub downstream: DownstreamCounts,
    /// Counts of the messages exchanged with upstream.
    pub upstream: UpstreamCounts,
}
