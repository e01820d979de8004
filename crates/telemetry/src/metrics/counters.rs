//! Counters of requests and attempts by their tags between two flushes, and the rate limit of
//! timers.

use slatelink_policy::{ClassId, EndpointId, Status};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of counter series merged between two flushes; when the limit is reached, the
/// counters are emitted before the flush.
const MAX_SERIES: usize = 2048;
/// Maximum number of timers written per second; further timers are omitted and counted.
pub(super) const MAX_TIMERS_PER_SECOND: u32 = 500;

/// Counted events, in the order in which they are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CounterName {
    /// Ended attempts.
    Attempts,
    /// Ended requests.
    Requests,
}

impl CounterName {
    /// Returns the metric's name, without the common prefix.
    pub(super) const fn metric(self) -> &'static str {
        match self {
            Self::Attempts => "attempt.count",
            Self::Requests => "req.count",
        }
    }

    /// Returns the name of the tag that holds the outcome.
    pub(super) const fn outcome_tag(self) -> &'static str {
        match self {
            Self::Attempts => "outcome",
            Self::Requests => "status",
        }
    }
}

/// A series: a counter with its tags.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Series {
    pub(super) name: CounterName,
    /// Index of the class in the settings.
    class: usize,
    pub(super) endpoint: EndpointId,
    /// Value of the outcome tag.
    pub(super) outcome: &'static str,
}

impl Series {
    /// Creates the series of events with this outcome.
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

    /// Returns the class of requests.
    pub(super) const fn class(&self) -> ClassId {
        ClassId(self.class)
    }
}

/// Counts since the last emission. While earlier lines cannot be sent, counts keep accumulating, so
/// that no count is lost.
#[derive(Default)]
pub(super) struct Counters(BTreeMap<Series, u64>);

impl Counters {
    /// Increments the count of the series.
    pub(super) fn increment(&mut self, series: Series) {
        *self.0.entry(series).or_default() += 1;
    }

    /// Checks whether the maximum number of series is reached.
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MAX_SERIES
    }

    /// Checks whether there are no counts.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Removes and returns all counts, in the order of the series.
    pub(super) fn take(&mut self) -> BTreeMap<Series, u64> {
        std::mem::take(&mut self.0)
    }
}

/// Limits the number of timers written per second, and counts omitted timers.
#[derive(Default)]
pub(super) struct TimerLimit {
    /// Start of the current one-second period.
    second_start: Option<Instant>,
    written_this_second: u32,
    omitted: u64,
}

impl TimerLimit {
    /// Checks whether another timer may be written, and counts it as written or omitted.
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

    /// Returns the number of timers omitted since the last call.
    pub(super) fn take_omitted(&mut self) -> u64 {
        std::mem::take(&mut self.omitted)
    }
}

/// Returns the value of an attempt's tag `outcome`.
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
