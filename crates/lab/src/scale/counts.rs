//! Messages and bytes of control, as discovery's stand-in counts them.

use serde::{Deserialize, Serialize};
use slatelink_node::relay::DownstreamCounts;
use std::ops::{Add, Sub};

/// Control between discovery and a group of nodes. Bytes are those of whole HTTP messages, without TCP and IP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlCounts {
    /// Calls for the whole list.
    pub whole_calls: u64,
    /// Calls for what is newer than a version.
    pub watch_calls: u64,
    /// Bytes of all calls.
    pub call_bytes: u64,
    /// Answers with the whole list.
    pub whole_answers: u64,
    /// Answers with changes.
    pub change_answers: u64,
    /// Answers without news.
    pub empty_answers: u64,
    /// Calls that were turned away.
    pub refused: u64,
    /// Bytes of all answers.
    pub answer_bytes: u64,
    /// Entries in all answers.
    pub entries: u64,
    /// Connections that were made.
    pub connections: u64,
    /// Connections that discovery reset.
    pub resets: u64,
}

impl ControlCounts {
    /// Messages from nodes to discovery.
    pub fn calls(&self) -> u64 {
        self.whole_calls + self.watch_calls
    }

    /// Messages from discovery to nodes.
    pub fn answers(&self) -> u64 {
        self.whole_answers + self.change_answers + self.empty_answers + self.refused
    }

    fn combine(self, other: Self, with: fn(u64, u64) -> u64) -> Self {
        Self {
            whole_calls: with(self.whole_calls, other.whole_calls),
            watch_calls: with(self.watch_calls, other.watch_calls),
            call_bytes: with(self.call_bytes, other.call_bytes),
            whole_answers: with(self.whole_answers, other.whole_answers),
            change_answers: with(self.change_answers, other.change_answers),
            empty_answers: with(self.empty_answers, other.empty_answers),
            refused: with(self.refused, other.refused),
            answer_bytes: with(self.answer_bytes, other.answer_bytes),
            entries: with(self.entries, other.entries),
            connections: with(self.connections, other.connections),
            resets: with(self.resets, other.resets),
        }
    }
}

/// What a relay counted with its callers.
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
