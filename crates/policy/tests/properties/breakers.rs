//! The circuit breakers of endpoints.

use crate::events::{check, Change, SERVERS};
use crate::simulation::{
    ms, serve_reads, Observation, Simulation, CASES, COOLDOWN, LENGTH, SEEDS, TRIALS,
};
use slatelink_policy::*;
use std::collections::{BTreeMap, BTreeSet};

/// The endpoint that a breaker guards, wholly or for one class.
fn endpoint_of(scope: &BreakerScope) -> Option<&EndpointId> {
    match scope {
        BreakerScope::Endpoint(endpoint) | BreakerScope::EndpointClass { endpoint, .. } => {
            Some(endpoint)
        }
        BreakerScope::Zone(_) | BreakerScope::Origin => None,
    }
}

/// What is known from outside of the state of an endpoint's breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SeenState {
    Closed,
    Open { until: Timestamp },
    HalfOpen { in_flight: usize, succeeded: usize },
}

/// The breakers of all endpoints, as they must be after what was seen so far.
#[derive(Default)]
struct SeenBreakers {
    states: BTreeMap<EndpointId, SeenState>,
    listed: Vec<Endpoint>,
    started: BTreeMap<EndpointId, Option<Timestamp>>,
    /// Endpoints that had a breaker opened at any time, be it of one class only.
    ever_opened: BTreeSet<EndpointId>,
    /// Requests that have been sent.
    attempted: BTreeSet<RequestId>,
}

impl SeenBreakers {
    fn on_endpoints_listed(&mut self, list: &[Endpoint]) {
        for endpoint in list {
            // Started anew, or listed again, it is another incarnation with a breaker of its own.
            let before = self.started.insert(endpoint.id.clone(), endpoint.started);
            if before != Some(endpoint.started) {
                self.states.insert(endpoint.id.clone(), SeenState::Closed);
            }
        }
        self.started
            .retain(|id, _| list.iter().any(|endpoint| endpoint.id == *id));
        self.listed = list.to_vec();
    }

    fn on_opened(&mut self, scope: &BreakerScope, now: Timestamp) {
        if let BreakerScope::Endpoint(endpoint) = scope {
            let until = now + COOLDOWN;
            self.states
                .insert(endpoint.clone(), SeenState::Open { until });
        }
        self.ever_opened.extend(endpoint_of(scope).cloned());
    }

    /// Asserts that the breaker of the endpoint admits the attempt. Where every endpoint is
    /// blocked, the first attempt goes to the first one of its key all the same, by design.
    fn on_sent(&mut self, id: &RequestId, endpoint: &Endpoint, now: Timestamp) {
        let first = self.attempted.insert(id.clone());
        let must_hold = (!first || self.one_is_never_blocked()) && endpoint.kind.is_none();
        let state = self
            .states
            .entry(endpoint.id.clone())
            .or_insert(SeenState::Closed);
        match state {
            SeenState::Open { until } if now >= *until => {
                *state = SeenState::HalfOpen {
                    in_flight: 1,
                    succeeded: 0,
                };
            }
            SeenState::Open { .. } => {
                assert!(!must_hold, "{id} goes to {} in its cooldown", endpoint.id);
            }
            SeenState::HalfOpen {
                in_flight,
                succeeded,
            } => {
                *in_flight += 1;
                assert!(
                    !must_hold || *in_flight + *succeeded <= TRIALS,
                    "{id} is a trial too many at {}",
                    endpoint.id
                );
            }
            SeenState::Closed => {}
        }
    }

    fn on_ended(&mut self, endpoint: &Endpoint, status: Status) {
        let Some(state) = self.states.get_mut(&endpoint.id) else {
            return;
        };
        if let SeenState::HalfOpen {
            in_flight,
            succeeded,
        } = state
        {
            *in_flight = in_flight.saturating_sub(1);
            *succeeded += usize::from(matches!(status, Status::Ok | Status::Miss));
            if *succeeded >= TRIALS {
                *state = SeenState::Closed;
            }
        }
    }

    /// Whether an endpoint with its full capacity is listed that no breaker has ever blocked.
    fn one_is_never_blocked(&self) -> bool {
        self.listed.iter().any(|endpoint| {
            endpoint.availability == Availability::Ready
                && endpoint.kind.is_none()
                && endpoint.started.is_none()
                && !self.ever_opened.contains(&endpoint.id)
        })
    }
}

