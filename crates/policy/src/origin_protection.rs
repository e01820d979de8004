//! Protection of the origin, the database behind the cache servers, from too many reads.
//!
//! Each read that fails at an overloaded origin is sent again by the client and the node, and its
//! value is not cached. Without a limit the overload persists whatever its cause: endpoints with
//! empty caches, moved keys, a slower origin. Therefore the likely misses in flight have an
//! adaptive limit (multiplicative decrease, additive increase) while reads from caches continue.
//! The limit does harm if likely misses fail for a cause that more likely misses would not worsen.
//!
//! If endpoints report whether a response came from their cache, a circuit breaker guards the
//! origin as well.

use crate::api::{Status, Timestamp};
use crate::breaker::{CircuitBreaker, MIN_CALLS, WINDOW};
use crate::concurrency_limit::ConcurrencyBounds;
use crate::decay::{DecayedCounts, DECAY_TIME};
use crate::pending::{Attempt, PendingRequest};

/// Minimum failure rate of likely misses at an overloaded origin.
const OVERLOAD_FAILURE_RATE: f64 = 0.4;
/// Minimum ratio, at an overloaded origin, of the failure rate of likely misses to the failure rate
/// of all other attempts. The origin counts as overloaded only if both minimums are reached.
const OVERLOAD_RATE_RATIO: f64 = 2.0;
/// Factor by which a failure reduces the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// Increase of the limit per likely miss that is served while the limit is in use.
const INCREASE: f64 = 0.1;
/// A served likely miss increases the limit only if the number of likely misses in flight,
/// multiplied by this factor, reaches the limit.
const IN_USE_FACTOR: f64 = 4.0;
/// Minimum limit, as a total over all nodes.
const MIN_LIMIT_ALL_NODES: f64 = 1.0;
/// Fraction of the limit that is usable by a request whose last likely miss failed: the request
/// gets another likely miss only if the origin has ample capacity.
const LIMIT_FRACTION_AFTER_FAILURE: f64 = 0.5;

/// Limit of likely misses and circuit breaker of the origin.
#[derive(Debug)]
pub(crate) struct OriginProtection {
    /// Breaker of the origin, used if endpoints report misses.
    pub(crate) breaker: CircuitBreaker,
    /// Number of likely misses in flight.
    in_flight: u32,
    /// Maximum number of likely misses in flight; infinite until the origin's first overload.
    limit: f64,
    min_limit: f64,
    /// Time of the last decrease of the limit.
    last_decrease: Timestamp,
    likely_misses: DecayedCounts,
    other_attempts: DecayedCounts,
    /// Whether the deployment is large. The limit then never decreases, because a node sends too
    /// few likely misses for a meaningful failure rate.
    is_large_deployment: bool,
}

impl OriginProtection {
    /// Returns the state without a limit and with a closed breaker, for a deployment of `nodes`
    /// nodes.
    pub(crate) fn new(nodes: u32, bounds: ConcurrencyBounds) -> Self {
        Self {
            breaker: CircuitBreaker::new(WINDOW, Timestamp::default()),
            in_flight: 0,
            limit: f64::INFINITY,
            min_limit: MIN_LIMIT_ALL_NODES / f64::from(nodes.max(1)),
            last_decrease: Timestamp::default(),
            likely_misses: DecayedCounts::default(),
            other_attempts: DecayedCounts::default(),
            is_large_deployment: bounds.is_large_deployment(),
        }
    }

    /// Applies a changed number of nodes.
    pub(crate) fn set_nodes(&mut self, nodes: u32, bounds: ConcurrencyBounds) {
        self.min_limit = MIN_LIMIT_ALL_NODES / f64::from(nodes.max(1));
        self.is_large_deployment = bounds.is_large_deployment();
    }

    /// Multiplies the counts by a factor from [`Decay::advance`](crate::decay::Decay::advance).
    pub(crate) fn decay(&mut self, factor: f64) {
        self.likely_misses.scale(factor);
        self.other_attempts.scale(factor);
    }

    /// Checks whether the likely misses in flight have reached the limit for this request.
    pub(crate) fn is_full_for(&self, pending: &PendingRequest) -> bool {
        let fraction = if pending.likely_miss_failed() {
            LIMIT_FRACTION_AFTER_FAILURE
        } else {
            1.0
        };
        f64::from(self.in_flight) + pending.dither >= self.limit * fraction
    }

    /// Counts a likely miss as in flight.
    pub(crate) fn on_likely_miss_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of any attempt; returns whether the attempt failed because of the origin.
    pub(crate) fn on_attempt_ended(
        &mut self,
        attempt: &Attempt,
        status: Status,
        now: Timestamp,
    ) -> bool {
        let failed = matches!(status, Status::Failed | Status::TimedOut);
        if !attempt.likely_miss {
            self.other_attempts.record(failed);
            return false;
        }
        // The outcome of an attempt sent before the last decrease is no evidence about the new
        // limit.
        let sent_under_limit = attempt.sent >= self.last_decrease;
        if sent_under_limit {
            self.likely_misses.record(failed);
        }
        // Includes the ended attempt.
        let used = f64::from(self.in_flight);
        self.in_flight -= 1;
        let overloaded = !self.is_large_deployment && self.is_overloaded();
        if status == Status::Ok && used * IN_USE_FACTOR >= self.limit {
            self.limit += INCREASE;
        } else if failed && overloaded && sent_under_limit {
            self.limit = (self.limit.min(used) * DECREASE_FACTOR).max(self.min_limit);
            self.last_decrease = now;
            self.likely_misses = DecayedCounts::default();
        }
        failed
            && self.other_attempts.ended >= f64::from(MIN_CALLS)
            && now.since(self.last_decrease) < DECAY_TIME
    }

    fn is_overloaded(&self) -> bool {
        let (misses, others) = (&self.likely_misses, &self.other_attempts);
        misses.failed >= f64::from(MIN_CALLS)
            && misses.failed >= OVERLOAD_FAILURE_RATE * misses.ended
            && misses.failed * others.ended >= OVERLOAD_RATE_RATIO * others.failed * misses.ended
    }
}
