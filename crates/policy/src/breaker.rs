//! Circuit breaker: closed, open, half-open.
//!
//! A closed breaker counts calls and failures in fixed time windows and requests to be opened once
//! the failure rate of a window reaches [`OPENING_FAILURE_RATE`]. An open breaker admits no call
//! until its cooldown has passed and becomes half-open with the next call. A half-open breaker
//! admits [`HALF_OPEN_TRIALS`] trials, closes when all trials succeed and opens again when a trial
//! fails.
//!
//! Unlike a usual circuit breaker, this breaker does not open by itself:
//! [`on_outcome`](CircuitBreaker::on_outcome) returns a [`Verdict`], and the owner opens the
//! breaker unless [outlier detection](crate::outlier) finds that the other targets fail too.

use crate::api::Timestamp;
use std::ops::Add;
use std::time::Duration;

/// Failure rate of a window from which a closed breaker should open.
pub(crate) const OPENING_FAILURE_RATE: f64 = 0.6;
/// Minimum number of calls in a window for a meaningful failure rate.
pub(crate) const MIN_CALLS: u32 = 3;
/// Number of calls in the previous window for each call that the current window needs before the
/// window is evaluated. Without this minimum, at a failure rate of one in eight, the breaker would
/// open every few windows, whenever two of the first three calls fail. The breaker of a target with
/// little load still opens after few calls. The drawback is that a busy target that fails receives
/// the calls of half a second, not three calls.
const PREVIOUS_WINDOW_CALLS_PER_CALL: u32 = 10;
/// Window of most breakers; long enough for [`MIN_CALLS`] calls at a target with little load.
pub(crate) const WINDOW: Duration = Duration::from_secs(5);
/// Time for which an open breaker blocks its target before trials.
pub(crate) const COOLDOWN: Duration = Duration::from_secs(6);
/// Number of trials that a half-open breaker admits; all must succeed.
const HALF_OPEN_TRIALS: u32 = 3;

/// Result of a call, as evidence about the breaker's target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// The target works.
    Success,
    /// The target does not work.
    Failure,
    /// The call gives no evidence.
    Inconclusive,
}

/// Consequence of a call's outcome for the breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum Verdict {
    /// The breaker keeps its state.
    Keep,
    /// The breaker is half-open and a trial failed. The owner must open the breaker again;
    /// otherwise the failed trial would count against the limit of trials permanently.
    TrialFailed,
    /// The breaker is closed and the failure rate of its window reaches the threshold.
    RateExceeded,
}

/// Counts of calls and failures in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WindowCounts {
    /// Ended calls with a conclusive result.
    pub(crate) calls: u32,
    /// Failed calls.
    pub(crate) failures: u32,
}

impl WindowCounts {
    /// Checks whether the failure rate is below `rate`; false without calls.
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
    /// `admitted` trials were sent, inconclusive trials excluded; `succeeded` trials succeeded.
    HalfOpen { admitted: u32, succeeded: u32 },
}

/// Circuit breaker of one target.
#[derive(Debug)]
pub(crate) struct CircuitBreaker {
    state: State,
    /// Number of state changes. The outcome of a call sent in an earlier epoch is ignored, because
    /// it gives no evidence about the current state.
    epoch: u32,
    window: Duration,
    window_ends: Timestamp,
    counts: WindowCounts,
    /// Number of calls in the previous complete window.
    previous_window_calls: u32,
}

impl CircuitBreaker {
    /// Returns a closed breaker that counts in windows of this length.
    pub(crate) fn new(window: Duration, now: Timestamp) -> Self {
        Self {
            state: State::Closed,
            epoch: 0,
            window,
            window_ends: now + window,
            counts: WindowCounts::default(),
            previous_window_calls: 0,
        }
    }

    /// Returns the current epoch, which the caller passes to [`on_outcome`](Self::on_outcome) when
    /// a call sent now ends.
    pub(crate) fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Checks whether the breaker is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Returns the end of the cooldown, which may be past if no trial has been sent; `None` unless
    /// the breaker is open.
    pub(crate) fn open_until(&self) -> Option<Timestamp> {
        match self.state {
            State::Open { until } => Some(until),
            State::Closed | State::HalfOpen { .. } => None,
        }
    }

    /// Returns the counts of the current window; `None` if the window is over.
    pub(crate) fn recent_counts(&self, now: Timestamp) -> Option<WindowCounts> {
        (now < self.window_ends).then_some(self.counts)
    }

    /// Checks whether a call may be sent.
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
        self.transition_to(State::Open { until }, now);
    }

    /// Closes the breaker and resets its counts.
    pub(crate) fn close(&mut self, now: Timestamp) {
        self.transition_to(State::Closed, now);
    }

    /// Records the send of a call; the first call after a cooldown makes the breaker half-open.
    pub(crate) fn on_send(&mut self, now: Timestamp) {
        match &mut self.state {
            State::Open { until } if now >= *until => {
                let first_trial = State::HalfOpen {
                    admitted: 1,
                    succeeded: 0,
                };
                self.transition_to(first_trial, now);
            }
            State::HalfOpen { admitted, .. } => *admitted += 1,
            State::Closed | State::Open { .. } => {}
        }
    }

    /// Records the outcome of a call that was sent in `epoch`. An inconclusive trial may be
    /// repeated.
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
                return self.count_result(result, now);
            }
            (State::Closed, CallResult::Inconclusive) | (State::Open { .. }, _) => {}
        }
        Verdict::Keep
    }

    fn count_result(&mut self, result: CallResult, now: Timestamp) -> Verdict {
        if now >= self.window_ends {
            self.previous_window_calls = self.counts.calls;
            self.window_ends = now + self.window;
            self.counts = WindowCounts::default();
        }
        self.counts.calls += 1;
        self.counts.failures += u32::from(result == CallResult::Failure);
        let required_calls =
            MIN_CALLS.max(self.previous_window_calls / PREVIOUS_WINDOW_CALLS_PER_CALL);
        if self.counts.calls >= required_calls
            && !self.counts.failure_rate_below(OPENING_FAILURE_RATE)
        {
            Verdict::RateExceeded
        } else {
            Verdict::Keep
        }
    }

    fn transition_to(&mut self, state: State, now: Timestamp) {
        *self = Self {
            state,
            epoch: self.epoch + 1,
            previous_window_calls: self.previous_window_calls,
            ..Self::new(self.window, now)
        };
    }
}
