//! Circuit breakers of zones, used only at nodes of a [large
//! deployment](crate::concurrency_limit::ConcurrencyBounds::is_large_deployment).
//!
//! A node of a large deployment sends to one endpoint too rarely for the endpoint's breaker to
//! detect that the endpoint no longer responds, but detects the loss or partition of a zone within
//! a second or two. Only timeouts and connect errors count as failures: an endpoint that sends any
//! response is reachable. A zone's breaker opens only while another zone responds.

use crate::api::{BreakerScope, Endpoint, Name, Status, Timestamp};
use crate::breaker::{CallResult, CircuitBreaker, Verdict, WINDOW};
use crate::endpoint_table::EndpointTable;
use crate::outlier::COMMON_FAILURE_RATE;
use crate::random::Random;
use std::time::Duration;

/// Mean cooldown. Short, because three failed trials cost a node no more requests than one second
/// of sends to an unreachable zone with a closed breaker.
const ZONE_COOLDOWN: Duration = Duration::from_secs(3);
/// Minimum cooldown, as a fraction of the mean.
const MIN_COOLDOWN_FACTOR: f64 = 0.75;
/// Range of the random addition to the minimum cooldown, as a fraction of the mean. Prevents nodes
/// that lost a zone together from sending their trials together.
const COOLDOWN_FACTOR_RANGE: f64 = 0.5;

#[derive(Debug)]
struct ZoneBreaker {
    zone: Option<Name>,
    breaker: CircuitBreaker,
}

/// Breakers of all zones that contain listed endpoints; empty in a small deployment.
#[derive(Debug, Default)]
pub(crate) struct ZoneBreakers {
    zones: Vec<ZoneBreaker>,
}

impl ZoneBreakers {
    /// Removes all breakers.
    pub(crate) fn clear(&mut self) {
        self.zones.clear();
    }

    /// Removes the breakers of zones without an endpoint.
    pub(crate) fn retain_zones_of(&mut self, table: &EndpointTable) {
        self.zones
            .retain(|zone| table.iter().any(|state| state.endpoint.zone == zone.zone));
    }

    /// Adds a breaker for the endpoint's zone if the zone has none.
    pub(crate) fn add_zone_of(&mut self, endpoint: &Endpoint, now: Timestamp) {
        if self.position(&endpoint.zone).is_none() {
            self.zones.push(ZoneBreaker {
                zone: endpoint.zone.clone(),
                breaker: CircuitBreaker::new(WINDOW, now),
            });
        }
    }

    /// Checks whether an attempt may be sent to this zone; always true for a zone without a
    /// breaker.
    pub(crate) fn admits(&self, zone: &Option<Name>, now: Timestamp) -> bool {
        self.position(zone)
            .is_none_or(|index| self.zones[index].breaker.admits(now))
    }

    /// Records a send to this zone and returns the epoch of the zone's breaker; 0 if the zone has
    /// no breaker.
    pub(crate) fn on_send(&mut self, zone: &Option<Name>, now: Timestamp) -> u32 {
        let Some(index) = self.position(zone) else {
            return 0;
        };
        let breaker = &mut self.zones[index].breaker;
        breaker.on_send(now);
        breaker.epoch()
    }

    /// Records the outcome of an attempt at this zone; returns the scope of the zone's breaker if
    /// the outcome opens the breaker.
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
            Verdict::RateExceeded => self.another_zone_responds(index, now),
        };
        if !opens {
            return None;
        }
        let factor = MIN_COOLDOWN_FACTOR + COOLDOWN_FACTOR_RANGE * random.draw();
        self.zones[index]
            .breaker
            .open(ZONE_COOLDOWN.mul_f64(factor), now);
        Some(BreakerScope::Zone(zone.clone()))
    }

    fn another_zone_responds(&self, index: usize, now: Timestamp) -> bool {
        let others = self.zones.iter().enumerate().filter(|(i, _)| *i != index);
        others
            .filter_map(|(_, other)| other.breaker.recent_counts(now))
            .any(|counts| counts.failure_rate_below(COMMON_FAILURE_RATE))
    }

    fn position(&self, name: &Option<Name>) -> Option<usize> {
        self.zones.iter().position(|zone| zone.zone == *name)
    }
}

/// Returns whether an attempt's status shows that the zone is reachable.
fn reachability(status: Status) -> CallResult {
    match status {
        Status::TimedOut | Status::ConnectError => CallResult::Failure,
        Status::Ok | Status::Failed | Status::Rejected | Status::Miss => CallResult::Success,
        Status::Reset | Status::Canceled | Status::NotSent => CallResult::Inconclusive,
    }
}
