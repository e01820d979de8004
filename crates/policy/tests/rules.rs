//! Tests of each of the four rules; the tests in `properties` check the rules over generated event
//! sequences.

mod common;
use common::*;
use slatelink_policy::*;
use std::time::Duration;

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_never_ran() {
    let mut node = Node::with_endpoints(settings(), 3);
    let id = node.request(2, 7, ms(400));
    node.end_attempt_in_flight(&id, Status::Rejected);
    let (attempt, _) = node
        .in_flight(&id)
        .expect("the request never ran and is retried");
    assert_eq!(attempt, 1);
    let actions = node.end_attempt_in_flight(&id, Status::TimedOut);
    assert_eq!(
        actions,
        [Action::Fail { id }],
        "the request may have run and is neither retried nor shed"
    );
}

#[test]
fn a_keyed_request_is_not_retried_after_its_deduplication_window() {
    let mut node = Node::with_endpoints(settings(), 3);
    let id = node.request(1, 7, ms(5_000));
    node.advance(ms(500));
    node.end_attempt_in_flight(&id, Status::Failed);
    assert!(
        node.in_flight(&id).is_some(),
        "the request is retried within the window"
    );
    node.advance(ms(600));
    node.end_attempt_in_flight(&id, Status::Failed);
    assert!(node.in_flight(&id).is_none(), "the first send is 1.1 s old");
    assert!(node.requests[&id].answered);
}

#[test]
fn a_keyed_request_is_retried_only_in_its_cell() {
    let mut settings = settings();
    settings.classes[1].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::Cell,
        window: ms(1000),
    };
    let mut node = Node::new(settings, 1);
    node.list_snapshot(
        (0..6u64)
            .map(|i| Endpoint {
                cell: i % 3,
                ..Endpoint::new(&format!("s{i}"))
            })
            .collect(),
    );
    let mut retried = 0;
    for key in 0..30 {
        let id = node.request(1, key, ms(400));
        node.end_attempt_in_flight(&id, Status::Failed);
        // `Node` asserts the cell. This test asserts that requests are retried at all.
        retried += usize::from(node.in_flight(&id).is_some());
        if node.in_flight(&id).is_some() {
            node.end_attempt_in_flight(&id, Status::Ok);
        }
        node.advance(ms(100));
    }
    assert!(retried > 5, "{retried} of 30 were retried");
}

#[test]
fn a_draining_or_removed_endpoint_gets_no_new_request() {
    let mut node = Node::with_endpoints(settings(), 2);
    let owner = node.read(7, Status::Ok).expect("the read is served");
    let entry = |availability| Endpoint {
        availability,
        ..Endpoint::new(owner.as_str())
    };
    node.list_delta(vec![entry(Availability::Draining)]);
    assert_ne!(node.read(7, Status::Ok), Some(owner.clone()));
    node.list_delta(vec![entry(Availability::Removed)]);
    assert_ne!(node.read(7, Status::Ok), Some(owner.clone()));
    node.list_delta(vec![entry(Availability::Ready)]);
    assert_eq!(
        node.read(7, Status::Ok),
        Some(owner),
        "an endpoint that is listed as ready again is used again"
    );
}

// If all endpoints are blocked, a request is sent to the first endpoint of its key despite the open
// breaker. Guards against the selection of a draining endpoint in this case.
#[test]
fn if_all_endpoints_are_blocked_no_draining_endpoint_is_selected() {
    let mut node = Node::with_endpoints(settings(), 3);
    let draining: EndpointId = "b".into();
    let keys_of_draining: Vec<u64> = (0..60)
        .filter(|key| node.read(*key, Status::Ok) == Some(draining.clone()))
        .collect();
    assert!(
        keys_of_draining.len() > 5,
        "too few keys belong to the endpoint that will drain"
    );
    node.list_delta(vec![Endpoint {
        availability: Availability::Draining,
        ..Endpoint::new("b")
    }]);
    // The endpoints fail one after the other, because no breaker opens while most endpoints fail.
    let has_opened = |node: &Node, endpoint: &str| {
        let scope = BreakerScope::Endpoint(endpoint.into());
        node.actions.contains(&Action::BreakerOpened(scope))
    };
    for failing in ["a", "c"] {
        for key in 0..4_000 {
            if has_opened(&node, failing) {
                break;
            }
            let id = node.request(0, key, ms(400));
            while let Some((attempt, endpoint)) = node.in_flight(&id) {
                let status = if endpoint.as_str() == failing {
                    Status::Failed
                } else {
                    Status::Ok
                };
                node.end_attempt(&id, attempt, status);
            }
            node.advance(ms(1));
        }
        assert!(
            has_opened(&node, failing),
            "the breaker of {failing} did not open"
        );
    }
    let sent: Vec<_> = keys_of_draining
        .iter()
        .filter_map(|key| node.read(*key, Status::Failed))
        .collect();
    assert!(!sent.is_empty() && !sent.contains(&draining), "{sent:?}");
}

