//! Live counters of the load of a run, displayed on a terminal during the run.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::RwLock;
use std::time::{Duration, Instant};

/// Number of latencies kept; beyond it the older half is dropped.
const MAX_LATENCIES: usize = 4096;
/// Number of breaker openings kept; beyond it the oldest is dropped.
const MAX_BREAKER_OPENINGS: usize = 1024;

/// Counters of a running load.
#[derive(Debug, Default)]
pub struct LiveCounters {
    /// Number of requests whose first try has started.
    pub started: AtomicU64,
    /// Number of requests served within the latency objective.
    pub in_time: AtomicU64,
    /// Number of requests served after the latency objective.
    pub late: AtomicU64,
    /// Number of tries answered with status 429 or 503.
    pub refused: AtomicU64,
    /// Number of requests that were never served.
    pub failed: AtomicU64,
    /// Latencies of the most recently served requests in milliseconds, from the due time of the
    /// first try to the response.
    pub recent_latencies_ms: RwLock<Vec<f32>>,
    /// Times at which nodes recently logged that a circuit breaker opened. For display only: no
    /// rule uses them.
    pub breaker_openings: RwLock<VecDeque<Instant>>,
}

impl LiveCounters {
    /// Returns the 50th and 99th percentile of the most recent latencies, in milliseconds.
    pub fn percentiles(&self) -> (f32, f32) {
        percentiles(
            self.recent_latencies_ms
                .read()
                .map(|recent_latencies_ms| recent_latencies_ms.clone())
                .unwrap_or_default(),
        )
    }

    /// Counts a request served `latency` after the due time of its first try, in time or late.
    pub(super) fn record_served(&self, latency: Duration, late: bool) {
        let count = if late { &self.late } else { &self.in_time };
        count.fetch_add(1, Ordering::Relaxed);
        if let Ok(mut recent_latencies_ms) = self.recent_latencies_ms.write() {
            if recent_latencies_ms.len() >= MAX_LATENCIES {
                recent_latencies_ms.drain(..MAX_LATENCIES / 2);
            }
            recent_latencies_ms.push(latency.as_secs_f32() * 1e3);
        }
    }

    /// Records that a node has logged the opening of a circuit breaker.
    pub fn record_breaker_opening(&self) {
        if let Ok(mut breaker_openings) = self.breaker_openings.write() {
            breaker_openings.push_back(Instant::now());
            if breaker_openings.len() > MAX_BREAKER_OPENINGS {
                breaker_openings.pop_front();
            }
        }
    }

    /// Returns the number of circuit breakers that opened within the last `span`.
    pub fn breakers_opened_within(&self, span: Duration) -> usize {
        let count = |breaker_openings: &VecDeque<Instant>| {
            breaker_openings
                .iter()
                .filter(|at| at.elapsed() < span)
                .count()
        };
        self.breaker_openings
            .read()
            .map(|breaker_openings| count(&breaker_openings))
            .unwrap_or(0)
    }
}

/// Returns the 50th and 99th percentile of these values; 0 for an empty list.
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
