//! Boundaries of the breaker's state transitions, observed through the endpoints of the attempts.

mod common;
use common::*;
use slatelink_policy::*;

/// Returns a node with two endpoints, and the first endpoint of key 7.
fn node_and_owner() -> (Node, EndpointId) {
    let mut node = Node::with_endpoints(settings(), 2);
    let owner = node.read(7, Status::Ok).expect("the read is served");
    (node, owner)
}

fn open_breaker(node: &mut Node, owner: &EndpointId) {
    for _ in 0..20 {
        if node.read(7, Status::Failed).as_ref() != Some(owner) {
            return;
        }
    }
    panic!("twenty failures did not open the breaker");
}

#[test]
fn two_failures_do_not_open_a_breaker() {
    let mut node = Node::with_endpoints(settings(), 2);
    let owner = node.read(7, Status::Failed).expect("the request is sent");
    assert_eq!(node.read(7, Status::Failed), Some(owner.clone()));
    assert_eq!(
        node.read(7, Status::Failed),
        Some(owner.clone()),
        "the third call is sent to the same endpoint"
    );
    assert_ne!(
        node.read(7, Status::Ok),
        Some(owner),
        "three failures in three calls open the breaker"
    );
}

#[test]
fn a_failure_rate_below_the_threshold_opens_no_breaker() {
    let (mut node, owner) = node_and_owner();
    for _ in 0..10 {
        // The failure rate is at most one half.
        assert_eq!(node.read(7, Status::Failed), Some(owner.clone()));
        assert_eq!(node.read(7, Status::Ok), Some(owner.clone()));
    }
}

#[test]
fn failures_of_an_earlier_window_do_not_count() {
    let (mut node, owner) = node_and_owner();
    node.read(7, Status::Failed);
    node.advance(ms(5_000));
    // Counted with the calls of the previous window, 2 of 3 calls would have failed after this
    // failure, and the breaker would open.
    assert_eq!(node.read(7, Status::Failed), Some(owner.clone()));
    assert_eq!(node.read(7, Status::Ok), Some(owner));
}

#[test]
fn an_open_breaker_blocks_until_its_cooldown_ends_and_three_trials_close_it() {
    let (mut node, owner) = node_and_owner();
    open_breaker(&mut node, &owner);
    assert_ne!(node.read(7, Status::Ok), Some(owner.clone()));
    node.advance(ms(5_990));
    assert_ne!(
        node.read(7, Status::Ok),
        Some(owner.clone()),
        "the breaker is open just before the end of the cooldown"
    );
    node.advance(ms(10));
    for _ in 0..4 {
        assert_eq!(node.read(7, Status::Ok), Some(owner.clone()));
    }
}

#[test]
fn a_half_open_breaker_admits_three_trials_and_opens_again_when_one_fails() {
    let (mut node, owner) = node_and_owner();
    open_breaker(&mut node, &owner);
    node.advance(ms(6_000));
    let ids: Vec<RequestId> = (0..4).map(|_| node.request(0, 7, ms(400))).collect();
    let sent_to_owner = ids
        .iter()
        .filter(|id| node.in_flight(id).expect("the request is sent").1 == owner)
        .count();
    assert_eq!(
        sent_to_owner, 3,
        "the fourth request is sent to the other endpoint"
    );
    node.end_attempt_in_flight(&ids[0], Status::Failed);
    assert_ne!(
        node.read(7, Status::Ok),
        Some(owner.clone()),
        "the breaker is open again"
    );
    // Late successes of the other trials do not count for the reopened breaker.
    node.end_attempt_in_flight(&ids[1], Status::Ok);
    node.end_attempt_in_flight(&ids[2], Status::Ok);
    assert_ne!(node.read(7, Status::Ok), Some(owner));
}

#[test]
fn an_inconclusive_trial_may_be_repeated() {
    let (mut node, owner) = node_and_owner();
    open_breaker(&mut node, &owner);
    node.advance(ms(6_000));
    let ids: Vec<RequestId> = (0..3).map(|_| node.request(0, 7, ms(400))).collect();
    for id in &ids {
        node.end_attempt_in_flight(id, Status::Canceled);
    }
    assert_eq!(node.read(7, Status::Ok), Some(owner));
}