#[test]
fn a_request_to_a_node_without_endpoints_is_answered_at_once() {
    let mut node = Node::new(settings(), 1);
    for class in 0..3 {
        let id = node.request(class, 7, ms(400));
        assert!(node.requests[&id].answered);
    }
    node.list_snapshot(Vec::new());
    let id = node.request(0, 7, ms(400));
    assert!(node.requests[&id].answered);
}

#[test]
fn a_request_past_its_deadline_fails_at_once() {
    let mut node = Node::with_endpoints(settings(), 2);
    let id = node.request(0, 7, Duration::ZERO);
    assert!(node.requests[&id].answered && node.requests[&id].attempts.is_empty());
}

#[test]
fn a_request_without_a_class_is_treated_as_non_idempotent() {
    let mut node = Node::with_endpoints(settings(), 2);
    let id = node.submit(Request::new("odd", node.now + ms(400)));
    assert_eq!(
        node.end_attempt_in_flight(&id, Status::Failed),
        [Action::Fail { id }]
    );
}

#[test]
fn events_of_requests_that_are_not_pending_are_ignored() {
    let mut node = Node::with_endpoints(settings(), 2);
    let id = node.request(0, 7, ms(400));
    node.requests
        .get_mut(&id)
        .expect("the request is known")
        .answered = true;
    assert_eq!(node.handle(Event::RequestCanceled(id.clone())), []);
    assert_eq!(node.handle(Event::RequestCanceled(id.clone())), []);
    // The late outcome must not make the request pending again.
    assert_eq!(node.end_attempt_in_flight(&id, Status::Failed), []);
    assert_eq!(node.handle(Event::Timer), []);
    assert_eq!(node.handle(Event::RequestCanceled("unknown".into())), []);
}

#[test]
fn discovery_is_polled_again_after_a_failed_call() {
    let mut node = Node::new(
        Settings {
            polls_discovery: true,
            ..settings()
        },
        1,
    );
    assert!(node
        .handle(Event::LastKnownEndpoints(Vec::new().into()))
        .contains(&Action::PollDiscovery));
    assert_eq!(
        node.handle(Event::Timer),
        [],
        "discovery is polled only once"
    );
    let retry_actions = node.handle(Event::Endpoints(EndpointUpdate::Unavailable));
    assert!(
        matches!(&retry_actions[..], [Action::Wake { .. }]),
        "the next poll must follow after a pause: {retry_actions:?}"
    );
    node.advance(ms(5_000));
    assert_eq!(
        node.actions
            .iter()
            .filter(|action| **action == Action::PollDiscovery)
            .count(),
        2
    );
}

/// After a failed call, the node counts as notified of each change 6 s after discovery had the
/// change. Two further failed calls, with a wait of 2 s in discovery's queue, must fit into this
/// time. Jitter prevents nodes that lost discovery together from polling again together.
#[test]
fn failed_polls_are_retried_in_time_with_jitter() {
    let pauses = |seed, max_poll_interval| {
        let mut node = Node::new(
            Settings {
                polls_discovery: true,
                max_poll_interval,
                ..settings()
            },
            seed,
        );
        node.handle(Event::LastKnownEndpoints(Vec::new().into()));
        let next_pause = |_| {
            let (failed_at, actions_before) = (node.now, node.actions.len());
            node.handle(Event::Endpoints(EndpointUpdate::Unavailable));
            while !node.actions[actions_before..].contains(&Action::PollDiscovery) {
                node.advance(ms(5));
            }
            node.now.since(failed_at)
        };
        (0..8).map(next_pause).collect::<Vec<_>>()
    };
    let all_pauses: Vec<_> = (0..20).flat_map(|seed| pauses(seed, ms(10_000))).collect();
    assert!(
        all_pauses
            .iter()
            .all(|pause| *pause <= ms(850) && *pause >= ms(350)),
        "{all_pauses:?}"
    );
    let (shortest, longest) = (
        all_pauses.iter().min().expect("there are pauses"),
        all_pauses.iter().max().expect("there are pauses"),
    );
    assert!(*longest - *shortest >= ms(400), "{all_pauses:?}");
    // A shorter maximum poll interval also bounds the pauses.
    assert!(pauses(1, ms(800)).iter().all(|pause| *pause < ms(400)));
}

