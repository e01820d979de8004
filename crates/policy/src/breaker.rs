//! Circuit breaker: closed, open, half-open.
//!
//! A closed breaker counts calls and failures in fixed windows of time and asks to be opened once
//! the failure rate of a window reaches [`OPENING_FAILURE_RATE`]. An open one admits nothing until
//! its cooldown has passed, then becomes half-open with the next call: it admits
//! [`HALF_OPEN_TRIALS`] trials, closes when all of them succeed and opens again when one fails.
//!
//! Unlike the textbook's breaker it does not open by itself:
//! [`on_outcome`](CircuitBreaker::on_outcome) returns a [`Verdict`], and the owner opens it unless
//! [outlier detection](crate::outlier) finds that the others fail alike.

use crate::api::Timestamp;
use std::ops::Add;
use std::time::Duration;

/// Failure rate of a window from which on a closed breaker ought to open.
pub(crate) const OPENING_FAILURE_RATE: f64 = 0.6;
/// Fewest calls of a window that say anything of a failure rate.
pub(crate) const MIN_CALLS: u32 = 3;
/// A window says nothing before it has one call for this many of the window before. Where one call
/// in eight fails, two of the first three do every few windows. Few calls still open the breaker of
/// a target with little load; the price is that a busy target that dies takes the calls of half a
/// second, not three.
const CALLS_OF_LAST_WINDOW_PER_CALL: u32 = 10;
/// Window of most breakers: long enough for [`MIN_CALLS`] at a target with little load.
pub(crate) const WINDOW: Duration = Duration::from_secs(5);
/// How long an open breaker blocks its target before trials.
pub(crate) const COOLDOWN: Duration = Duration::from_secs(6);
/// Trials that a half-open breaker admits, all of which must succeed.
const HALF_OPEN_TRIALS: u32 = 3;

/// What the end of a call tells of the breaker's target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// The target works.
    Success,
    /// The target does not.
    Failure,
    /// Nothing either way.
    Inconclusive,
}

/// What the end of a call means for the breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum Verdict {
    /// It stays as it is.
    Keep,
    /// It is half-open and a trial failed: it must be opened again, or it would lack that trial for
    /// good.
    TrialFailed,
    /// It is closed and the failure rate of its window reaches the threshold.
    RateExceeded,
}

/// Calls and failures of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WindowCounts {
    /// Ended calls that were conclusive.
    pub(crate) calls: u32,
    /// Those of them that failed.
    pub(crate) failures: u32,
}

impl WindowCounts {
    /// Whether the failure rate is under `rate`; false without a call.
    pub(crate) fn failure_rate_below(self, rate: f64) -> bool {
        f64::from(self.failures) < rate * f64::from(self.calls)
    }
}

impl Add for WindowCounts {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            failures: self.failures + other.failures,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Calls are admitted and counted.
    Closed,
    /// No call is admitted before `until`.
    Open { until: Timestamp },
    /// Of the trials, `admitted` were sent and not given back, and `succeeded` of those ended well.
    HalfOpen { admitted: u32, succeeded: u32 },
}

/// A circuit breaker of one target.
#[derive(Debug)]
pub(crate) struct CircuitBreaker {
    state: State,
    /// Counts state changes: a call that was sent in an earlier state says nothing of the present
    /// one.
    epoch: u32,
    window: Duration,
    window_ends: Timestamp,
    counts: WindowCounts,
    /// Calls in the last whole window.
    calls_of_last_window: u32,
}

impl CircuitBreaker {
    /// A closed breaker that counts in windows of this length.
    pub(crate) fn new(window: Duration, now: Timestamp) -> Self {
        Self {
            state: State::Closed,
            epoch: 0,
            window,
            window_ends: now + window,
            counts: WindowCounts::default(),
            calls_of_last_window: 0,
        }
    }

    /// The present epoch, to be handed to [`on_outcome`](Self::on_outcome) with the end of a call
    /// sent now.
    pub(crate) fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Whether it is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// The end of its cooldown, which may be over with no trial sent yet; `None` unless it is open.
    pub(crate) fn open_until(&self) -> Option<Timestamp> {
        match self.state {
            State::Open { until } => Some(until),
            State::Closed | State::HalfOpen { .. } => None,
        }
    }

    /// What the present window has counted; `None` where that window is over.
    pub(crate) fn recent_counts(&self, now: Timestamp) -> Option<WindowCounts> {
        (now < self.window_ends).then_some(self.counts)
    }

    /// Whether a call may be sent.
    pub(crate) fn admits(&self, now: Timestamp) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } => now >= until,
            State::HalfOpen { admitted, .. } => admitted < HALF_OPEN_TRIALS,
        }
    }

    /// Blocks the target for `cooldown`.
    pub(crate) fn open(&mut self, cooldown: Duration, now: Timestamp) {
        let until = now + cooldown;
        self.enter(State::Open { until }, now);
    }

    /// Closes it, with nothing counted.
    pub(crate) fn close(&mut self, now: Timestamp) {
        self.enter(State::Closed, now);
    }

    /// Takes in that a call is sent; the first one after a cooldown makes it half-open.
    pub(crate) fn on_send(&mut self, now: Timestamp) {
        match &mut self.state {
            State::Open { until } if now >= *until => {
                let first_trial = State::HalfOpen {
                    admitted: 1,
                    succeeded: 0,
                };
                self.enter(first_trial, now);
            }
            State::HalfOpen { admitted, .. } => *admitted += 1,
            State::Closed | State::Open { .. } => {}
        }
    }

    /// Takes in the end of a call that was sent in `epoch`. An inconclusive trial may be made
    /// again.
    pub(crate) fn on_outcome(&mut self, epoch: u32, result: CallResult, now: Timestamp) -> Verdict {
        if epoch != self.epoch {
            return Verdict::Keep;
        }
        match (&mut self.state, result) {
            (State::HalfOpen { admitted, .. }, CallResult::Inconclusive) => *admitted -= 1,
            (State::HalfOpen { .. }, CallResult::Failure) => return Verdict::TrialFailed,
            (State::HalfOpen { succeeded, .. }, CallResult::Success) => {
                *succeeded += 1;
                if *succeeded >= HALF_OPEN_TRIALS {
                    self.close(now);
                }
            }
            (State::Closed, CallResult::Success | CallResult::Failure) => {
                return self.count(result, now);
            }
            (State::Closed, CallResult::Inconclusive) | (State::Open { .. }, _) => {}
        }
        Verdict::Keep
    }

    fn count(&mut self, result: CallResult, now: Timestamp) -> Verdict {
        if now >= self.window_ends {
            self.calls_of_last_window = self.counts.calls;
            self.window_ends = now + self.window;
            self.counts = WindowCounts::default();
        }
        self.counts.calls += 1;
        self.counts.failures += u32::from(result == CallResult::Failure);
        let enough = MIN_CALLS.max(self.calls_of_last_window / CALLS_OF_LAST_WINDOW_PER_CALL);
        if self.counts.calls >= enough && !self.counts.failure_rate_below(OPENING_FAILURE_RATE) {
            Verdict::RateExceeded
        } else {
            Verdict::Keep
        }
    }

    fn enter(&mut self, state: State, now: Timestamp) {
        *self = Self {
            state,
            epoch: self.epoch + 1,
            calls_of_last_window: self.calls_of_last_window,
            ..Self::new(self.window, now)
        };
    }
}
