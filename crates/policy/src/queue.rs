//! Requests that wait at the node for capacity at an endpoint.
//!
//! A burst passes: a request that finds no capacity waits and is dispatched again at short steps,
//! while an answer would probably still meet its latency objective. The queue has no order of its
//! own and no bound but that time.

use crate::api::{RequestId, Timestamp};
use std::collections::BTreeSet;
use std::time::Duration;

/// A queued request is dispatched again after this fraction of its latency objective.
const RETRY_STEP: f64 = 0.1;
/// A request is queued only while there is time left for this many times the average latency of its
/// class.
const LATENCIES_LEFT: u32 = 3;

/// When a queued request is to be dispatched again; `None` where an answer after that would
/// probably be too late. `average_latency` is that of its class and `give_up` the end of its
/// latency objective or its deadline, whichever is first.
pub(crate) fn next_dispatch(
    now: Timestamp,
    latency_objective: Duration,
    average_latency: Duration,
    give_up: Timestamp,
) -> Option<Timestamp> {
    let next = now + latency_objective.mul_f64(RETRY_STEP);
    (next + average_latency * LATENCIES_LEFT <= give_up).then_some(next)
}

/// The queued requests by the time of their next dispatch.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    by_time: BTreeSet<(Timestamp, RequestId)>,
}

impl RequestQueue {
    /// Adds a request that is to be dispatched at `at`.
    pub(crate) fn push(&mut self, at: Timestamp, id: RequestId) {
        self.by_time.insert((at, id));
    }

    /// Takes out the next request whose time has come.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<RequestId> {
        if self.next()? > now {
            return None;
        }
        self.by_time.pop_first().map(|(_, id)| id)
    }

    /// When the next request is to be dispatched.
    pub(crate) fn next(&self) -> Option<Timestamp> {
        self.by_time.first().map(|(at, _)| *at)
    }
}
