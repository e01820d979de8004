//! The four rules, each on its own; `properties` has them over arbitrary sequences of events.

mod common;
use common::*;
use slatelink_policy::*;
use std::time::Duration;

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_never_ran() {
    let mut node = Node::with_endpoints(settings(), 3);
    let id = node.request(2, 7, ms(400));
    node.end_attempt_in_flight(&id, Status::Rejected);
    let (attempt, _) = node.in_flight(&id).expect("never ran: retried");
    assert_eq!(attempt, 1);
    let actions = node.end_attempt_in_flight(&id, Status::TimedOut);
    assert_eq!(
        actions,
        [Action::Fail { id }],
        "it may have run: neither retried nor shed"
    );
}

#[test]
fn a_keyed_request_is_not_retried_after_its_deduplication_window() {
    let mut node = Node::with_endpoints(settings(), 3);
    let id = node.request(1, 7, ms(5_000));
    node.advance(ms(500));
    node.end_attempt_in_flight(&id, Status::Failed);
    assert!(node.in_flight(&id).is_some(), "within the window, retried");
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
        // `Node` asserts the cell; here only that the rule is not kept by giving up.
        retried += usize::from(node.in_flight(&id).is_some());
        if node.in_flight(&id).is_some() {
            node.end_attempt_in_flight(&id, Status::Ok);
        }
        node.advance(ms(100));
    }
    assert!(retried > 5, "{retried} of 30 were retried");
}

#[test]
fn a_draining_or_removed_endpoint_is_sent_nothing_new() {
    let mut node = Node::with_endpoints(settings(), 2);
    let own = node.read(7, Status::Ok).expect("served");
    let entry = |availability| Endpoint {
        availability,
        ..Endpoint::new(own.as_str())
    };
    node.list_delta(vec![entry(Availability::Draining)]);
    assert_ne!(node.read(7, Status::Ok), Some(own.clone()));
    node.list_delta(vec![entry(Availability::Removed)]);
    assert_ne!(node.read(7, Status::Ok), Some(own.clone()));
    node.list_delta(vec![entry(Availability::Ready)]);
    assert_eq!(
        node.read(7, Status::Ok),
        Some(own),
        "an id that returns is used again"
    );
}

// Guards against the last resort, the key's own endpoint though it is blocked, that picks a draining one.
#[test]
fn with_every_endpoint_blocked_no_draining_one_is_selected() {
    let mut node = Node::with_endpoints(settings(), 3);
    let draining: EndpointId = "b".into();
    let own: Vec<u64> = (0..60)
        .filter(|key| node.read(*key, Status::Ok) == Some(draining.clone()))
        .collect();
    assert!(own.len() > 5, "keys of the one that will drain");
    node.list_delta(vec![Endpoint {
        availability: Availability::Draining,
        ..Endpoint::new("b")
    }]);
    // One after the other: while most fail, none is blocked.
    let opened = |node: &Node, endpoint: &str| {
        let scope = BreakerScope::Endpoint(endpoint.into());
        node.actions.contains(&Action::BreakerOpened(scope))
    };
    for bad in ["a", "c"] {
        for key in 0..4_000 {
            if opened(&node, bad) {
                break;
            }
            let id = node.request(0, key, ms(400));
            while let Some((attempt, endpoint)) = node.in_flight(&id) {
                let status = if endpoint.as_str() == bad {
                    Status::Failed
                } else {
                    Status::Ok
                };
                node.end_attempt(&id, attempt, status);
            }
            node.advance(ms(1));
        }
        assert!(opened(&node, bad), "{bad}");
    }
    let sent: Vec<_> = own
        .iter()
        .filter_map(|key| node.read(*key, Status::Failed))
        .collect();
    assert!(!sent.is_empty() && !sent.contains(&draining), "{sent:?}");
}

