//! Responses and attempts: each request gets one final response, is repeated only as its class
//! allows, and is never sent to a draining endpoint.

use crate::events::check;
use crate::simulation::{Observation, Simulation, CASES, LENGTH, SEEDS};
use slatelink_policy::*;
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn each_request_gets_one_final_response_by_its_deadline_and_no_later_attempt() {
    check(SEEDS, CASES, LENGTH, |seed, steps| {
        let mut open_requests = BTreeMap::new();
        for (at, observation) in Simulation::run(seed, steps).observations {
            match observation {
                Observation::RequestArrived(request) => {
                    open_requests.insert(request.id, request.deadline);
                }
                Observation::Answered { id, .. } => {
                    let deadline = open_requests
                        .remove(&id)
                        .unwrap_or_else(|| panic!("{id} got a response but is not open"));
                    assert!(at <= deadline, "{id} got its response after its deadline");
                }
                Observation::ClientDisconnected(id) => drop(open_requests.remove(&id)),
                Observation::AttemptSent { id, .. } => {
                    assert!(
                        open_requests.contains_key(&id),
                        "{id} is sent after its end"
                    );
                }
                _ => {}
            }
        }
        assert!(open_requests.is_empty(), "no response to {open_requests:?}");
    });
}

/// Earlier attempt whose request may have run at the endpoint.
struct EarlierAttempt {
    sent: Timestamp,
    endpoint: Endpoint,
}

fn may_repeat(
    idempotency: Idempotency,
    earlier: &EarlierAttempt,
    endpoint: &Endpoint,
    now: Timestamp,
) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, window } => {
            let in_scope = match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => earlier.endpoint.zone == endpoint.zone,
                DeduplicationScope::Cell => earlier.endpoint.cell == endpoint.cell,
            };
            now < earlier.sent + window && in_scope
        }
    }
}

fn every_endpoint_discards_repeats(idempotency: Idempotency) -> bool {
    matches!(
        idempotency,
        Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DeduplicationScope::All,
                ..
            }
    )
}

#[test]
fn a_request_that_may_have_run_is_retried_or_shed_only_as_its_class_allows() {
    check(SEEDS, CASES, LENGTH, |seed, steps| {
        let simulation = Simulation::run(seed, steps);
        let mut classes = BTreeMap::new();
        let mut may_have_run = BTreeMap::<RequestId, Vec<EarlierAttempt>>::new();
        for (at, observation) in &simulation.observations {
            match observation {
                Observation::RequestArrived(request) => {
                    classes.insert(request.id.clone(), simulation.class(request).idempotency);
                }
                Observation::AttemptSent { id, endpoint } => {
                    let earlier = may_have_run.entry(id.clone()).or_default();
                    for attempt in earlier.iter() {
                        let allowed = may_repeat(classes[id], attempt, endpoint, *at);
                        assert!(allowed, "{id} is retried against the rules of its class");
                    }
                    earlier.push(EarlierAttempt {
                        sent: *at,
                        endpoint: endpoint.clone(),
                    });
                }
                Observation::AttemptEnded {
                    id,
                    endpoint,
                    status,
                    ..
                } if status.never_ran() => {
                    let earlier = may_have_run.entry(id.clone()).or_default();
                    let index = earlier
                        .iter()
                        .position(|attempt| attempt.endpoint.id == endpoint.id)
                        .expect("the attempt was sent");
                    earlier.remove(index);
                }
                Observation::Answered {
                    id,
                    retry_after: Some(_),
                } => {
                    let never_ran = may_have_run.get(id).is_none_or(Vec::is_empty);
                    assert!(
                        every_endpoint_discards_repeats(classes[id]) || never_ran,
                        "{id} is shed although it may have run"
                    );
                }
                _ => {}
            }
        }
    });
}

#[test]
fn no_attempt_is_sent_to_an_endpoint_that_is_draining_or_removed() {
    check(SEEDS, CASES, LENGTH, |seed, steps| {
        for (_, observation) in Simulation::run(seed, steps).observations {
            if let Observation::AttemptSent { id, endpoint } = observation {
                assert_eq!(
                    endpoint.availability,
                    Availability::Ready,
                    "{id} is sent to {}",
                    endpoint.id
                );
            }
        }
    });
}

/// Request without a final response.
struct OpenRequest {
    arrived: Timestamp,
    in_flight: i32,
    attempted: bool,
    latency_objective: Duration,
}

impl OpenRequest {
    /// Asserts that the request has an attempt in flight or is queued. A queued request has had no
    /// attempt, and its latency objective has not passed.
    fn assert_in_flight_or_queued(&self, id: &RequestId, now: Timestamp) {
        let in_flight = self.in_flight > 0;
        assert!(
            in_flight || !self.attempted,
            "{id} was attempted and has neither an attempt in flight nor a response"
        );
        assert!(
            in_flight || now.since(self.arrived) < self.latency_objective,
            "{id} is queued past its latency objective"
        );
    }
}

#[test]
fn an_abandoned_request_is_answered_in_the_same_event_and_a_shed_request_gets_a_retry_after() {
    check(SEEDS, CASES, LENGTH, |seed, steps| {
        let simulation = Simulation::run(seed, steps);
        let mut open_requests = BTreeMap::<RequestId, OpenRequest>::new();
        let mut over_quota = None;
        for (at, observation) in &simulation.observations {
            match observation {
                Observation::RequestArrived(request) => {
                    over_quota = request.over_quota.then(|| request.id.clone());
                    let arrived = OpenRequest {
                        arrived: *at,
                        in_flight: 0,
                        attempted: false,
                        latency_objective: simulation.class(request).latency_objective,
                    };
                    open_requests.insert(request.id.clone(), arrived);
                }
                Observation::AttemptSent { id, .. } => {
                    if let Some(request) = open_requests.get_mut(id) {
                        request.in_flight += 1;
                        request.attempted = true;
                    }
                }
                Observation::AttemptEnded { id, .. } => {
                    if let Some(request) = open_requests.get_mut(id) {
                        request.in_flight -= 1;
                    }
                }
                Observation::Answered { id, retry_after } => {
                    open_requests.remove(id);
                    if let Some(delay) = retry_after {
                        let max = simulation.settings.max_retry_after;
                        assert!(
                            !delay.is_zero() && *delay <= max,
                            "{id} has a Retry-After of {delay:?}, expected more than 0 and \
                             at most {max:?}"
                        );
                    }
                }
                Observation::ClientDisconnected(id) => drop(open_requests.remove(id)),
                Observation::EventHandled => {
                    for (id, request) in &open_requests {
                        request.assert_in_flight_or_queued(id, *at);
                    }
                    let unanswered = over_quota
                        .take()
                        .filter(|id| open_requests.contains_key(id));
                    assert_eq!(
                        unanswered, None,
                        "a request over its quota is not shed at once"
                    );
                }
                _ => {}
            }
        }
    });
}

#[test]
fn equal_events_cause_equal_actions() {
    check(0..2, 10, LENGTH, |seed, steps| {
        let [first, second] =
            [(); 2].map(|()| format!("{:?}", Simulation::run(seed, steps).observations));
        assert_eq!(first, second);
    });
}
