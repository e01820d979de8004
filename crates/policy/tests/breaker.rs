//! The breaker's transitions at each boundary, seen through the sends.

mod common;
use common::*;
use slatelink_policy::*;

/// Two endpoints and a key of the first of them.
fn pair() -> (Node, EndpointId) {
    let mut node = Node::with_endpoints(settings(), 2);
    let own = node.read(7, Status::Ok).expect("served");
    (node, own)
}

fn open_breaker(node: &mut Node, own: &EndpointId) {
    for _ in 0..20 {
        if node.read(7, Status::Failed).as_ref() != Some(own) {
            return;
        }
    }
    panic!("twenty failures did not open the breaker");
}

#[test]
fn two_failures_are_too_few_to_open_a_breaker() {
    let mut node = Node::with_endpoints(settings(), 2);
    let own = node.read(7, Status::Failed).expect("sent");
    assert_eq!(node.read(7, Status::Failed), Some(own.clone()));
    assert_eq!(
        node.read(7, Status::Failed),
        Some(own.clone()),
        "the third call still goes there"
    );
    assert_ne!(
        node.read(7, Status::Ok),
        Some(own),
        "three failures of three open it"
    );
}

#[test]
fn a_failure_rate_under_the_threshold_opens_no_breaker() {
    let (mut node, own) = pair();
    for _ in 0..10 {
        // Failures stay at half of the calls.
        assert_eq!(node.read(7, Status::Failed), Some(own.clone()));
        assert_eq!(node.read(7, Status::Ok), Some(own.clone()));
    }
}

#[test]
fn failures_of_an_earlier_window_do_not_count() {
    let (mut node, own) = pair();
    node.read(7, Status::Failed);
    node.advance(ms(5_000));
    // With the calls of the last window this failure would open it at 2 of 3.
    assert_eq!(node.read(7, Status::Failed), Some(own.clone()));
    assert_eq!(node.read(7, Status::Ok), Some(own));
}

#[test]
fn an_open_breaker_blocks_until_its_cooldown_ends_and_three_trials_close_it() {
    let (mut node, own) = pair();
    open_breaker(&mut node, &own);
    assert_ne!(node.read(7, Status::Ok), Some(own.clone()));
    node.advance(ms(5_990));
    assert_ne!(
        node.read(7, Status::Ok),
        Some(own.clone()),
        "just before the end of the cooldown"
    );
    node.advance(ms(10));
    for _ in 0..4 {
        assert_eq!(node.read(7, Status::Ok), Some(own.clone()));
    }
}

#[test]
fn a_half_open_breaker_admits_three_trials_and_opens_again_when_one_fails() {
    let (mut node, own) = pair();
    open_breaker(&mut node, &own);
    node.advance(ms(6_000));
    let ids: Vec<RequestId> = (0..4).map(|_| node.request(0, 7, ms(400))).collect();
    let at_own = ids
        .iter()
        .filter(|id| node.in_flight(id).expect("sent").1 == own)
        .count();
    assert_eq!(at_own, 3, "the fourth goes elsewhere");
    node.end_attempt_in_flight(&ids[0], Status::Failed);
    assert_ne!(node.read(7, Status::Ok), Some(own.clone()), "reopened");
    // Late successes of the trials say nothing of the reopened breaker.
    node.end_attempt_in_flight(&ids[1], Status::Ok);
    node.end_attempt_in_flight(&ids[2], Status::Ok);
    assert_ne!(node.read(7, Status::Ok), Some(own));
}

#[test]
fn an_inconclusive_trial_may_be_made_again() {
    let (mut node, own) = pair();
    open_breaker(&mut node, &own);
    node.advance(ms(6_000));
    let ids: Vec<RequestId> = (0..3).map(|_| node.request(0, 7, ms(400))).collect();
    for id in &ids {
        node.end_attempt_in_flight(id, Status::Canceled);
    }
    assert_eq!(node.read(7, Status::Ok), Some(own));
}

#[test]
fn outcomes_of_an_earlier_state_do_not_count() {
    let (mut node, own) = pair();
    let late = node.request(0, 7, ms(30_000));
    open_breaker(&mut node, &own);
    node.advance(ms(6_000));
    for _ in 0..3 {
        node.read(7, Status::Ok);
    }
    // Sent while closed, before the breaker opened: one more failure must not count against the closed breaker.
    node.end_attempt_in_flight(&late, Status::Failed);
    node.read(7, Status::Failed);
    node.read(7, Status::Failed);
    assert_eq!(node.read(7, Status::Ok), Some(own));
}

