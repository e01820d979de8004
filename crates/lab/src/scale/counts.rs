//! Counters of control-plane messages and bytes, as recorded by the simulated discovery.

use serde::{Deserialize, Serialize};
use slatelink_node::relay::DownstreamCounts;
use std::ops::{Add, Sub};

/// Control-plane traffic between discovery and a group of callers. Byte counts cover whole HTTP
/// messages, without TCP and IP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlCounts {
    /// Calls for the complete list.
    pub whole_calls: u64,
    /// Calls for changes after a version.
    pub watch_calls: u64,
    /// Bytes of all calls.
    pub call_bytes: u64,
    /// Answers with the complete list.
    pub whole_answers: u64,
    /// Answers with changes.
    pub change_answers: u64,
    /// Answers without entries.
    pub empty_answers: u64,
    /// Refused calls.
    pub refused: u64,
    /// Bytes of all answers.
    pub answer_bytes: u64,
    /// Entries in all answers.
    pub entries: u64,
    /// Accepted connections.
    pub connections: u64,
    /// Connections reset by discovery.
    pub resets: u64,
}

impl ControlCounts {
    /// Returns the number of messages from callers to discovery.
    pub fn calls(&self) -> u64 {
        self.whole_calls + self.watch_calls
    }

    /// Returns the number of messages from discovery to callers, including refusals.
    pub fn answers(&self) -> u64 {
        self.whole_answers + self.change_answers + self.empty_answers + self.refused
    }

    fn combine(self, other: Self, operation: fn(u64, u64) -> u64) -> Self {
        Self {
            whole_calls: operation(self.whole_calls, other.whole_calls),
            watch_calls: operation(self.watch_calls, other.watch_calls),
            call_bytes: operation(self.call_bytes, other.call_bytes),
            whole_answers: operation(self.whole_answers, other.whole_answers),
            change_answers: operation(self.change_answers, other.change_answers),
            empty_answers: operation(self.empty_answers, other.empty_answers),
            refused: operation(self.refused, other.refused),
            answer_bytes: operation(self.answer_bytes, other.answer_bytes),
            entries: operation(self.entries, other.entries),
            connections: operation(self.connections, other.connections),
            resets: operation(self.resets, other.resets),
        }
    }
}

/// Converts a relay's counters of its own callers.
impl From<DownstreamCounts> for ControlCounts {
    fn from(counts: DownstreamCounts) -> Self {
        Self {
            whole_calls: counts.snapshot_calls,
            watch_calls: counts.watch_calls,
            call_bytes: counts.call_bytes,
            whole_answers: counts.snapshot_answers,
            change_answers: counts.delta_answers,
            empty_answers: counts.unchanged_answers,
            refused: counts.rejected_calls + counts.rejected_connections,
            answer_bytes: counts.answer_bytes,
            entries: counts.answer_records,
            connections: counts.connections,
            resets: 0,
        }
    }
}

impl std::iter::Sum for ControlCounts {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::default(), Add::add)
    }
}

impl Add for ControlCounts {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        self.combine(other, u64::saturating_add)
    }
}

impl Sub for ControlCounts {
    type Output = Self;
    fn sub(self, earlier: Self) -> Self {
        self.combine(earlier, u64::saturating_sub)
    }
}