#[test]
fn an_open_breaker_admits_nothing_and_a_half_open_one_its_trials_while_another_is_closed() {
    check(SEEDS, 10, 60, |seed, steps| {
        let mut simulation = Simulation::new(seed);
        for (i, part) in steps.chunks(15).enumerate() {
            // One endpoint fails until its breaker opens, and meets many requests at once in its
            // cooldown and past it.
            let failing = Simulation::endpoint(i % 2).id;
            let status = |_: u64, at: &EndpointId| {
                if *at == failing {
                    Status::Failed
                } else {
                    Status::Ok
                }
            };
            serve_reads(&mut simulation, 60, |_| None, status);
            for wait in [0, 3_000, 3_100] {
                simulation.advance(ms(wait));
                (0..40).for_each(|key| simulation.request(0, key, ms(400), false, false));
            }
            simulation.play(part);
        }
        let mut seen = SeenBreakers::default();
        for (at, observation) in &simulation.observations {
            match observation {
                Observation::EndpointsListed(list) => seen.on_endpoints_listed(list),
                Observation::BreakerOpened(scope) => seen.on_opened(scope, *at),
                Observation::AttemptSent { id, endpoint } => seen.on_sent(id, endpoint, *at),
                Observation::AttemptEnded {
                    endpoint, status, ..
                } => seen.on_ended(endpoint, *status),
                _ => {}
            }
        }
    });
}

#[test]
fn a_half_open_breaker_loses_no_trial_so_that_an_endpoint_that_recovers_is_used_again() {
    check(SEEDS, 10, 60, |seed, steps| {
        let mut simulation = Simulation::new(seed);
        for part in steps.chunks(15) {
            // Some or all endpoints fail, their breakers open, and their trials fail alike.
            let served = part.len() as u64 % 4;
            let status = |key: u64, _: &EndpointId| {
                if key % 4 >= served {
                    Status::Failed
                } else {
                    Status::Ok
                }
            };
            serve_reads(&mut simulation, 40, |_| None, status);
            simulation.advance(COOLDOWN);
            serve_reads(&mut simulation, 20, |_| None, status);
            simulation.play(part);
        }
        (0..SERVERS).for_each(|i| simulation.change_endpoint(i, Change::Ready));
        let hit = |_| Some(CacheResult::Hit);
        // Longer than the longest cooldown, and as long again for its trials.
        (0..20).for_each(|_| {
            serve_reads(&mut simulation, 20, hit, |_, _| Status::Ok);
            simulation.advance(ms(1_000));
        });
        let last = simulation.now;
        serve_reads(&mut simulation, 200, hit, |_, _| Status::Ok);
        let late = simulation.observations.iter().filter(|(at, _)| *at >= last);
        let used: BTreeSet<_> = late
            .filter_map(|(_, observation)| match observation {
                Observation::AttemptSent { endpoint, .. } => Some(endpoint.id.clone()),
                _ => None,
            })
            .collect();
        let missing: Vec<_> = (0..SERVERS)
            .map(|i| Simulation::endpoint(i).id)
            .filter(|id| !used.contains(id))
            .collect();
        assert!(missing.is_empty(), "{missing:?} answer and are not used");
    });
}

/// Which incarnation of an endpoint is listed, as it is seen from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Incarnation {
    started: Option<Timestamp>,
    number: u32,
}

fn count_incarnations(
    incarnations: &mut BTreeMap<EndpointId, Incarnation>,
    list: impl IntoIterator<Item = Endpoint> + AsRef<[Endpoint]>,
) {
    for (id, incarnation) in incarnations.iter_mut() {
        let is_listed = list.as_ref().iter().any(|endpoint| endpoint.id == *id);
        incarnation.number += u32::from(!is_listed);
    }
    for endpoint in list {
        let first = Incarnation {
            started: endpoint.started,
            number: 0,
        };
        let incarnation = incarnations.entry(endpoint.id).or_insert(first);
        let before = std::mem::replace(&mut incarnation.started, endpoint.started);
        incarnation.number += u32::from(before != endpoint.started);
    }
}

#[test]
fn an_outcome_of_an_earlier_incarnation_opens_no_breaker_of_the_present_one() {
    check(SEEDS, CASES, LENGTH, |seed, steps| {
        let mut incarnations = BTreeMap::<EndpointId, Incarnation>::new();
        let mut sent_to = BTreeMap::new();
        let mut last_ended = None;
        for (_, observation) in Simulation::run(seed, steps).observations {
            match observation {
                Observation::EndpointsListed(list) => count_incarnations(&mut incarnations, list),
                Observation::AttemptSent { id, endpoint } => {
                    let incarnation = incarnations.get(&endpoint.id).copied();
                    sent_to.insert((id, endpoint.id), incarnation);
                }
                Observation::AttemptEnded { id, endpoint, .. } => {
                    last_ended = Some((endpoint.id.clone(), sent_to[&(id, endpoint.id)]));
                }
                Observation::BreakerOpened(scope) if scope != BreakerScope::Origin => {
                    let opened = endpoint_of(&scope).expect("a small deployment has no zone's");
                    let (endpoint, incarnation) = last_ended
                        .clone()
                        .expect("an outcome before a breaker opens");
                    assert_eq!(endpoint, *opened);
                    assert_eq!(
                        incarnation,
                        incarnations.get(opened).copied(),
                        "an outcome of an earlier incarnation opens the breaker of {opened}"
                    );
                }
                _ => {}
            }
        }
    });
}