#[test]
fn outcomes_of_calls_sent_in_an_earlier_epoch_do_not_count() {
    let (mut node, owner) = node_and_owner();
    let late_request = node.request(0, 7, ms(30_000));
    open_breaker(&mut node, &owner);
    node.advance(ms(6_000));
    for _ in 0..3 {
        node.read(7, Status::Ok);
    }
    // The attempt was sent before the breaker opened, so its failure must not count for the breaker
    // that is closed again.
    node.end_attempt_in_flight(&late_request, Status::Failed);
    node.read(7, Status::Failed);
    node.read(7, Status::Failed);
    assert_eq!(node.read(7, Status::Ok), Some(owner));
}

#[test]
fn a_restarted_endpoint_has_a_closed_breaker() {
    let (mut node, owner) = node_and_owner();
    open_breaker(&mut node, &owner);
    let started_at = Timestamp::from_micros(node.now.as_micros() - 60_000_000);
    node.list_delta(vec![Endpoint {
        started: Some(started_at),
        ..Endpoint::new(owner.as_str())
    }]);
    assert_eq!(node.read(7, Status::Ok), Some(owner));
}

#[test]
fn if_all_endpoints_are_blocked_the_first_endpoint_of_the_key_is_used() {
    let mut node = Node::with_endpoints(settings(), 1);
    let owner = node.read(7, Status::Ok).expect("the read is served");
    for _ in 0..30 {
        assert_eq!(
            node.read(7, Status::ConnectError),
            Some(owner.clone()),
            "the only endpoint is used despite its breaker"
        );
    }
}

#[test]
fn most_endpoints_stay_in_use_if_all_fail() {
    // Guards against failures with a common cause that open the breakers of all endpoints but one,
    // which then receives all keys.
    let mut node = Node::with_endpoints(settings(), 10);
    for key in 0..400 {
        node.read(key, Status::Failed);
        node.advance(ms(5));
    }
    let mut used = std::collections::BTreeSet::new();
    for key in 0..400 {
        used.extend(node.read(key, Status::Ok));
        node.advance(ms(1));
    }
    assert!(
        used.len() >= 6,
        "only {} of 10 endpoints are in use",
        used.len()
    );
}

/// The breaker of an endpoint opens if the endpoint fails while the other endpoints succeed, and
/// stays closed if the others fail too.
#[test]
fn an_endpoint_that_fails_like_all_others_is_not_an_outlier() {
    let times_opened = |status_of_others: Status| {
        let mut node = Node::with_endpoints(settings(), 10);
        for key in 0..60 {
            let id = node.request(0, key, ms(400));
            let (_, endpoint) = node.in_flight(&id).expect("the request is sent");
            node.end_attempt_in_flight(
                &id,
                if endpoint.as_str() == "a" {
                    Status::Failed
                } else {
                    status_of_others
                },
            );
            if node.in_flight(&id).is_some() {
                node.end_attempt_in_flight(&id, Status::Ok);
            }
            node.advance(ms(5));
        }
        let is_opening_of_a = |action: &&Action| matches!(action, Action::BreakerOpened(scope) if scope.to_string().contains(" a tripped"));
        node.actions.iter().filter(is_opening_of_a).count()
    };
    assert_eq!(times_opened(Status::Ok), 1);
    assert_eq!(times_opened(Status::Failed), 0);
}

/// Fetches that fail at all endpoints count as failures of the origin. The origin's breaker sheds
/// misses and writes until the origin has processed its queue. Meanwhile, keys known to be cached
/// are served, and no breaker of an endpoint opens.
#[test]
fn failed_fetches_open_only_the_breaker_of_the_origin() {
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
    let times_opened = |node: &Node, text: &str| {
        let opening_matches = |action: &&Action| matches!(action, Action::BreakerOpened(scope) if scope.to_string().contains(text));
        node.actions.iter().filter(opening_matches).count()
    };
    assert_eq!(
        (
            times_opened(&node, "origin tripped"),
            times_opened(&node, "tripped")
        ),
        (1, 1)
    );
    assert!(
        !read(&mut node, 200, Status::Ok, CacheResult::Miss),
        "a likely miss is shed"
    );
    assert!(
        read(&mut node, 3, Status::Ok, CacheResult::Hit),
        "a cached key is served"
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
        "the breaker is closed"
    );
}

