//! Load shedding: a node's bound on new requests while responses are late or missing.
//!
//! When a whole fleet is overloaded, its queues drain only if most requests are shed before they
//! are sent. As in adaptive throttling of clients, the admitted fraction follows from counts of
//! good and bad outcomes over the last seconds: [`ADMITTED_PER_GOOD_OUTCOME`] requests per good
//! outcome. Unlike in adaptive throttling, a shed request counts as a small fraction of a bad
//! outcome, so that admission recovers fast.

use crate::breaker::MIN_CALLS;

/// Requests admitted per good outcome while most outcomes are bad.
const ADMITTED_PER_GOOD_OUTCOME: f64 = 1.3;
/// Weight of a shed request, in bad outcomes: less than one, so that admission recovers fast.
const SHED_WEIGHT: f64 = 0.25;

/// Counts of good and bad outcomes of attempts, decayed over about two seconds.
#[derive(Debug, Default)]
pub(crate) struct LoadShedder {
    good: f64,
    bad: f64,
}

impl LoadShedder {
    /// Multiplies the counts by a factor from [`Decay::advance`](crate::decay::Decay::advance).
    pub(crate) fn decay(&mut self, factor: f64) {
        self.good *= factor;
        self.bad *= factor;
    }

    /// Returns the decayed number of good outcomes.
    pub(crate) fn good(&self) -> f64 {
        self.good
    }

    /// Counts a response that was not late because of load.
    pub(crate) fn record_good(&mut self) {
        self.good += 1.0;
    }

    /// Counts a response that was late because of load, or an attempt that was rejected or timed
    /// out.
    pub(crate) fn record_bad(&mut self) {
        self.bad += 1.0;
    }

    /// Checks whether a new request must be shed, and counts a shed request. `dither` is uniform
    /// between 0 and 1.
    pub(crate) fn sheds(&mut self, dither: f64) -> bool {
        let good = self.good + f64::from(MIN_CALLS);
        let shed = dither * (good + self.bad) > good * ADMITTED_PER_GOOD_OUTCOME;
        if shed {
            self.bad += SHED_WEIGHT;
        }
        shed
    }
}
