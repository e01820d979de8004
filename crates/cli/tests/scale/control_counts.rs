//! Counts of control traffic, either read from a report or computed from the expected calls of one
//! caller.

use serde_json::Value;
use std::array;

/// Names of the counts in a report, in the order of [`ControlCounts`].
const NAMES: [&str; 8] = [
    "whole_calls",
    "watch_calls",
    "call_bytes",
    "whole_answers",
    "change_answers",
    "answer_bytes",
    "entries",
    "connections",
];

/// Calls, answers and connections between a caller and its source of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlCounts([u64; 8]);

impl ControlCounts {
    /// Reads the counts from an object of a report.
    pub fn read(counts: &Value) -> Self {
        Self(NAMES.map(|name| counts[name].as_u64().unwrap()))
    }

    /// Reads the counts of a group of nodes, or of discovery, from a report.
    pub fn of_group(report: &Value, group: &str) -> Self {
        Self::read(&report["counts"][group])
    }

    /// Computes the counts of a caller that fetches this number of snapshots. Each snapshot is
    /// followed by `deltas_after_each` deltas of one entry, and by a watch that is still waiting.
    pub fn of_caller(snapshots: u64, deltas_after_each: u64, servers: u64) -> Self {
        let watches = deltas_after_each + 1;
        let call_bytes =
            call_bytes("/v1/servers") + watches * call_bytes("/v1/servers?after=1&wait_ms=60000");
        let answer_bytes = answer_bytes(true, servers, "ready")
            + deltas_after_each * answer_bytes(false, 1, "draining");
        let counts_per_snapshot = [
            1,
            watches,
            call_bytes,
            1,
            deltas_after_each,
            answer_bytes,
            servers + deltas_after_each,
            1,
        ];
        Self(counts_per_snapshot.map(|count| snapshots * count))
    }

    /// Returns the counts of this number of identical callers.
    pub fn times(self, callers: u64) -> Self {
        Self(array::from_fn(|index| callers * self.0[index]))
    }
}

/// Returns the length of a call to an address with a port of five digits.
fn call_bytes(target: &str) -> u64 {
    format!("GET {target} HTTP/1.1\r\nhost: 127.0.0.1:40000\r\n\r\n").len() as u64
}

/// Returns the length of an answer with this number of entries, all with the same health.
fn answer_bytes(whole: bool, entries: u64, health: &str) -> u64 {
    let entry = format!(
        "{{\"host\":\"server-00000\",\"dial\":\"127.0.0.1:40000\",\"site\":\"zone-0\",\"class\":\"lab\",\"block\":0,\
         \"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}"
    );
    let commas = entries.saturating_sub(1);
    let list = format!("{{\"seq\":1,\"whole\":{whole},\"hosts\":[]}}");
    let body = list.len() as u64 + entries * entry.len() as u64 + commas;
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {body}\r\n\r\n"
    );
    head.len() as u64 + body
}
