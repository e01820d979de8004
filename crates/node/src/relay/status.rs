//! A relay's state and counters, as its status resource states them in JSON.

use serde::{Deserialize, Serialize};

/// Path of the status resource.
pub const STATUS_PATH: &str = "/v1/relay";

/// Messages exchanged with downstream clients since the relay's start. Bytes are those of whole HTTP messages, without the
/// headers of TCP and IP.
///
/// The scale run keeps a similar record of discovery's messages, `ControlCounts` of `slatelink-lab`. The two stay apart
/// because their last fields differ in meaning: connections that were rejected here, and connections that were reset there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DownstreamCounts {
    /// Calls for a snapshot.
    #[serde(rename = "whole_calls")]
    pub snapshot_calls: u64,
    /// Calls for what is newer than a version.
    pub watch_calls: u64,
    /// Bytes of these calls.
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
    /// Calls answered 503: there is no list, the lease has expired, or upstream did not confirm the client's version.
    #[serde(rename = "refused")]
    pub rejected_calls: u64,
    /// Bytes of all answers to calls.
    pub answer_bytes: u64,
    /// Endpoint records in all answers.
    #[serde(rename = "entries")]
    pub answer_records: u64,
    /// Connections on which the list was asked for at least once.
    pub connections: u64,
    /// Connections rejected because the limit on open connections was reached.
    #[serde(rename = "connections_refused")]
    pub rejected_connections: u64,
}

/// Messages exchanged with upstream since the relay's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Calls that were made.
    pub calls: u64,
    /// Calls that brought no update.
    #[serde(rename = "failed")]
    pub failed_calls: u64,
    /// Updates that were applied.
    #[serde(rename = "applied")]
    pub applied_updates: u64,
    /// Updates that were read and not applied.
    #[serde(rename = "rejected")]
    pub rejected_updates: u64,
}

/// A relay's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayStatus {
    /// Version of the endpoint list held.
    pub version: Option<u64>,
    /// Endpoints in the list held.
    #[serde(rename = "servers")]
    pub endpoints: usize,
    /// Epochs begun: one with the first list, and one each time upstream's versions went back.
    pub epochs: u64,
    /// Bytes of the changes kept to answer with deltas.
    pub history_bytes: usize,
    /// Milliseconds until the lease expires; `None` without a list, 0 once it has expired.
    #[serde(rename = "lease_left_ms")]
    pub lease_remaining_ms: Option<u64>,
    /// Open connections of downstream clients.
    #[serde(rename = "open")]
    pub open_connections: usize,
    /// Upper bound of `open_connections`.
    #[serde(rename = "most_open")]
    pub max_connections: usize,
    /// Watches of clients that have the version held and wait for a newer one.
    #[serde(rename = "waiting")]
    pub waiting_watches: usize,
    /// Messages exchanged with downstream clients.
    #[serde(rename = "callers")]
    pub downstream: DownstreamCounts,
    /// Messages exchanged with upstream.
    pub upstream: UpstreamCounts,
}