#[test]
fn a_restarted_endpoint_has_a_closed_breaker() {
    let (mut node, own) = pair();
    open_breaker(&mut node, &own);
    let long_ago = Timestamp::from_micros(node.now.as_micros() - 60_000_000);
    node.list_delta(vec![Endpoint {
        started: Some(long_ago),
        ..Endpoint::new(own.as_str())
    }]);
    assert_eq!(node.read(7, Status::Ok), Some(own));
}

#[test]
fn with_every_endpoint_blocked_the_first_one_of_the_key_is_used() {
    let mut node = Node::with_endpoints(settings(), 1);
    let own = node.read(7, Status::Ok).expect("served");
    for _ in 0..30 {
        assert_eq!(
            node.read(7, Status::ConnectError),
            Some(own.clone()),
            "blocked or not, it is all there is"
        );
    }
}

#[test]
fn most_endpoints_stay_in_use_however_many_fail() {
    // Guards against this: a cause in common opens every breaker, and the keys pile up on the last endpoint.
    let mut node = Node::with_endpoints(settings(), 10);
    for key in 0..400 {
        node.read(key, Status::Failed);
        node.advance(ms(5));
    }
    let mut met = std::collections::BTreeSet::new();
    for key in 0..400 {
        met.extend(node.read(key, Status::Ok));
        node.advance(ms(1));
    }
    assert!(
        met.len() >= 6,
        "only {} of 10 endpoints are in use",
        met.len()
    );
}

/// The breaker of an endpoint that fails while the others do well opens, and no other one.
#[test]
fn an_endpoint_that_fails_like_all_others_is_no_outlier() {
    let opened = |others: Status| {
        let mut node = Node::with_endpoints(settings(), 10);
        for key in 0..60 {
            let id = node.request(0, key, ms(400));
            let (_, endpoint) = node.in_flight(&id).expect("sent");
            node.end_attempt_in_flight(
                &id,
                if endpoint.as_str() == "a" {
                    Status::Failed
                } else {
                    others
                },
            );
            if node.in_flight(&id).is_some() {
                node.end_attempt_in_flight(&id, Status::Ok);
            }
            node.advance(ms(5));
        }
        let opened = |action: &&Action| matches!(action, Action::BreakerOpened(scope) if scope.to_string().contains(" a tripped"));
        node.actions.iter().filter(opened).count()
    };
    assert_eq!(opened(Status::Ok), 1);
    assert_eq!(opened(Status::Failed), 0);
}

/// Fetches that fail at every endpoint are the origin's failure. Its breaker keeps misses and writes off it until it
/// has worked its queue down; what endpoints are known to hold is served meanwhile, and no endpoint is ejected.
#[test]
fn failed_fetches_open_the_breaker_of_the_origin_and_of_no_endpoint() {
    let mut node = Node::with_endpoints(settings(), 4);
    let read = |node: &mut Node, key, status, cache_result| {
        let id = node.request(0, key, ms(400));
        while let Some((attempt, _)) = node.in_flight(&id) {
            node.end_attempt_with(&id, attempt, status, Some(cache_result));
        }
        !node.requests[&id].attempts.is_empty()
    };
    for key in 0..8 {
        assert!(read(&mut node, key, Status::Ok, CacheResult::Hit));
    }
    for key in 100..108 {
        read(&mut node, key, Status::Failed, CacheResult::Miss);
        node.advance(ms(10));
    }
    let opened = |node: &Node, of: &str| {
        let line = |action: &&Action| matches!(action, Action::BreakerOpened(scope) if scope.to_string().contains(of));
        node.actions.iter().filter(line).count()
    };
    assert_eq!(
        (opened(&node, "origin tripped"), opened(&node, "tripped")),
        (1, 1)
    );
    assert!(
        !read(&mut node, 200, Status::Ok, CacheResult::Miss),
        "a likely miss is shed"
    );
    assert!(
        read(&mut node, 3, Status::Ok, CacheResult::Hit),
        "a key that is cached is served"
    );
    let write = Request {
        write: true,
        class: Some(ClassId(1)),
        ..Request::new("w", node.now + ms(400))
    };
    let write = node.submit(write);
    assert!(node.requests[&write].answered, "a write is shed");
    node.advance(ms(9_000));
    for key in 300..303 {
        assert!(
            read(&mut node, key, Status::Ok, CacheResult::Miss),
            "a trial after the cooldown"
        );
    }
    assert!(
        read(&mut node, 303, Status::Ok, CacheResult::Miss),
        "closed again"
    );
}

