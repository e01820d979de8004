//! Load shedding: a node's own bound on new requests while answers come late or not at all.
//!
//! A fleet that is overloaded as a whole drains only if most requests are shed before they are
//! sent. As in adaptive throttling of clients, the part that is admitted follows from counts of
//! good and bad ends over the last seconds: [`ADMITTED_PER_GOOD_END`] requests for each good end.
//! Unlike there, a request that was shed counts as a small part of a bad end, so that admission
//! recovers fast.

use crate::breaker::MIN_CALLS;

/// Requests admitted for each good end while most ends are bad.
const ADMITTED_PER_GOOD_END: f64 = 1.3;
/// Bad ends that a shed request counts as: less than one, so that admission recovers fast.
const SHED_WEIGHT: f64 = 0.25;

/// Counts of good and bad ends of attempts, decayed over about two seconds.
#[derive(Debug, Default)]
pub(crate) struct LoadShedder {
    good: f64,
    bad: f64,
}

impl LoadShedder {
    /// Multiplies the counts with a factor of [`Decay::advance`](crate::decay::Decay::advance).
    pub(crate) fn decay(&mut self, factor: f64) {
        self.good *= factor;
        self.bad *= factor;
    }

    /// Good ends of late.
    pub(crate) fn good(&self) -> f64 {
        self.good
    }

    /// Counts an answer that was in time or met no queue.
    pub(crate) fn record_good(&mut self) {
        self.good += 1.0;
    }

    /// Counts an answer that was late for load, or an attempt that was rejected or timed out.
    pub(crate) fn record_bad(&mut self) {
        self.bad += 1.0;
    }

    /// Whether a new request must be shed; if so it is counted. `dither` is uniform between 0 and
    /// 1.
    pub(crate) fn sheds(&mut self, dither: f64) -> bool {
        let good = self.good + f64::from(MIN_CALLS);
        let shed = dither * (good + self.bad) > good * ADMITTED_PER_GOOD_END;
        if shed {
            self.bad += SHED_WEIGHT;
        }
        shed
    }
}
