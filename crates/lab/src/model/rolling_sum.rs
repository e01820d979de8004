//! Sums over a sliding time window.

use super::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Sums of work, and of a part of that work, over a sliding time window.
#[derive(Default)]
pub(super) struct RollingSum {
    samples: VecDeque<(Time, f64, f64)>,
    sum: (f64, f64),
}

impl RollingSum {
    /// Adds `work`, of which `part` is also summed separately, and returns both sums over the
    /// window.
    pub(super) fn add(
        &mut self,
        now: Time,
        work: f64,
        part: f64,
        window_length: Duration,
    ) -> (f64, f64) {
        self.samples.push_back((now, work, part));
        self.sum = (self.sum.0 + work, self.sum.1 + part);
        while let Some((at, work, part)) = self.samples.front().copied() {
            if at + window_length > now {
                break;
            }
            self.samples.pop_front();
            self.sum = (self.sum.0 - work, self.sum.1 - part);
        }
        self.sum
    }
}
