//! What a relay tells of itself, as JSON.

use serde::{Deserialize, Serialize};

/// Where the status is asked for.
pub const STATUS_PATH: &str = "/v1/relay";

/// Messages with callers since the start. Bytes are those of whole HTTP messages, without TCP and IP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerCounts {
    /// Calls for the whole list.
    pub whole_calls: u64,
    /// Calls for what is newer than a version.
    pub watch_calls: u64,
    /// Bytes of these calls.
    pub call_bytes: u64,
    /// Answers with the whole list.
    pub whole_answers: u64,
    /// Answers with changes.
    pub change_answers: u64,
    /// Answers without news.
    pub empty_answers: u64,
    /// Calls that were answered 503: no list, an expired lease, or a version that upstream did not confirm.
    pub refused: u64,
    /// Bytes of all answers to calls.
    pub answer_bytes: u64,
    /// Entries in all answers.
    pub entries: u64,
    /// Connections on which a list was asked for.
    pub connections: u64,
    /// Connections that were refused: there were as many as may be.
    pub connections_refused: u64,
}

/// Messages with upstream since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Calls that were made.
    pub calls: u64,
    /// Calls that brought no list.
    pub failed: u64,
    /// Lists that were applied.
    pub applied: u64,
    /// Lists that were read and not applied.
    pub rejected: u64,
}

/// A relay's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The version of the list that it holds.
    pub version: Option<u64>,
    /// Servers in it.
    pub servers: usize,
    /// Epochs that began: one with the first list, and one each time versions went back.
    pub epochs: u64,
    /// Bytes of the changes that are kept.
    pub history_bytes: usize,
    /// Until callers are failed, unless upstream is heard; `None` without a list, 0 where they are failed.
    pub lease_left_ms: Option<u64>,
    /// Connections of callers that are open.
    pub open: usize,
    /// The most there may be.
    pub most_open: usize,
    /// Callers that have the version held and wait for a newer one.
    pub waiting: usize,
    /// Messages with callers.
    pub callers: CallerCounts,
    /// Messages with upstream.
    pub upstream: UpstreamCounts,
}
