//! Protection of the origin, the database behind the cache servers, from too many reads.
//!
//! Each read that an overloaded origin lets fail is sent again by its client and the node, and
//! nothing is cached: without a limit such a day stays down, whatever began it (endpoints that come
//! empty, keys that moved, an origin that slowed down). So the likely misses in flight have an
//! adaptive limit (multiplicative decrease, additive increase) while reads from caches go on. It
//! does harm where likely misses fail for a cause that more of them would not worsen.
//!
//! Where endpoints tell whether an answer came from their cache, a circuit breaker guards the
//! origin as well.

use crate::api::{Status, Timestamp};
use crate::breaker::{CircuitBreaker, MIN_CALLS, WINDOW};
use crate::concurrency_limit::ConcurrencyBounds;
use crate::decay::{DecayedCounts, DECAY_TIME};
use crate::pending::{Attempt, PendingRequest};

/// The origin is overloaded while this fraction of the likely misses fails.
const OVERLOAD_FAILURE_RATE: f64 = 0.4;
/// And their failure rate is at least this many times that of all other attempts.
const OVERLOAD_RATE_RATIO: f64 = 2.0;
/// Factor of the limit after a failure.
const DECREASE_FACTOR: f64 = 0.7;
/// Step up of the limit for each likely miss that is served while the limit is used.
const INCREASE: f64 = 0.1;
/// A likely miss that is served raises the limit only if those in flight, times this, reach it.
const IN_USE_FACTOR: f64 = 4.0;
/// Least limit, for all nodes together.
const MIN_LIMIT_FOR_ALL: f64 = 1.0;
/// Fraction of the limit that a further likely miss of a request may use after a failed one: it is
/// made only if the origin has plenty of capacity.
const FRACTION_AFTER_FAILURE: f64 = 0.5;

/// Limit of likely misses and circuit breaker of the origin.
#[derive(Debug)]
pub(crate) struct OriginProtection {
    /// The breaker of what endpoints fetch misses from, where they tell of misses.
    pub(crate) breaker: CircuitBreaker,
    /// Likely misses in flight.
    in_flight: u32,
    /// Most likely misses in flight. Infinite until the origin is overloaded for the first time.
    limit: f64,
    min_limit: f64,
    /// When the limit was last decreased.
    last_decrease: Timestamp,
    likely_misses: DecayedCounts,
    other_attempts: DecayedCounts,
    /// One of very many nodes sees too few likely misses to judge by.
    is_large_deployment: bool,
}

impl OriginProtection {
    /// No limit and a closed breaker, at one of this many nodes.
    pub(crate) fn new(nodes: u32, bounds: ConcurrencyBounds) -> Self {
        Self {
            breaker: CircuitBreaker::new(WINDOW, Timestamp::default()),
            in_flight: 0,
            limit: f64::INFINITY,
            min_limit: MIN_LIMIT_FOR_ALL / f64::from(nodes.max(1)),
            last_decrease: Timestamp::default(),
            likely_misses: DecayedCounts::default(),
            other_attempts: DecayedCounts::default(),
            is_large_deployment: bounds.is_large_deployment(),
        }
    }

    /// Multiplies the counts with a factor of [`Decay::advance`](crate::decay::Decay::advance).
    pub(crate) fn decay(&mut self, factor: f64) {
        self.likely_misses.scale(factor);
        self.other_attempts.scale(factor);
    }

    /// Whether the limit leaves no likely miss to this request.
    pub(crate) fn is_full_for(&self, pending: &PendingRequest) -> bool {
        let fraction = if pending.likely_miss_failed() {
            FRACTION_AFTER_FAILURE
        } else {
            1.0
        };
        f64::from(self.in_flight) + pending.dither >= self.limit * fraction
    }

    /// Counts a likely miss as in flight.
    pub(crate) fn on_likely_miss_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Takes in the end of any attempt; returns whether it failed and the origin is to blame.
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
        // What was sent before the last decrease says nothing of the new limit.
        let sent_under_limit = attempt.sent >= self.last_decrease;
        if sent_under_limit {
            self.likely_misses.record(failed);
        }
        // With this one, which is no longer in flight.
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
