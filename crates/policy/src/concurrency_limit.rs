//! Adaptive concurrency limit: the maximum number of attempts of a node in flight at an endpoint.
//!
//! The limit increases additively for a response in time while at least half of the limit is in
//! use. It decreases for a late response and for an attempt that is rejected or times out. A usual
//! AIMD limit decreases by a factor; this limit decreases by a fixed step, which is smaller if the
//! endpoint reports an empty queue. The initial limit and the minimum are totals over all nodes and
//! are divided by the number of nodes, so that a limit may be less than one.

use std::time::Duration;

/// Initial limit of an endpoint, as a total over all nodes.
const INITIAL_LIMIT_ALL_NODES: f64 = 16.0;
/// Minimum limit, as a total over all nodes.
const MIN_LIMIT_ALL_NODES: f64 = 3.0;
/// Minimum limit of a single node, however many nodes there are.
const MIN_LIMIT_PER_NODE: f64 = 0.05;
/// Increase for a response in time.
const INCREASE: f64 = 0.1;
/// Decrease for a late response and for an attempt that is rejected or times out.
const DECREASE: f64 = 1.0;
/// Decrease for a late response from an endpoint without a queue: usually the work itself took
/// long.
const DECREASE_WITHOUT_QUEUE: f64 = 0.3;
/// A response in time increases the limit only if the number of attempts in flight, multiplied by
/// this factor, reaches the limit.
const IN_USE_FACTOR: f64 = 2.0;

/// Bounds of the limits, derived from the number of nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConcurrencyBounds {
    /// Initial limit of an endpoint.
    pub(crate) initial: f64,
    /// Minimum limit. An endpoint without attempts in flight must still get its next request: if
    /// the limit stopped all sends to the endpoint, no response could increase the limit again.
    pub(crate) min: f64,
}

impl ConcurrencyBounds {
    /// Returns the bounds of a node in a deployment of `nodes` nodes.
    pub(crate) fn new(nodes: u32) -> Self {
        let nodes = f64::from(nodes.max(1));
        Self {
            initial: (INITIAL_LIMIT_ALL_NODES / nodes).max(1.0),
            min: (MIN_LIMIT_ALL_NODES / nodes).max(MIN_LIMIT_PER_NODE),
        }
    }

    /// Checks whether the deployment has so many nodes that an endpoint's initial limit allows at
    /// most one attempt per node. A node of such a deployment sends to an endpoint only
    /// occasionally: its information about an endpoint is outdated, and its own load fills no
    /// queue.
    pub(crate) fn is_large_deployment(self) -> bool {
        self.initial <= 1.0
    }
}

/// Limit of one endpoint and number of attempts in flight there.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    in_flight: u32,
}

impl ConcurrencyLimit {
    /// Returns the initial limit of an endpoint, without attempts in flight.
    pub(crate) fn new(bounds: ConcurrencyBounds) -> Self {
        Self {
            limit: bounds.initial,
            in_flight: 0,
        }
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a sent attempt as in flight.
    pub(crate) fn on_send(&mut self) {
        self.in_flight += 1;
    }

    /// Removes an ended attempt from the count.
    pub(crate) fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Resets the count, which belongs to an earlier incarnation.
    pub(crate) fn reset_in_flight(&mut self) {
        self.in_flight = 0;
    }

    /// Checks whether this fraction of the limit allows one more attempt. `dither`, uniform between
    /// 0 and 1, rounds the limit.
    pub(crate) fn has_capacity(&self, fraction: f64, dither: f64) -> bool {
        f64::from(self.in_flight) + dither < self.limit * fraction
    }

    /// Checks whether a limit below 1, interpreted as a duty cycle, allows an attempt: whether the
    /// last send to an endpoint without attempts in flight was long enough ago that one attempt of
    /// the average latency (in seconds) stays within the limit on average. If the limit were the
    /// probability of sending, the endpoint would not get the attempts whose responses increase the
    /// limit again.
    pub(crate) fn fractional_limit_allows(
        &self,
        fraction: f64,
        idle: Duration,
        average_latency: f64,
    ) -> bool {
        self.in_flight == 0 && idle.as_secs_f64() * (self.limit * fraction) >= average_latency
    }

    /// Checks whether enough of the limit is in use for a response in time to increase the limit.
    pub(crate) fn is_in_use(&self) -> bool {
        f64::from(self.in_flight) * IN_USE_FACTOR >= self.limit
    }

    /// Increases the limit by one step.
    pub(crate) fn increase(&mut self) {
        self.limit += INCREASE;
    }

    /// Decreases the limit by one step.
    pub(crate) fn decrease(&mut self, bounds: ConcurrencyBounds) {
        self.limit = (self.limit - DECREASE).max(bounds.min);
    }

    /// Decreases the limit by a smaller step, for an endpoint without a queue.
    pub(crate) fn decrease_without_queue(&mut self, bounds: ConcurrencyBounds) {
        self.limit = (self.limit - DECREASE_WITHOUT_QUEUE).max(bounds.min);
    }
}
