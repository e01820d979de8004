//! What is counted between two flushes: requests and attempts by their tags, and how many timers were written.

use slatelink_policy::{ClassId, EndpointId, Status};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// So many series of counters are merged between two flushes; one more, and they go out before the flush.
const MAX_SERIES: usize = 2048;
/// So many timers are written whole each second; what is past them is counted.
pub(super) const MAX_TIMERS_PER_SECOND: u32 = 500;

/// What is counted, in the order in which it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CounterName {
    /// Attempts that have ended.
    Attempts,
    /// Requests that have ended.
    Requests,
}

impl CounterName {
    /// The metric's name, without the common prefix.
    pub(super) const fn metric(self) -> &'static str {
        match self {
            Self::Attempts => "attempt.count",
            Self::Requests => "req.count",
        }
    }

    /// The name of the tag that says how what is counted ended.
    pub(super) const fn outcome_tag(self) -> &'static str {
        match self {
            Self::Attempts => "outcome",
            Self::Requests => "status",
        }
    }
}

/// One series: a counter with its tags.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Series {
    pub(super) name: CounterName,
    /// Position of the class in the settings.
    class: usize,
    pub(super) endpoint: EndpointId,
    /// The value of the tag that says how it ended.
    pub(super) outcome: &'static str,
}

impl Series {
    /// The series of what ended in this way.
    pub(super) const fn new(
        name: CounterName,
        class: ClassId,
        endpoint: EndpointId,
        outcome: &'static str,
    ) -> Self {
        Self {
            name,
            class: class.0,
            endpoint,
            outcome,
        }
    }

    /// The class of requests.
    pub(super) const fn class(&self) -> ClassId {
        ClassId(self.class)
    }
}

/// Counted since the last flush. Where what was written before is stuck they are merged on: no count is lost.
#[derive(Default)]
pub(super) struct Counters(BTreeMap<Series, u64>);

impl Counters {
    /// Counts one more of the series.
    pub(super) fn increment(&mut self, series: Series) {
        *self.0.entry(series).or_default() += 1;
    }

    /// Whether there are as many series as may be merged.
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MAX_SERIES
    }

    /// Whether nothing was counted.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Takes all counts out, in the series' order.
    pub(super) fn take(&mut self) -> BTreeMap<Series, u64> {
        std::mem::take(&mut self.0)
    }
}

/// Bounds the timers that are written in a second, and counts those that are left out.
#[derive(Default)]
pub(super) struct TimerLimit {
    /// When the second that they are counted in began.
    second_start: Option<Instant>,
    written_this_second: u32,
    omitted: u64,
}

impl TimerLimit {
    /// Whether one more is to be written; else it is counted.
    pub(super) fn admit(&mut self, now: Instant) -> bool {
        let second_over = self
            .second_start
            .is_none_or(|start| now - start >= Duration::from_secs(1));
        if second_over {
            self.second_start = Some(now);
            self.written_this_second = 0;
        }
        if self.written_this_second == MAX_TIMERS_PER_SECOND {
            self.omitted += 1;
            return false;
        }
        self.written_this_second += 1;
        true
    }

    /// How many were left out since this was asked last.
    pub(super) fn take_omitted(&mut self) -> u64 {
        std::mem::take(&mut self.omitted)
    }
}

/// The value of an attempt's tag `outcome`.
pub(super) const fn attempt_outcome(status: Status) -> &'static str {
    match status {
        Status::Ok => "ok",
        Status::Failed => "failed",
        Status::Rejected => "full",
        Status::TimedOut => "timeout",
        Status::ConnectError => "connect",
        Status::Reset => "reset",
        Status::Canceled => "canceled",
        Status::NotSent => "unsent",
        Status::Miss => "miss",
    }
}
