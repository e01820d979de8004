//! Overload: the retry budget bounds retries, slow endpoints receive fewer requests, and excess
//! load is shed early.

mod common;
use common::*;
use slatelink_policy::*;

#[test]
fn retries_stop_when_the_retry_budget_is_spent() {
    // Guards against requests that are tried at every endpoint and multiply the load during an
    // overload.
    let mut node = Node::with_endpoints(settings(), 8);
    let mut sends = 0;
    for key in 0..300 {
        let id = node.request(0, key, ms(400));
        // First attempts fail and retries succeed. This failure rate of one half is too low to open
        // a breaker, so without the retry budget each request would be retried.
        for status in [Status::Failed, Status::Ok] {
            if node.in_flight(&id).is_some() {
                node.end_attempt_in_flight(&id, status);
            }
        }
        sends += node.requests[&id].attempts.len();
        node.advance(ms(20));
    }
    assert!(
        sends <= 300 + 300 / 5 + 10,
        "{sends} sends for 300 requests"
    );
}

/// Sends one request per millisecond, with 300 keys, for 3,000 ms. Each attempt is answered after
/// `latency` ms, or after 300 ms at the slow endpoint. Returns the number of completed requests
/// with an attempt, and the number of completed requests with an attempt at the slow endpoint.
fn offer(node: &mut Node, latency: u64, slow: Option<&EndpointId>) -> (usize, usize) {
    offer_every(node, 1, latency, slow)
}

/// Same as [`offer`], with one request every `interval` ms.
fn offer_every(
    node: &mut Node,
    interval: u64,
    latency: u64,
    slow: Option<&EndpointId>,
) -> (usize, usize) {
    let (mut sent, mut to_slow) = (0, 0);
    node.requests.clear();
    for step in 0..3_000 {
        if step % interval == 0 {
            node.request(0, step % 300, ms(400));
        }
        node.advance(ms(1));
        let now = node.now;
        let answered = node.requests.iter().filter(|(_, client_request)| {
            let attempt_in_flight = client_request
                .attempts
                .first()
                .filter(|attempt| attempt.status.is_none());
            let latency_of =
                |endpoint: &EndpointId| ms(if Some(endpoint) == slow { 300 } else { latency });
            attempt_in_flight
                .is_some_and(|attempt| attempt.sent + latency_of(&attempt.endpoint.id) <= now)
        });
        for id in answered.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            node.end_attempt_in_flight(&id, Status::Ok);
        }
        node.requests.retain(|_, client_request| {
            let completed = client_request.answered
                && client_request
                    .attempts
                    .iter()
                    .all(|attempt| attempt.status.is_some());
            sent += usize::from(completed && !client_request.attempts.is_empty());
            to_slow += usize::from(
                completed
                    && client_request
                        .attempts
                        .iter()
                        .any(|attempt| Some(&attempt.endpoint.id) == slow),
            );
            !completed
        });
    }
    (sent, to_slow)
}

#[test]
fn a_slow_endpoint_gets_fewer_requests() {
    // Guards against a slow endpoint that responds within its timeout, so that its breaker stays
    // closed and the responses for its keys stay late.
    let mut node = Node::with_endpoints(settings(), 6);
    let slow = EndpointId::from("c");
    let (sent, to_slow_before) = offer(&mut node, 10, None);
    assert!(
        sent > 2_900 && to_slow_before == 0,
        "{sent} of 3000 requests were sent"
    );
    let (_, to_slow) = offer(&mut node, 10, Some(&slow));
    assert!(
        to_slow < 100,
        "{to_slow} of 3000 requests were sent to the slow endpoint; an equal share would be 500"
    );
}

#[test]
fn an_endpoint_without_attempts_in_flight_gets_the_next_request() {
    // Late responses reduce the concurrency limit of an endpoint to a fraction of a request. Guards
    // against an idle endpoint that receives nothing, so that no response raises its limit again.
    let mut node = Node::with_endpoints(
        Settings {
            nodes: 3,
            ..settings()
        },
        1,
    );
    for _ in 0..40 {
        let id = node.request(0, 7, ms(400));
        node.advance(ms(140));
        if node.in_flight(&id).is_some() {
            node.end_attempt_in_flight(&id, Status::Ok);
        }
    }
    node.advance(ms(5_000));
    let sent = (0..100)
        .filter(|_| node.read(7, Status::Ok).is_some())
        .count();
    assert_eq!(sent, 100, "an idle endpoint has capacity for one request");
}

