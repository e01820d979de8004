//! Overload: retries are budgeted, slow endpoints are sent less, and the excess is shed early.

mod common;
use common::*;
use slatelink_policy::*;

#[test]
fn retries_stop_when_the_retry_budget_is_spent() {
    // Guards against this: every request tried on every endpoint multiplies the load just when there is too much of it.
    let mut node = Node::with_endpoints(settings(), 8);
    let mut sends = 0;
    for key in 0..300 {
        let id = node.request(0, key, ms(400));
        // Half of what is sent fails: too little for a breaker, and each request would have its retry.
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

/// Offers a request a millisecond of 300 keys, each attempt answered after `latency` ms, or 300 ms by the slow
/// endpoint; returns how many were sent, and how many to the slow one.
fn offer(node: &mut Node, latency: u64, slow: Option<&EndpointId>) -> (usize, usize) {
    offer_every(node, 1, latency, slow)
}

/// The same with one request in so many milliseconds.
fn offer_every(
    node: &mut Node,
    every: u64,
    latency: u64,
    slow: Option<&EndpointId>,
) -> (usize, usize) {
    let (mut sent, mut to_slow) = (0, 0);
    node.requests.clear();
    for step in 0..3_000 {
        if step % every == 0 {
            node.request(0, step % 300, ms(400));
        }
        node.advance(ms(1));
        let now = node.now;
        let answered = node.requests.iter().filter(|(_, open)| {
            let out = open
                .attempts
                .first()
                .filter(|attempt| attempt.status.is_none());
            let takes =
                |endpoint: &EndpointId| ms(if Some(endpoint) == slow { 300 } else { latency });
            out.is_some_and(|attempt| attempt.sent + takes(&attempt.endpoint.id) <= now)
        });
        for id in answered.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            node.end_attempt_in_flight(&id, Status::Ok);
        }
        node.requests.retain(|_, open| {
            let over =
                open.answered && open.attempts.iter().all(|attempt| attempt.status.is_some());
            sent += usize::from(over && !open.attempts.is_empty());
            to_slow += usize::from(
                over && open
                    .attempts
                    .iter()
                    .any(|attempt| Some(&attempt.endpoint.id) == slow),
            );
            !over
        });
    }
    (sent, to_slow)
}

#[test]
fn a_slow_endpoint_is_sent_less() {
    // Guards against this: it answers inside its time-out, so its breaker stays closed and its keys are late for good.
    let mut node = Node::with_endpoints(settings(), 6);
    let slow = EndpointId::from("c");
    let (sent, before) = offer(&mut node, 10, None);
    assert!(sent > 2_900 && before == 0, "{sent} of 3000 were sent");
    let (_, to_slow) = offer(&mut node, 10, Some(&slow));
    assert!(
        to_slow < 100,
        "{to_slow} of 3000 went to the slow endpoint, 500 would be its share"
    );
}

#[test]
fn an_endpoint_with_nothing_in_flight_gets_the_next_request() {
    // Guards against this: late answers cut its limit to a fraction of a request. It stands idle and is sent nothing,
    // and with no answers from it nothing raises the limit again.
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
    assert_eq!(
        sent, 100,
        "sent one at a time, an idle endpoint has capacity"
    );
}

#[test]
fn an_overloaded_fleet_is_sent_less_and_recovers() {
    // Guards against this: all answers late, none in time, because nothing is shed.
    let mut node = Node::with_endpoints(settings(), 6);
    let (sent, _) = offer(&mut node, 250, None);
    assert!(sent < 1_000, "{sent} of 3000 were sent");
    node.advance(ms(1_000));
    // And it comes back.
    offer(&mut node, 10, None);
    let (sent, _) = offer(&mut node, 10, None);
    assert!(sent > 2_500, "{sent} of 3000 were sent after recovery");
}

#[test]
fn a_burst_is_queued_for_capacity_and_shed_in_time_without_it() {
    // Guards against this: requests shed in a burst of milliseconds while their latency objective leaves them time to
    // wait.
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
    let waiting = ids
        .iter()
        .filter(|id| !node.requests[*id].answered && node.in_flight(id).is_none())
        .count();
    assert!(waiting >= 4, "{waiting} of 8 are queued");
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
    assert!(sent > 8 - waiting, "capacity that came was used");
    node.advance(ms(150));
    assert!(
        ids.iter()
            .all(|id| node.requests[id].answered || node.in_flight(id).is_some()),
        "none waits past its latency objective"
    );
}

#[test]
fn heavy_requests_in_time_do_not_lower_a_concurrency_limit() {
    // Guards against this: work that is long by itself reads as a queue, and an idle endpoint is sent nothing.
    let served = |heavy: u64| {
        let mut node = Node::with_endpoints(settings(), 1);
        let mut sent = 0;
        for step in 0..400u64 {
            // Every second request takes 120 of its 150 ms; `heavy` is what the hint says of it.
            let long = step % 2 == 0;
            let request = Request {
                class: Some(ClassId(0)),
                key: Some(7),
                expected_work: Some(ms(if long { heavy } else { 20 })),
                ..Request::new(&format!("h{step}"), node.now + ms(400))
            };
            let id = node.submit(request);
            node.advance(ms(if long { 120 } else { 20 }));
            if node.in_flight(&id).is_some() {
                sent += 1;
                node.end_attempt_in_flight(&id, Status::Ok);
            }
        }
        sent
    };
    assert_eq!(served(120), 400, "their hints explain the time");
    assert!(served(20) < 350, "without that it is a queue");
}

/// When every endpoint is overloaded, what is sent joins queues longer than anyone waits and keeps them full: a node
/// that gets nothing in time sheds nearly all of it, and takes it up again as answers come.
#[test]
fn load_is_shed_while_the_whole_fleet_rejects_and_until_it_serves_again() {
    // So many endpoints that it seldom meets one twice: limits for each alone could not learn.
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
    let mut sent = |node: &mut Node, status: Status, count: u64| {
        let mut sent = 0;
        for _ in 0..count {
            let id = node.request(0, rng.u64(..), ms(400));
            sent += usize::from(!node.requests[&id].attempts.is_empty());
            while node.in_flight(&id).is_some() {
                node.end_attempt_in_flight(&id, status);
            }
            node.advance(ms(10));
        }
        node.requests.retain(|_, open| !open.answered);
        sent
    };
    assert_eq!(sent(&mut node, Status::Ok, 100), 100);
    sent(&mut node, Status::Rejected, 300);
    let still_sent = sent(&mut node, Status::Rejected, 100);
    assert!(still_sent < 60, "{still_sent} of 100 sent while all reject");
    sent(&mut node, Status::Ok, 500);
    let after = sent(&mut node, Status::Ok, 100);
    assert!(after > 80, "{after} of 100 sent once it answers");
}

#[test]
fn late_answers_without_a_queue_hardly_lower_a_concurrency_limit() {
    // Guards against this: heavy requests are late by their own work, and a calm fleet's limits creep down until
    // requests are shed.
    let sent_at = |nodes, waiting| {
        let mut node = Node::with_endpoints(
            Settings {
                nodes,
                ..settings()
            },
            6,
        );
        node.load.queue_length = Some(waiting);
        offer_every(&mut node, 30, 140, None).0
    };
    assert!(
        sent_at(2, 0.0) >= 95,
        "{} of 100 were sent",
        sent_at(2, 0.0)
    );
    assert!(
        sent_at(2, 4.0) < 80,
        "{} of 100 were sent past a queue",
        sent_at(2, 4.0)
    );
    // One of very many nodes has only old reports.
    assert!(
        sent_at(300, 0.0) < 80,
        "{} of 100 were sent by one of many",
        sent_at(300, 0.0)
    );
}

#[test]
fn time_outs_at_endpoints_without_a_queue_neither_open_breakers_nor_lower_limits() {
    // Guards against this: misses time out at a slow origin, every endpoint is blamed for its own, and a fleet that has
    // time to spare sheds hits and moves keys to endpoints that lack them.
    let sent_at = |waiting| {
        let mut node = Node::with_endpoints(
            Settings {
                nodes: 2,
                ..settings()
            },
            6,
        );
        node.load.queue_length = Some(waiting);
        let mut sent = 0;
        for key in 0..900 {
            let id = node.request(0, key, ms(400));
            sent += usize::from(node.in_flight(&id).is_some());
            node.advance(ms(10));
            // Three in ten are left to time out.
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
    assert_eq!(sent_at(0.0), (900, false));
    let (sent, _) = sent_at(4.0);
    assert!(sent < 800, "{sent} of 900 were sent past a queue");
}

/// A key that everybody wants must not turn the whole fleet's hits into misses: its first few endpoints take it or
/// none.
#[test]
fn for_want_of_capacity_a_key_goes_to_three_endpoints_at_most() {
    let mut node = Node::with_endpoints(settings(), 8);
    let mut endpoints = std::collections::BTreeSet::new();
    for _ in 0..200 {
        let id = node.request(0, 7, ms(400));
        endpoints.extend(node.in_flight(&id).map(|(_, endpoint)| endpoint));
    }
    assert_eq!(endpoints.len(), 3, "{endpoints:?}");
}
