//! The circuit breakers of endpoints.

use crate::events::{check, ServerChange, SERVERS};
use crate::simulation::{
    ms, serve_reads, Observation, Simulation, CASES, COOLDOWN, LENGTH, SEEDS, TRIALS,
};
use slatelink_policy::*;
use std::collections::{BTreeMap, BTreeSet};

/// Returns the endpoint that a breaker guards, for all classes or for one class.
fn endpoint_of(scope: &BreakerScope) -> Option<&EndpointId> {
    match scope {
        BreakerScope::Endpoint(endpoint) | BreakerScope::EndpointClass { endpoint, .. } => {
            Some(endpoint)
        }
        BreakerScope::Zone(_) | BreakerScope::Origin => None,
    }
}

/// State of an endpoint's breaker, derived from the observations.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ObservedState {
    Closed,
    Open { until: Timestamp },
    HalfOpen { in_flight: usize, succeeded: usize },
}

/// Model of the breakers of all endpoints, derived from the observations so far.
#[derive(Default)]
struct ObservedBreakers {
    states: BTreeMap<EndpointId, ObservedState>,
    listed: Vec<Endpoint>,
    started: BTreeMap<EndpointId, Option<Timestamp>>,
    /// Endpoints of which a breaker has ever opened, including breakers of a single class.
    ever_opened: BTreeSet<EndpointId>,
    /// Requests with at least one attempt.
    attempted: BTreeSet<RequestId>,
}

impl ObservedBreakers {
    fn on_endpoints_listed(&mut self, list: &[Endpoint]) {
        for endpoint in list {
            // An endpoint that restarts or is listed again is a new incarnation with a new breaker.
            let before = self.started.insert(endpoint.id.clone(), endpoint.started);
            if before != Some(endpoint.started) {
                self.states
                    .insert(endpoint.id.clone(), ObservedState::Closed);
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
                .insert(endpoint.clone(), ObservedState::Open { until });
        }
        self.ever_opened.extend(endpoint_of(scope).cloned());
    }

    /// Asserts that the endpoint's breaker admits the attempt. If all endpoints are blocked, the
    /// first attempt of a request is sent to the first endpoint of its key despite the breaker, by
    /// design.
    fn on_sent(&mut self, id: &RequestId, endpoint: &Endpoint, now: Timestamp) {
        let first = self.attempted.insert(id.clone());
        let must_be_admitted =
            (!first || self.has_never_blocked_endpoint()) && endpoint.kind.is_none();
        let state = self
            .states
            .entry(endpoint.id.clone())
            .or_insert(ObservedState::Closed);
        match state {
            ObservedState::Open { until } if now >= *until => {
                *state = ObservedState::HalfOpen {
                    in_flight: 1,
                    succeeded: 0,
                };
            }
            ObservedState::Open { .. } => {
                assert!(
                    !must_be_admitted,
                    "{id} is sent to {} during its cooldown",
                    endpoint.id
                );
            }
            ObservedState::HalfOpen {
                in_flight,
                succeeded,
            } => {
                *in_flight += 1;
                assert!(
                    !must_be_admitted || *in_flight + *succeeded <= TRIALS,
                    "{id} exceeds the limit of {TRIALS} trials at {}",
                    endpoint.id
                );
            }
            ObservedState::Closed => {}
        }
    }

    fn on_ended(&mut self, endpoint: &Endpoint, status: Status) {
        let Some(state) = self.states.get_mut(&endpoint.id) else {
            return;
        };
        if let ObservedState::HalfOpen {
            in_flight,
            succeeded,
        } = state
        {
            *in_flight = in_flight.saturating_sub(1);
            *succeeded += usize::from(matches!(status, Status::Ok | Status::Miss));
            if *succeeded >= TRIALS {
                *state = ObservedState::Closed;
            }
        }
    }

    /// Checks whether the list has a ready endpoint at full capacity whose breakers have never
    /// opened.
    fn has_never_blocked_endpoint(&self) -> bool {
        self.listed.iter().any(|endpoint| {
            endpoint.availability == Availability::Ready
                && endpoint.kind.is_none()
                && endpoint.started.is_none()
                && !self.ever_opened.contains(&endpoint.id)
        })
    }
}

#[test]
fn open_breaker_admits_nothing_and_half_open_breaker_only_its_trials_while_another_is_closed() {
    check(SEEDS, 10, 60, |seed, steps| {
        let mut simulation = Simulation::new(seed);
        for (i, chunk) in steps.chunks(15).enumerate() {
            // One endpoint fails until its breaker opens, then many requests arrive at once during
            // and after its cooldown.
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
            simulation.apply_steps(chunk);
        }
        let mut breakers = ObservedBreakers::default();
        for (at, observation) in &simulation.observations {
            match observation {
                Observation::EndpointsListed(list) => breakers.on_endpoints_listed(list),
                Observation::BreakerOpened(scope) => breakers.on_opened(scope, *at),
                Observation::AttemptSent { id, endpoint } => breakers.on_sent(id, endpoint, *at),
                Observation::AttemptEnded {
                    endpoint, status, ..
                } => breakers.on_ended(endpoint, *status),
                _ => {}
            }
        }
    });
}

#[test]
fn half_open_breakers_lose_no_trial_so_recovered_endpoints_are_used_again() {
    check(SEEDS, 10, 60, |seed, steps| {
        let mut simulation = Simulation::new(seed);
        for chunk in steps.chunks(15) {
            // Requests for some or all keys fail, so breakers open, and trials with these keys fail
            // too.
            let served_keys_of_four = chunk.len() as u64 % 4;
            let status = |key: u64, _: &EndpointId| {
                if key % 4 >= served_keys_of_four {
                    Status::Failed
                } else {
                    Status::Ok
                }
            };
            serve_reads(&mut simulation, 40, |_| None, status);
            simulation.advance(COOLDOWN);
            serve_reads(&mut simulation, 20, |_| None, status);
            simulation.apply_steps(chunk);
        }
        (0..SERVERS).for_each(|i| simulation.change_endpoint(i, ServerChange::Ready));
        let hit = |_| Some(CacheResult::Hit);
        // Longer than the longest cooldown, plus the same time for the trials.
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
        let unused: Vec<_> = (0..SERVERS)
            .map(|i| Simulation::endpoint(i).id)
            .filter(|id| !used.contains(id))
            .collect();
        assert!(
            unused.is_empty(),
            "{unused:?} respond but receive no request"
        );
    });
}

/// Incarnation of an endpoint, derived from the lists.
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
        let initial = Incarnation {
            started: endpoint.started,
            number: 0,
        };
        let incarnation = incarnations.entry(endpoint.id).or_insert(initial);
        let before = std::mem::replace(&mut incarnation.started, endpoint.started);
        incarnation.number += u32::from(before != endpoint.started);
    }
}

#[test]
fn an_outcome_of_an_earlier_incarnation_opens_no_breaker_of_the_current_incarnation() {
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
                    let opened =
                        endpoint_of(&scope).expect("a small deployment has no breakers of zones");
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
