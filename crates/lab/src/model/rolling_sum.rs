//! Sums over the latest span of time.

use super::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Sums of work over the latest span, and of a part of it that counts apart.
#[derive(Default)]
pub(super) struct RollingSum {
    samples: VecDeque<(Time, f64, f64)>,
    sum: (f64, f64),
}

impl RollingSum {
    /// Adds work, of which a part counts apart, and gives the sums over the span.
    pub(super) fn add(&mut self, now: Time, work: f64, part: f64, span: Duration) -> (f64, f64) {
        self.samples.push_back((now, work, part));
        self.sum = (self.sum.0 + work, self.sum.1 + part);
        while let Some((at, work, part)) = self.samples.front().copied() {
            if at + span > now {
                break;
            }
            self.samples.pop_front();
            self.sum = (self.sum.0 - work, self.sum.1 - part);
        }
        self.sum
    }
}