/// The number of requests that one node sends to a new endpoint in any window stays below the
/// configured multiple of the endpoint's capacity. The mean load of the fleet's endpoints serves as
/// the endpoint's full capacity.
#[test]
fn a_warming_endpoint_is_not_overloaded() {
    let mut node = Node::with_endpoints(settings(), 10);
    let started_at = node.now + ms(4_000);
    let (mut sends_to_warming, mut all_sends) = (Vec::new(), 0.0);
    let mut rng = fastrand::Rng::with_seed(11);
    for step in 0..20_000u64 {
        if step == 5_000 {
            let mut list: Vec<Endpoint> = node.listed.values().cloned().collect();
            list[0].started = Some(started_at);
            node.list_delta(list);
        }
        // On average, every second request has the same hot key, and one in eight first attempts is
        // rejected and retried.
        let key = if rng.bool() { 3 } else { rng.u64(..) };
        let id = node.request(0, key, ms(400));
        for status in [Status::Rejected, Status::Ok] {
            if let Some((attempt, endpoint)) = node.in_flight(&id) {
                if step >= 5_000 {
                    all_sends += 1.0;
                    if endpoint.as_str() == "a" {
                        sends_to_warming.push(node.now);
                    }
                }
                node.end_attempt(
                    &id,
                    attempt,
                    if rng.u8(0..8) == 0 {
                        status
                    } else {
                        Status::Ok
                    },
                );
            }
        }
        node.advance(ms(1));
        for id in node.requests_in_flight() {
            if step >= 5_000 && node.in_flight(&id).expect("in flight").1.as_str() == "a" {
                sends_to_warming.push(node.now);
            }
            node.end_attempt_in_flight(&id, Status::Ok);
        }
        node.requests
            .retain(|_, client_request| !client_request.answered);
    }
    assert!(
        sends_to_warming.len() > 100,
        "only {} sends to the warming endpoint, expected more than 100",
        sends_to_warming.len()
    );
    let full_capacity = all_sends / 15.0 / 10.0;
    for (i, at) in sends_to_warming.iter().enumerate() {
        let in_window = sends_to_warming[i..]
            .iter()
            .take_while(|later| later.since(*at) <= node.settings.slow_start_overload_window)
            .count();
        let age =
            at.since(started_at).as_secs_f64() / node.settings.slow_start_duration.as_secs_f64();
        if age < 0.9 {
            let capacity = full_capacity
                * (node.settings.slow_start_min_capacity
                    + (1.0 - node.settings.slow_start_min_capacity) * age);
            let max_sends = node.settings.slow_start_overload_factor * capacity * 1.2 + 2.0;
            assert!(
                (in_window as f64) < max_sends,
                "{in_window} sends in one window, expected fewer than {max_sends} at age {age}"
            );
        }
    }
}

#[test]
fn an_endpoint_removed_and_listed_again_gets_no_second_slow_start_budget() {
    // Guards against a flapping list that overloads an endpoint that has just started.
    let sends_to_starting = |flaps: bool| {
        let mut node = Node::with_endpoints(settings(), 4);
        for key in 0..1_000 {
            node.read(key, Status::Ok);
            node.advance(ms(2));
        }
        let started_at = node.now;
        let entry = |availability| Endpoint {
            availability,
            started: Some(started_at),
            ..Endpoint::new("a")
        };
        node.list_delta(vec![entry(Availability::Ready)]);
        let mut sent = 0;
        for key in 0..1_000 {
            if flaps && key % 20 == 0 {
                node.list_delta(vec![entry(Availability::Removed)]);
                node.list_delta(vec![entry(Availability::Ready)]);
            }
            sent += u32::from(
                node.read(key, Status::Ok)
                    .is_some_and(|endpoint| endpoint.as_str() == "a"),
            );
            node.advance(ms(2));
        }
        sent
    };
    let (steady, flapping) = (sends_to_starting(false), sends_to_starting(true));
    assert!(
        steady > 20,
        "only {steady} sends to the starting endpoint, expected more than 20"
    );
    assert!(
        flapping <= steady,
        "{flapping} sends with a flapping list, {steady} with a steady list"
    );
}

#[test]
fn a_request_is_answered_despite_an_outcome_of_an_attempt_that_was_never_sent() {
    let mut node = Node::with_endpoints(settings(), 2);
    let id = node.request(0, 7, ms(400));
    let (_, endpoint) = node.in_flight(&id).expect("the request is sent");
    let (cache_result, load) = (None, LoadReport::default());
    let (status, latency, answered) = (Status::Failed, ms(1), false);
    let unknown_outcome = Outcome {
        id: id.clone(),
        attempt: 9,
        endpoint,
        status,
        cache_result,
        latency,
        answered,
        load,
    };
    assert_eq!(node.handle(Event::AttemptEnded(unknown_outcome)), []);
    node.advance(ms(500));
    assert!(node.requests[&id].answered);
}

#[test]
fn an_outcome_reported_twice_counts_once() {
    let mut node = Node::with_endpoints(settings(), 3);
    let id = node.request(0, 7, ms(400));
    let (attempt, endpoint) = node.in_flight(&id).expect("the request is sent");
    node.end_attempt(&id, attempt, Status::Failed);
    assert!(node.in_flight(&id).is_some(), "the request is retried");
    let (cache_result, load, latency, answered) = (None, LoadReport::default(), ms(1), false);
    let duplicate = Outcome {
        id: id.clone(),
        attempt,
        endpoint,
        status: Status::Failed,
        cache_result,
        latency,
        answered,
        load,
    };
    for _ in 0..20 {
        assert_eq!(
            node.handle(Event::AttemptEnded(duplicate.clone())),
            [],
            "a duplicate outcome opens no breaker"
        );
    }
    node.end_attempt_in_flight(&id, Status::Ok);
    assert!(node.requests[&id].answered);
}