#[test]
fn an_overloaded_fleet_gets_fewer_requests_and_recovers() {
    // Guards against an overload in which nothing is shed and all responses are late.
    let mut node = Node::with_endpoints(settings(), 6);
    let (sent, _) = offer(&mut node, 250, None);
    assert!(sent < 1_000, "{sent} of 3000 requests were sent");
    node.advance(ms(1_000));
    // The fleet responds in time again.
    offer(&mut node, 10, None);
    let (sent, _) = offer(&mut node, 10, None);
    assert!(
        sent > 2_500,
        "{sent} of 3000 requests were sent after recovery"
    );
}

#[test]
fn a_burst_is_queued_and_shed_within_the_latency_objective() {
    // Guards against requests that are shed in a burst of a few milliseconds although their latency
    // objective leaves time to wait in the queue.
    let mut node = Node::with_endpoints(
        Settings {
            nodes: 16,
            ..settings()
        },
        1,
    );
    for _ in 0..200 {
        node.read(7, Status::Ok);
        node.advance(ms(1));
    }
    let ids: Vec<RequestId> = (0..8).map(|_| node.request(0, 7, ms(400))).collect();
    let queued = ids
        .iter()
        .filter(|id| !node.requests[*id].answered && node.in_flight(id).is_none())
        .count();
    assert!(queued >= 4, "{queued} of 8 requests are queued");
    for id in &ids {
        if node.in_flight(id).is_some() {
            node.end_attempt_in_flight(id, Status::Ok);
        }
    }
    node.advance(ms(20));
    let sent = ids
        .iter()
        .filter(|id| !node.requests[*id].attempts.is_empty())
        .count();
    assert!(sent > 8 - queued, "capacity that became free was not used");
    node.advance(ms(150));
    assert!(
        ids.iter()
            .all(|id| node.requests[id].answered || node.in_flight(id).is_some()),
        "a request is queued past its latency objective"
    );
}

#[test]
fn heavy_requests_in_time_do_not_lower_a_concurrency_limit() {
    // Guards against long work that is mistaken for a queue, so that an idle endpoint receives
    // nothing.
    let count_sent = |heavy_work_hint: u64| {
        let mut node = Node::with_endpoints(settings(), 1);
        let mut sent = 0;
        for step in 0..400u64 {
            // Every second request takes 120 ms of its latency objective of 150 ms, with
            // `heavy_work_hint` as expected work.
            let is_heavy = step % 2 == 0;
            let request = Request {
                class: Some(ClassId(0)),
                key: Some(7),
                expected_work: Some(ms(if is_heavy { heavy_work_hint } else { 20 })),
                ..Request::new(&format!("h{step}"), node.now + ms(400))
            };
            let id = node.submit(request);
            node.advance(ms(if is_heavy { 120 } else { 20 }));
            if node.in_flight(&id).is_some() {
                sent += 1;
                node.end_attempt_in_flight(&id, Status::Ok);
            }
        }
        sent
    };
    assert_eq!(
        count_sent(120),
        400,
        "the expected work explains the latency"
    );
    assert!(
        count_sent(20) < 350,
        "latency beyond the expected work counts as a queue"
    );
}

