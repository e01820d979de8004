//! Running counts of a run's load, for a terminal that shows them while it plays.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::RwLock;
use std::time::{Duration, Instant};

/// Latencies kept; past this the older half is dropped.
const LATENCIES_KEPT: usize = 4096;
/// Openings of circuit breakers kept; past this the oldest is dropped.
const TRIPS_KEPT: usize = 1024;

/// Running counts of a load that is being played.
#[derive(Debug, Default)]
pub struct Live {
    /// Requests whose first try has been started.
    pub begun: AtomicU64,
    /// Requests served within the latency objective.
    pub in_time: AtomicU64,
    /// Requests served after it.
    pub late: AtomicU64,
    /// Tries that were answered 429 or 503.
    pub refused: AtomicU64,
    /// Requests that were never served.
    pub failed: AtomicU64,
    /// Milliseconds from when the first try was due to the answer, of the latest requests served.
    pub latest: RwLock<Vec<f32>>,
    /// When nodes last logged that a circuit breaker opened. For display only: no rule is checked against it.
    pub trips: RwLock<VecDeque<Instant>>,
}

impl Live {
    /// The 50th and 99th percentile of the latest latencies, in milliseconds.
    pub fn percentiles(&self) -> (f32, f32) {
        percentiles(
            self.latest
                .read()
                .map(|latest| latest.clone())
                .unwrap_or_default(),
        )
    }

    /// Counts a request that was served, `took` after its first try was due, in time or late.
    pub(super) fn served(&self, took: Duration, late: bool) {
        let count = if late { &self.late } else { &self.in_time };
        count.fetch_add(1, Ordering::Relaxed);
        if let Ok(mut latest) = self.latest.write() {
            if latest.len() >= LATENCIES_KEPT {
                latest.drain(..LATENCIES_KEPT / 2);
            }
            latest.push(took.as_secs_f32() * 1e3);
        }
    }

    /// A node has logged that a circuit breaker opened.
    pub fn tripped(&self) {
        if let Ok(mut trips) = self.trips.write() {
            trips.push_back(Instant::now());
            if trips.len() > TRIPS_KEPT {
                trips.pop_front();
            }
        }
    }

    /// How many circuit breakers opened within this time.
    pub fn tripped_within(&self, span: Duration) -> usize {
        let count =
            |trips: &VecDeque<Instant>| trips.iter().filter(|at| at.elapsed() < span).count();
        self.trips.read().map(|trips| count(&trips)).unwrap_or(0)
    }
}

/// The 50th and 99th percentile of these values; 0 of none.
pub fn percentiles(mut values: Vec<f32>) -> (f32, f32) {
    values.sort_by(f32::total_cmp);
    let at = |share: f64| {
        values
            .get((values.len() as f64 * share) as usize)
            .copied()
            .unwrap_or(0.0)
    };
    (at(0.5), at(0.99))
}
