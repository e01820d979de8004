//! Queue of requests for which no endpoint has capacity.
//!
//! Bursts are short: a request without an endpoint is queued and dispatched again at short
//! intervals, as long as a response would probably still meet its latency objective. The queue is
//! ordered only by the time of the next dispatch and bounded only by the latency objective.

use crate::api::{RequestId, Timestamp};
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between dispatches of a queued request, as a fraction of its latency objective.
const REDISPATCH_FRACTION: f64 = 0.1;
/// Minimum remaining time of a queued request, as a multiple of the average latency of its class.
const MIN_REMAINING_LATENCIES: u32 = 3;

/// Returns the time of a queued request's next dispatch, or `None` if a response to a dispatch at
/// that time would probably be too late. `average_latency` is the average of the request's class,
/// and `expiry` is the end of its latency objective or its deadline, whichever is earlier.
pub(crate) fn next_dispatch(
    now: Timestamp,
    latency_objective: Duration,
    average_latency: Duration,
    expiry: Timestamp,
) -> Option<Timestamp> {
    let next = now + latency_objective.mul_f64(REDISPATCH_FRACTION);
    (next + average_latency * MIN_REMAINING_LATENCIES <= expiry).then_some(next)
}

/// Queued requests, sorted by the time of their next dispatch.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    by_dispatch_time: BTreeSet<(Timestamp, RequestId)>,
}

impl RequestQueue {
    /// Adds a request that must be dispatched at `at`.
    pub(crate) fn push(&mut self, at: Timestamp, id: RequestId) {
        self.by_dispatch_time.insert((at, id));
    }

    /// Removes and returns the next request that is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<RequestId> {
        if self.next()? > now {
            return None;
        }
        self.by_dispatch_time.pop_first().map(|(_, id)| id)
    }

    /// Returns the time of the next dispatch.
    pub(crate) fn next(&self) -> Option<Timestamp> {
        self.by_dispatch_time.first().map(|(at, _)| *at)
    }
}
