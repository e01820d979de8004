//! Circuit breakers of zones, kept at a node of a [large
//! deployment](crate::concurrency_limit::ConcurrencyBounds) only.
//!
//! Such a node meets an endpoint too seldom for that endpoint's breaker to learn that it no longer
//! answers, but it learns of a zone that is lost or cut off within a second or two. Only silence
//! counts: an endpoint that answers anything is reachable. A zone's breaker opens only where
//! another zone answers.

use crate::api::{BreakerScope, Endpoint, Name, Status, Timestamp};
use crate::breaker::{CallResult, CircuitBreaker, Verdict, WINDOW};
use crate::endpoint_table::EndpointTable;
use crate::outlier::COMMON_FAILURE_RATE;
use crate::random::Random;
use std::time::Duration;

/// Mean cooldown. Short, since three trials cost a node no more requests than a second without
/// them.
const ZONE_COOLDOWN: Duration = Duration::from_secs(3);
/// A cooldown is at least this part of the mean, and less than this much more: nodes that lost a
/// zone together do not come back together.
const ZONE_COOLDOWN_LEAST: f64 = 0.75;
const ZONE_COOLDOWN_SPREAD: f64 = 0.5;

#[derive(Debug)]
struct ZoneBreaker {
    zone: Option<Name>,
    breaker: CircuitBreaker,
}

/// The breakers of all zones that listed endpoints are in; empty in a small deployment.
#[derive(Debug, Default)]
pub(crate) struct ZoneBreakers {
    zones: Vec<ZoneBreaker>,
}

impl ZoneBreakers {
    /// Drops the breakers of zones without an endpoint.
    pub(crate) fn retain_zones_of(&mut self, table: &EndpointTable) {
        self.zones
            .retain(|zone| table.iter().any(|state| state.endpoint.zone == zone.zone));
    }

    /// Begins to keep a breaker for the endpoint's zone, unless there is one.
    pub(crate) fn add_zone_of(&mut self, endpoint: &Endpoint, now: Timestamp) {
        if self.position(&endpoint.zone).is_none() {
            self.zones.push(ZoneBreaker {
                zone: endpoint.zone.clone(),
                breaker: CircuitBreaker::new(WINDOW, now),
            });
        }
    }

    /// Whether an attempt may go to this zone; always true of a zone without a breaker.
    pub(crate) fn admits(&self, zone: &Option<Name>, now: Timestamp) -> bool {
        self.position(zone)
            .is_none_or(|index| self.zones[index].breaker.admits(now))
    }

    /// Takes in that an attempt is sent to this zone; returns the epoch of its breaker, 0 without
    /// one.
    pub(crate) fn on_send(&mut self, zone: &Option<Name>, now: Timestamp) -> u32 {
        let Some(index) = self.position(zone) else {
            return 0;
        };
        let breaker = &mut self.zones[index].breaker;
        breaker.on_send(now);
        breaker.epoch()
    }

    /// Takes in how an attempt at this zone ended; returns the scope of the breaker if that opens
    /// it.
    pub(crate) fn on_outcome(
        &mut self,
        zone: &Option<Name>,
        epoch: u32,
        status: Status,
        random: &mut Random,
        now: Timestamp,
    ) -> Option<BreakerScope> {
        let index = self.position(zone)?;
        let breaker = &mut self.zones[index].breaker;
        let opens = match breaker.on_outcome(epoch, reachability(status), now) {
            Verdict::Keep => false,
            Verdict::TrialFailed => true,
            Verdict::RateExceeded => self.another_zone_answers(index, now),
        };
        if !opens {
            return None;
        }
        let spread = ZONE_COOLDOWN_LEAST + ZONE_COOLDOWN_SPREAD * random.draw();
        self.zones[index]
            .breaker
            .open(ZONE_COOLDOWN.mul_f64(spread), now);
        Some(BreakerScope::Zone(zone.clone()))
    }

    fn another_zone_answers(&self, index: usize, now: Timestamp) -> bool {
        let others = self.zones.iter().enumerate().filter(|(i, _)| *i != index);
        others
            .filter_map(|(_, other)| other.breaker.recent_counts(now))
            .any(|counts| counts.failure_rate_below(COMMON_FAILURE_RATE))
    }

    fn position(&self, name: &Option<Name>) -> Option<usize> {
        self.zones.iter().position(|zone| zone.zone == *name)
    }
}

/// Whether an attempt's end shows that its zone can be reached.
fn reachability(status: Status) -> CallResult {
    match status {
        Status::TimedOut | Status::ConnectError => CallResult::Failure,
        Status::Ok | Status::Failed | Status::Rejected | Status::Miss => CallResult::Success,
        Status::Reset | Status::Canceled | Status::NotSent => CallResult::Inconclusive,
    }
}
