//! Counts of control traffic: as a report has them, and as they follow from the calls and answers of one caller.

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
    /// Reads them from an object of a report.
    pub fn read(counts: &Value) -> Self {
        Self(NAMES.map(|name| counts[name].as_u64().unwrap()))
    }

    /// Reads those of a group of nodes, or of discovery, from a report.
    pub fn of_group(report: &Value, group: &str) -> Self {
        Self::read(&report["counts"][group])
    }

    /// Those of a caller that has called for snapshots, each followed by as many deltas of one entry and by a watch that waits at
    /// the end.
    pub fn of_caller(snapshots: u64, deltas_after_each: u64, servers: u64) -> Self {
        let watches = deltas_after_each + 1;
        let call_bytes =
            call_bytes("/v1/servers") + watches * call_bytes("/v1/servers?after=1&wait_ms=60000");
        let answer_bytes = answer_bytes(true, servers, "ready")
            + deltas_after_each * answer_bytes(false, 1, "draining");
        let each = [
            1,
            watches,
            call_bytes,
            1,
            deltas_after_each,
            answer_bytes,
            servers + deltas_after_each,
            1,
        ];
        Self(each.map(|count| snapshots * count))
    }

    /// Those of so many callers that are alike.
    pub fn times(self, callers: u64) -> Self {
        Self(array::from_fn(|index| callers * self.0[index]))
    }
}

/// Length of a call, to an address with a port of five digits.
fn call_bytes(target: &str) -> u64 {
    format!("GET {target} HTTP/1.1\r\nhost: 127.0.0.1:40000\r\n\r\n").len() as u64
}

/// Length of an answer with so many entries, all of this health.
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
