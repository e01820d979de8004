//! Average latency of each class, and the latency from which a response indicates a high load at
//! the endpoint.

use crate::api::Class;
use crate::class_states::carry_over;
use std::time::Duration;

/// Fraction of the latency objective after which a response is late. Less than 1, so that load is
/// lowered before objectives are missed.
const LATE_THRESHOLD_FRACTION: f64 = 0.7;
/// Number of responses over which the latency of a class is averaged.
const LATENCY_SAMPLES: f64 = 20.0;
/// Number of attempts over which the expected work of requests is averaged.
const WORK_SAMPLES: f64 = 100.0;
/// Minimum mean work in seconds; prevents a division by zero.
const MIN_MEAN_WORK_SECONDS: f64 = 1e-9;

/// Moving averages of latencies and of expected work.
#[derive(Debug)]
pub(crate) struct LatencyTracker {
    /// Average latency by class, in seconds.
    averages: Vec<f64>,
    /// Mean expected work, in seconds.
    mean_work: f64,
}

impl LatencyTracker {
    /// Returns a tracker whose averages start at the latency objectives.
    pub(crate) fn new(classes: &[Class]) -> Self {
        Self {
            averages: classes.iter().map(initial_average).collect(),
            mean_work: 0.0,
        }
    }

    /// Adapts the averages to changed classes; see [`carry_over`].
    pub(crate) fn replace_classes(&mut self, before: &[Class], after: &[Class]) {
        carry_over(&mut self.averages, before, after, initial_average);
    }

    /// Returns the average latency of a class, in seconds.
    pub(crate) fn average(&self, class: usize) -> f64 {
        self.averages[class]
    }

    /// Records the latency of a served response.
    pub(crate) fn record_latency(&mut self, class: usize, latency: Duration) {
        let average = &mut self.averages[class];
        *average += (latency.as_secs_f64() - *average) / LATENCY_SAMPLES;
    }

    /// Returns the latency up to which an attempt with this expected work is in time: a fraction of
    /// the latency objective that is larger for work beyond the mean. Adds the work to the mean.
    pub(crate) fn time_allowed(&mut self, work: Option<Duration>, objective: Duration) -> Duration {
        let work = work.map_or(0.0, |work| work.as_secs_f64());
        let fraction = LATE_THRESHOLD_FRACTION * work / self.mean_work.max(MIN_MEAN_WORK_SECONDS);
        self.mean_work += (work - self.mean_work) / WORK_SAMPLES;
        objective.mul_f64(fraction.clamp(LATE_THRESHOLD_FRACTION, 1.0))
    }
}

/// Returns the initial average latency of a class, in seconds.
fn initial_average(class: &Class) -> f64 {
    class.latency_objective.as_secs_f64()
}