/// If all endpoints are overloaded, sent requests keep the queues full and wait longer than their
/// deadlines. A node without timely responses must shed most of the load, and must send again when
/// responses arrive.
#[test]
fn load_is_shed_while_all_endpoints_reject_and_sent_again_when_they_respond() {
    // With 3,000 endpoints, a node seldom sends to an endpoint twice, so the concurrency limit of a
    // single endpoint could not adapt.
    let mut node = Node::new(
        Settings {
            nodes: 300,
            ..settings()
        },
        1,
    );
    node.list_snapshot(
        (0..3_000)
            .map(|i| Endpoint::new(&format!("s{i}")))
            .collect(),
    );
    let mut rng = fastrand::Rng::with_seed(2);
    let mut count_sent = |node: &mut Node, status: Status, count: u64| {
        let mut sent = 0;
        for _ in 0..count {
            let id = node.request(0, rng.u64(..), ms(400));
            sent += usize::from(!node.requests[&id].attempts.is_empty());
            while node.in_flight(&id).is_some() {
                node.end_attempt_in_flight(&id, status);
            }
            node.advance(ms(10));
        }
        node.requests
            .retain(|_, client_request| !client_request.answered);
        sent
    };
    assert_eq!(count_sent(&mut node, Status::Ok, 100), 100);
    count_sent(&mut node, Status::Rejected, 300);
    let sent_while_rejecting = count_sent(&mut node, Status::Rejected, 100);
    assert!(
        sent_while_rejecting < 60,
        "{sent_while_rejecting} of 100 requests were sent while all endpoints reject"
    );
    count_sent(&mut node, Status::Ok, 500);
    let sent_after_recovery = count_sent(&mut node, Status::Ok, 100);
    assert!(
        sent_after_recovery > 80,
        "{sent_after_recovery} of 100 requests were sent after recovery"
    );
}

#[test]
fn late_responses_without_a_queue_hardly_lower_a_concurrency_limit() {
    // Guards against heavy requests that are late because of their own work and lower the limits of
    // a fleet without overload until requests are shed.
    let count_sent_with_queue_length = |nodes, reported_queue_length| {
        let mut node = Node::with_endpoints(
            Settings {
                nodes,
                ..settings()
            },
            6,
        );
        node.load.queue_length = Some(reported_queue_length);
        offer_every(&mut node, 30, 140, None).0
    };
    assert!(
        count_sent_with_queue_length(2, 0.0) >= 95,
        "{} of 100 requests were sent to endpoints without a queue",
        count_sent_with_queue_length(2, 0.0)
    );
    assert!(
        count_sent_with_queue_length(2, 4.0) < 80,
        "{} of 100 requests were sent to endpoints with a queue",
        count_sent_with_queue_length(2, 4.0)
    );
    // In a large deployment, a node has only old load reports.
    assert!(
        count_sent_with_queue_length(300, 0.0) < 80,
        "{} of 100 requests were sent by a node of a large deployment",
        count_sent_with_queue_length(300, 0.0)
    );
}

#[test]
fn timeouts_at_endpoints_without_a_queue_neither_open_breakers_nor_lower_limits() {
    // Misses time out at a slow origin. Guards against timeouts that count against the endpoints: a
    // fleet with spare capacity would shed hits and move keys to endpoints without the values.
    let count_sent_with_queue_length = |reported_queue_length| {
        let mut node = Node::with_endpoints(
            Settings {
                nodes: 2,
                ..settings()
            },
            6,
        );
        node.load.queue_length = Some(reported_queue_length);
        let mut sent = 0;
        for key in 0..900 {
            let id = node.request(0, key, ms(400));
            sent += usize::from(node.in_flight(&id).is_some());
            node.advance(ms(10));
            // Three in ten requests time out.
            for id in node.requests_in_flight() {
                if node.requests[&id]
                    .request
                    .key
                    .is_some_and(|key| key % 10 > 2)
                {
                    node.end_attempt_in_flight(&id, Status::Ok);
                }
            }
        }
        let opened = node
            .actions
            .iter()
            .any(|action| matches!(action, Action::BreakerOpened(_)));
        (sent, opened)
    };
    assert_eq!(count_sent_with_queue_length(0.0), (900, false));
    let (sent, _) = count_sent_with_queue_length(4.0);
    assert!(
        sent < 800,
        "{sent} of 900 requests were sent to endpoints with a queue"
    );
}

/// The requests for one hot key must not turn the hits of the whole fleet into misses, so only the
/// first three endpoints of the key receive its requests.
#[test]
fn requests_for_a_hot_key_overflow_to_at_most_three_endpoints() {
    let mut node = Node::with_endpoints(settings(), 8);
    let mut endpoints = std::collections::BTreeSet::new();
    for _ in 0..200 {
        let id = node.request(0, 7, ms(400));
        endpoints.extend(node.in_flight(&id).map(|(_, endpoint)| endpoint));
    }
    assert_eq!(endpoints.len(), 3, "{endpoints:?}");
}
