//! Exponential decay of statistics over time.

use crate::api::Timestamp;
use std::time::Duration;

/// Time constant: what is counted now has fallen to 1/e after this time.
pub(crate) const DECAY_TIME: Duration = Duration::from_secs(2);

/// A count of ended attempts and of those that failed, decayed with [`Decay`].
#[derive(Debug, Default)]
pub(crate) struct DecayedCounts {
    /// Attempts that ended.
    pub(crate) ended: f64,
    /// Those of them that failed.
    pub(crate) failed: f64,
}

impl DecayedCounts {
    /// Counts one attempt.
    pub(crate) fn record(&mut self, failed: bool) {
        self.ended += 1.0;
        self.failed += f64::from(u8::from(failed));
    }

    /// Multiplies both counts with a factor of [`Decay::advance`].
    pub(crate) fn scale(&mut self, factor: f64) {
        self.ended *= factor;
        self.failed *= factor;
    }
}

/// The clock of decaying statistics.
#[derive(Debug, Default)]
pub(crate) struct Decay {
    last: Timestamp,
}

impl Decay {
    /// The factor by which statistics fall from the last call to now.
    pub(crate) fn advance(&mut self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.last).as_secs_f64();
        self.last = now;
        (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }
}
