//! Exponential decay of statistics over time.

use crate::api::Timestamp;
use std::time::Duration;

/// Time constant of the decay: the time in which a count falls to 1/e.
pub(crate) const DECAY_TIME: Duration = Duration::from_secs(2);

/// Counts of ended and of failed attempts, decayed with [`Decay`].
#[derive(Debug, Default)]
pub(crate) struct DecayedCounts {
    /// Ended attempts.
    pub(crate) ended: f64,
    /// Ended attempts that failed.
    pub(crate) failed: f64,
}

impl DecayedCounts {
    /// Counts one ended attempt.
    pub(crate) fn record(&mut self, failed: bool) {
        self.ended += 1.0;
        self.failed += f64::from(u8::from(failed));
    }

    /// Multiplies both counts by a factor from [`Decay::advance`].
    pub(crate) fn scale(&mut self, factor: f64) {
        self.ended *= factor;
        self.failed *= factor;
    }
}

/// Time of the last decay of a group of statistics.
#[derive(Debug, Default)]
pub(crate) struct Decay {
    last_advance: Timestamp,
}

impl Decay {
    /// Returns the decay factor for the time from the last call to `now`.
    pub(crate) fn advance(&mut self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.last_advance).as_secs_f64();
        self.last_advance = now;
        (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }
}