/// A half-open trial of the origin that times out tells nothing of it and gives its place back.
#[test]
fn a_trial_of_the_origin_that_times_out_may_be_made_again() {
    let mut node = Node::with_endpoints(settings(), 4);
    for key in 100..108 {
        let id = node.request(0, key, ms(400));
        while let Some((attempt, _)) = node.in_flight(&id) {
            node.end_attempt_with(&id, attempt, Status::Failed, Some(CacheResult::Miss));
        }
    }
    node.advance(ms(9_000));
    for key in 0..9 {
        node.request(0, key, ms(400));
        node.advance(ms(1_000));
    }
    let id = node.request(0, 77, ms(400));
    assert!(node.in_flight(&id).is_some());
}

#[test]
fn the_first_calls_of_a_window_are_too_few_to_open_the_breaker_of_a_busy_endpoint() {
    // Guards against this: with one call in eight broken, two of a window's first three are so every few windows, and
    // the endpoint's keys are missed elsewhere for a whole cooldown.
    let (mut node, own) = pair();
    for _ in 0..100 {
        assert_eq!(node.read(7, Status::Ok), Some(own.clone()));
    }
    node.advance(ms(5_000));
    for _ in 0..9 {
        assert_eq!(node.read(7, Status::Reset), Some(own.clone()));
    }
    node.read(7, Status::Reset);
    assert_ne!(
        node.read(7, Status::Ok),
        Some(own),
        "a tenth of the usual calls is enough"
    );
}

#[test]
fn an_endpoint_that_rejects_for_load_is_limited_and_not_blocked() {
    // Guards against this: a few requests meet at a small queue, the breaker takes the whole endpoint away for a
    // cooldown, and its load opens the breaker of the next one.
    let (mut node, own) = pair();
    let opened = |node: &Node| {
        node.actions
            .iter()
            .any(|action| matches!(action, Action::BreakerOpened(_)))
    };
    for _ in 0..2 {
        // Of five at once the endpoint takes one.
        let ids: Vec<RequestId> = (0..5).map(|_| node.request(0, 7, ms(400))).collect();
        for id in &ids[1..] {
            assert_eq!(node.in_flight(id).expect("sent").1, own);
            node.end_attempt_in_flight(id, Status::Rejected);
        }
        node.advance(ms(50));
        for id in &ids {
            node.end_attempt_in_flight(id, Status::Ok);
        }
        node.advance(ms(1_000));
    }
    assert!(!opened(&node));
}

#[test]
fn an_endpoint_that_rejects_everything_is_blocked() {
    let (mut node, own) = pair();
    node.advance(ms(1_000));
    let declined = (0..50)
        .take_while(|_| node.read(7, Status::Rejected).as_ref() == Some(&own))
        .count();
    assert_eq!(declined, 2, "two of three calls of the window");
}

#[test]
fn a_trial_rejected_while_others_are_in_flight_may_be_made_again() {
    let (mut node, own) = pair();
    open_breaker(&mut node, &own);
    node.advance(ms(6_000));
    let ids: Vec<RequestId> = (0..3).map(|_| node.request(0, 7, ms(400))).collect();
    node.end_attempt_in_flight(&ids[1], Status::Rejected);
    node.end_attempt_in_flight(&ids[2], Status::Rejected);
    node.end_attempt_in_flight(&ids[0], Status::Ok);
    assert_eq!(node.read(7, Status::Ok), Some(own), "not reopened");
}

#[test]
fn a_class_rejected_by_an_endpoint_without_a_queue_is_blocked_soon_and_alone() {
    // Guards against this: each such request loses its time there, and what was served before hides it for a whole
    // window; or the endpoint loses the keys of all classes for one.
    let (mut node, own) = pair();
    node.load.queue_length = Some(0.0);
    let ask = |node: &mut Node, status| {
        let id = node.request(1, 7, ms(400));
        let (_, endpoint) = node.in_flight(&id).expect("sent");
        node.end_attempt_in_flight(&id, if endpoint == own { status } else { Status::Ok });
        if !node.requests[&id].answered {
            node.end_attempt_in_flight(&id, Status::Ok);
        }
        endpoint
    };
    for _ in 0..50 {
        assert_eq!(ask(&mut node, Status::Ok), own);
    }
    node.advance(ms(1_000));
    let declined = (0..50)
        .take_while(|_| ask(&mut node, Status::Rejected) == own)
        .count();
    assert!(
        (3..=6).contains(&declined),
        "{declined} were rejected before the breaker opened"
    );
    for _ in 0..20 {
        assert_eq!(node.read(7, Status::Ok), Some(own.clone()), "another class");
    }
}