/// A half-open trial of the origin that times out gives no evidence about the origin and does not
/// count against the limit of trials.
#[test]
fn a_trial_of_the_origin_that_times_out_may_be_repeated() {
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
fn the_first_calls_of_a_window_do_not_open_the_breaker_of_a_busy_endpoint() {
    // At a failure rate of one in eight, two of the first three calls of a window fail every few
    // windows. If the breaker opened, the endpoint's keys would be misses at other endpoints for a
    // whole cooldown.
    let (mut node, owner) = node_and_owner();
    for _ in 0..100 {
        assert_eq!(node.read(7, Status::Ok), Some(owner.clone()));
    }
    node.advance(ms(5_000));
    for _ in 0..9 {
        assert_eq!(node.read(7, Status::Reset), Some(owner.clone()));
    }
    node.read(7, Status::Reset);
    assert_ne!(
        node.read(7, Status::Ok),
        Some(owner),
        "a tenth of the calls of the previous window opens the breaker"
    );
}

#[test]
fn an_endpoint_that_rejects_some_requests_under_load_is_not_blocked() {
    // Simultaneous requests can overflow a small queue. If the rejections opened the breaker, the
    // endpoint would be blocked for a cooldown, and its load would open the breaker of the next
    // endpoint.
    let (mut node, owner) = node_and_owner();
    let any_breaker_opened = |node: &Node| {
        node.actions
            .iter()
            .any(|action| matches!(action, Action::BreakerOpened(_)))
    };
    for _ in 0..2 {
        // The endpoint accepts one of five simultaneous requests.
        let ids: Vec<RequestId> = (0..5).map(|_| node.request(0, 7, ms(400))).collect();
        for id in &ids[1..] {
            assert_eq!(node.in_flight(id).expect("the request is sent").1, owner);
            node.end_attempt_in_flight(id, Status::Rejected);
        }
        node.advance(ms(50));
        for id in &ids {
            node.end_attempt_in_flight(id, Status::Ok);
        }
        node.advance(ms(1_000));
    }
    assert!(!any_breaker_opened(&node));
}

#[test]
fn an_endpoint_that_rejects_all_requests_is_blocked() {
    let (mut node, owner) = node_and_owner();
    node.advance(ms(1_000));
    let rejections = (0..50)
        .take_while(|_| node.read(7, Status::Rejected).as_ref() == Some(&owner))
        .count();
    assert_eq!(
        rejections, 2,
        "two of the three calls in the window are rejected"
    );
}

#[test]
fn a_trial_rejected_while_other_trials_are_in_flight_may_be_repeated() {
    let (mut node, owner) = node_and_owner();
    open_breaker(&mut node, &owner);
    node.advance(ms(6_000));
    let ids: Vec<RequestId> = (0..3).map(|_| node.request(0, 7, ms(400))).collect();
    node.end_attempt_in_flight(&ids[1], Status::Rejected);
    node.end_attempt_in_flight(&ids[2], Status::Rejected);
    node.end_attempt_in_flight(&ids[0], Status::Ok);
    assert_eq!(
        node.read(7, Status::Ok),
        Some(owner),
        "the breaker did not open again"
    );
}

#[test]
fn a_class_rejected_by_an_endpoint_with_an_empty_queue_is_blocked_quickly_without_other_classes() {
    // Guards against two faults: earlier successes hide the rejections for a whole window, while
    // each rejected request loses time at the endpoint; or the rejections of one class block the
    // endpoint for the keys of all classes.
    let (mut node, owner) = node_and_owner();
    node.load.queue_length = Some(0.0);
    let send_keyed_request = |node: &mut Node, status| {
        let id = node.request(1, 7, ms(400));
        let (_, endpoint) = node.in_flight(&id).expect("the request is sent");
        node.end_attempt_in_flight(
            &id,
            if endpoint == owner {
                status
            } else {
                Status::Ok
            },
        );
        if !node.requests[&id].answered {
            node.end_attempt_in_flight(&id, Status::Ok);
        }
        endpoint
    };
    for _ in 0..50 {
        assert_eq!(send_keyed_request(&mut node, Status::Ok), owner);
    }
    node.advance(ms(1_000));
    let rejections = (0..50)
        .take_while(|_| send_keyed_request(&mut node, Status::Rejected) == owner)
        .count();
    assert!(
        (3..=6).contains(&rejections),
        "{rejections} requests were rejected before the breaker opened, expected 3 to 6"
    );
    for _ in 0..20 {
        assert_eq!(
            node.read(7, Status::Ok),
            Some(owner.clone()),
            "another class is not blocked"
        );
    }
}
