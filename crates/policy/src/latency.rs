//! The average latency of each class, and whether an answer was in time for the endpoint's load to
//! be in order.

use crate::api::Class;
use std::time::Duration;

/// An answer is late past this fraction of its latency objective, so that load is lowered before
/// objectives are missed.
const LATE_FROM_FRACTION: f64 = 0.7;
/// Answers over which the latency of a class is averaged.
const AVERAGED_LATENCIES: f64 = 20.0;
/// Attempts over which the expected work of requests is averaged.
const AVERAGED_WORK: f64 = 100.0;
/// Least mean work, in seconds: it is divided by.
const MIN_MEAN_WORK: f64 = 1e-9;

/// Moving averages of latencies and of expected work.
#[derive(Debug)]
pub(crate) struct LatencyTracker {
    /// By class, in seconds.
    averages: Vec<f64>,
    /// In seconds.
    mean_work: f64,
}

impl LatencyTracker {
    /// Starts each class at its latency objective.
    pub(crate) fn new(classes: &[Class]) -> Self {
        let objectives = classes.iter().map(|class| class.latency_objective);
        Self {
            averages: objectives.map(|time| time.as_secs_f64()).collect(),
            mean_work: 0.0,
        }
    }

    /// The average latency of a class, in seconds.
    pub(crate) fn average(&self, class: usize) -> f64 {
        self.averages[class]
    }

    /// Takes in the latency of an answer that was served.
    pub(crate) fn record_latency(&mut self, class: usize, latency: Duration) {
        let average = &mut self.averages[class];
        *average += (latency.as_secs_f64() - *average) / AVERAGED_LATENCIES;
    }

    /// How long an attempt of this expected work may take to be in time: a fraction of its latency
    /// objective, a larger one for work beyond the mean. Takes the work into the mean.
    pub(crate) fn time_allowed(&mut self, work: Option<Duration>, objective: Duration) -> Duration {
        let work = work.map_or(0.0, |work| work.as_secs_f64());
        let fraction = LATE_FROM_FRACTION * work / self.mean_work.max(MIN_MEAN_WORK);
        self.mean_work += (work - self.mean_work) / AVERAGED_WORK;
        objective.mul_f64(fraction.clamp(LATE_FROM_FRACTION, 1.0))
    }
}
