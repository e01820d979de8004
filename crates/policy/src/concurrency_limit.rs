//! Adaptive concurrency limit: how many attempts a node may have in flight at an endpoint.
//!
//! Additive increase for an answer in time while at least half of the limit is in use, decrease for
//! one that was late and for an attempt that was rejected or timed out. The textbook's limit (AIMD)
//! decreases by a factor; this one by a fixed step, a smaller one where the endpoint reports that
//! it has no queue. Its start and minimum are stated for all nodes together and divided by their
//! number, so that a limit may be under one.

use std::time::Duration;

/// Limit that an endpoint starts with, for all nodes together.
const START_FOR_ALL: f64 = 16.0;
/// Least limit, for all nodes together.
const MIN_FOR_ALL: f64 = 3.0;
/// Least limit of one of very many nodes.
const MIN_PER_NODE: f64 = 0.05;
/// Step up for an answer in time.
const INCREASE: f64 = 0.1;
/// Step down for an answer that was late, and for an attempt rejected or timed out.
const DECREASE: f64 = 1.0;
/// Step down for a late answer from an endpoint with no queue: most often the work itself took
/// long.
const DECREASE_WITHOUT_QUEUE: f64 = 0.3;
/// An answer in time raises the limit only if the attempts in flight, times this, reach it.
const IN_USE_FACTOR: f64 = 2.0;

/// Bounds of the limits, which follow from the number of nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyBounds {
    /// Limit of an endpoint that nothing is known of.
    pub(crate) start: f64,
    /// Least limit. An endpoint with nothing in flight must still get its next request: if the node
    /// never sent there for want of capacity, no answer would ever raise the limit again.
    pub(crate) min: f64,
}

impl ConcurrencyBounds {
    /// The bounds for one of this many nodes.
    pub(crate) fn new(nodes: u32) -> Self {
        let nodes = f64::from(nodes.max(1));
        Self {
            start: (START_FOR_ALL / nodes).max(1.0),
            min: (MIN_FOR_ALL / nodes).max(MIN_PER_NODE),
        }
    }

    /// Whether the deployment has so many nodes that an endpoint's starting limit has no whole
    /// place for each. Such a node meets an endpoint only now and then: what it learns of one comes
    /// late, and it fills no queue by itself.
    pub(crate) fn is_large_deployment(self) -> bool {
        self.start <= 1.0
    }
}

/// The limit of one endpoint and what is in flight there.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    in_flight: u32,
}

impl ConcurrencyLimit {
    /// The limit of an endpoint that nothing is known of.
    pub(crate) fn new(bounds: ConcurrencyBounds) -> Self {
        Self {
            limit: bounds.start,
            in_flight: 0,
        }
    }

    /// Attempts in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts an attempt as in flight.
    pub(crate) fn on_send(&mut self) {
        self.in_flight += 1;
    }

    /// Counts an attempt as ended.
    pub(crate) fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Forgets what was in flight at an earlier incarnation.
    pub(crate) fn forget_in_flight(&mut self) {
        self.in_flight = 0;
    }

    /// Whether one more fits into this fraction of the limit. `dither`, uniform between 0 and 1,
    /// rounds the limit.
    pub(crate) fn has_capacity(&self, fraction: f64, dither: f64) -> bool {
        f64::from(self.in_flight) + dither < self.limit * fraction
    }

    /// The same for a limit below 1, which is a duty cycle: whether an idle endpoint was last sent
    /// to long enough ago that one attempt of the average latency (in seconds) keeps to the limit
    /// on average. Taken as the probability of sending, such a limit would keep the endpoint from
    /// its next answers, which alone raise it again.
    pub(crate) fn fractional_limit_allows(
        &self,
        fraction: f64,
        idle: Duration,
        average_latency: f64,
    ) -> bool {
        self.in_flight == 0 && idle.as_secs_f64() * (self.limit * fraction) >= average_latency
    }

    /// Whether answers in time raise the limit: not while little of it is used.
    pub(crate) fn is_in_use(&self) -> bool {
        f64::from(self.in_flight) * IN_USE_FACTOR >= self.limit
    }

    /// A step up.
    pub(crate) fn increase(&mut self) {
        self.limit += INCREASE;
    }

    /// A step down.
    pub(crate) fn decrease(&mut self, bounds: ConcurrencyBounds) {
        self.limit = (self.limit - DECREASE).max(bounds.min);
    }

    /// A small step down, where the endpoint has no queue.
    pub(crate) fn decrease_without_queue(&mut self, bounds: ConcurrencyBounds) {
        self.limit = (self.limit - DECREASE_WITHOUT_QUEUE).max(bounds.min);
    }
}