#[test]
fn without_endpoints_a_request_is_answered_at_once() {
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
fn a_request_of_no_known_class_is_treated_as_non_idempotent() {
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
    node.requests.get_mut(&id).expect("known").answered = true;
    assert_eq!(node.handle(Event::RequestCanceled(id.clone())), []);
    assert_eq!(node.handle(Event::RequestCanceled(id.clone())), []);
    // The late outcome must not bring the request back to life.
    assert_eq!(node.end_attempt_in_flight(&id, Status::Failed), []);
    assert_eq!(node.handle(Event::Timer), []);
    assert_eq!(node.handle(Event::RequestCanceled("unheard-of".into())), []);
}

#[test]
fn discovery_is_polled_again_after_a_call_that_failed() {
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
    assert_eq!(node.handle(Event::Timer), [], "once is enough");
    let again = node.handle(Event::Endpoints(EndpointUpdate::Unavailable));
    assert!(
        matches!(&again[..], [Action::Wake { .. }]),
        "after a while, not at once: {again:?}"
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

/// After a failed call each change counts as notified 6 s after discovery had it: two calls more may fail, and one wait
/// for its turn of 2 s, in that time. And nodes that lost discovery together must come back apart.
#[test]
fn failed_polls_are_retried_in_time_and_with_jitter() {
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
        let pause = |_| {
            let (failed, before) = (node.now, node.actions.len());
            node.handle(Event::Endpoints(EndpointUpdate::Unavailable));
            while !node.actions[before..].contains(&Action::PollDiscovery) {
                node.advance(ms(5));
            }
            node.now.since(failed)
        };
        (0..8).map(pause).collect::<Vec<_>>()
    };
    let all: Vec<_> = (0..20).flat_map(|seed| pauses(seed, ms(10_000))).collect();
    assert!(
        all.iter()
            .all(|pause| *pause <= ms(850) && *pause >= ms(350)),
        "{all:?}"
    );
    let (least, most) = (
        all.iter().min().expect("some"),
        all.iter().max().expect("some"),
    );
    assert!(*most - *least >= ms(400), "{all:?}");
    // Where the settings leave less time for asking, that is kept as well.
    assert!(pauses(1, ms(800)).iter().all(|pause| *pause < ms(400)));
}

/// The slow start budget, counted from outside: what one node sends a new endpoint in any span stays under the
/// stated multiple of what that endpoint can do, taking the rest of the fleet's use for its size.
#[test]
fn an_endpoint_that_warms_up_is_not_overloaded() {
    let mut node = Node::with_endpoints(settings(), 10);
    let started_at = node.now + ms(4_000);
    let (mut to_starting, mut all) = (Vec::new(), 0.0);
    let mut rng = fastrand::Rng::with_seed(11);
    for step in 0..20_000u64 {
        if step == 5_000 {
            let mut list: Vec<Endpoint> = node.listed.values().cloned().collect();
            list[0].started = Some(started_at);
            node.list_delta(list);
        }
        // One key in two is the same hot one; an eighth of the answers ask for another attempt.
        let key = if rng.bool() { 3 } else { rng.u64(..) };
        let id = node.request(0, key, ms(400));
        for status in [Status::Rejected, Status::Ok] {
            if let Some((attempt, endpoint)) = node.in_flight(&id) {
                if step >= 5_000 {
                    all += 1.0;
                    if endpoint.as_str() == "a" {
                        to_starting.push(node.now);
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
            if step >= 5_000 && node.in_flight(&id).expect("out").1.as_str() == "a" {
                to_starting.push(node.now);
            }
            node.end_attempt_in_flight(&id, Status::Ok);
        }
        node.requests.retain(|_, open| !open.answered);
    }
    assert!(
        to_starting.len() > 100,
        "it must get some work: {}",
        to_starting.len()
    );
    let per_server = all / 15.0 / 10.0;
    for (i, at) in to_starting.iter().enumerate() {
        let within = to_starting[i..]
            .iter()
            .take_while(|later| later.since(*at) <= node.settings.slow_start_overload_window)
            .count();
        let age =
            at.since(started_at).as_secs_f64() / node.settings.slow_start_duration.as_secs_f64();
        if age < 0.9 {
            let capacity = per_server
                * (node.settings.slow_start_min_capacity
                    + (1.0 - node.settings.slow_start_min_capacity) * age);
            let most = node.settings.slow_start_overload_factor * capacity * 1.2 + 2.0;
            assert!(
                (within as f64) < most,
                "{within} in a span, {most} allowed at age {age}"
            );
        }
    }
}

#[test]
fn an_endpoint_removed_and_listed_again_gets_no_second_slow_start_budget() {
    // A discovery that flaps must not overload what has just started.
    let sent = |flaps: bool| {
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
    let (steady, flapping) = (sent(false), sent(true));
    assert!(steady > 20, "it must get some work: {steady}");
    assert!(
        flapping <= steady,
        "{flapping} where a steady list gave it {steady}"
    );
}

#[test]
fn an_outcome_of_an_attempt_never_sent_loses_no_request() {
    let mut node = Node::with_endpoints(settings(), 2);
    let id = node.request(0, 7, ms(400));
    let (_, endpoint) = node.in_flight(&id).expect("sent");
    let (cache_result, load) = (None, LoadReport::default());
    let (status, latency, answered) = (Status::Failed, ms(1), false);
    let stray = Outcome {
        id: id.clone(),
        attempt: 9,
        endpoint,
        status,
        cache_result,
        latency,
        answered,
        load,
    };
    assert_eq!(node.handle(Event::AttemptEnded(stray)), []);
    node.advance(ms(500));
    assert!(node.requests[&id].answered);
}

#[test]
fn an_outcome_reported_twice_counts_once() {
    let mut node = Node::with_endpoints(settings(), 3);
    let id = node.request(0, 7, ms(400));
    let (attempt, endpoint) = node.in_flight(&id).expect("sent");
    node.end_attempt(&id, attempt, Status::Failed);
    assert!(node.in_flight(&id).is_some(), "retried");
    let (cache_result, load, latency, answered) = (None, LoadReport::default(), ms(1), false);
    let again = Outcome {
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
            node.handle(Event::AttemptEnded(again.clone())),
            [],
            "no breaker opens of it"
        );
    }
    node.end_attempt_in_flight(&id, Status::Ok);
    assert!(node.requests[&id].answered);
}
