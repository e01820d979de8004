//! Large deployments, in which many nodes decide independently, each with a small share of the
//! traffic.

mod common;
use common::*;
use slatelink_policy::*;

/// Returns `nodes` nodes with endpoints a, b, c and so on.
fn nodes_with_endpoints(nodes: u32, endpoints: u8) -> Vec<Node> {
    let node = |seed| {
        let mut node = Node::new(
            Settings {
                nodes,
                ..settings()
            },
            u64::from(seed),
        );
        let entries = (0..endpoints).map(|i| Endpoint::new(&char::from(b'a' + i).to_string()));
        node.list_snapshot(entries.collect());
        node
    };
    (0..nodes).map(node).collect()
}

/// Returns one of 300 nodes, with 100 endpoints in four zones.
fn node_of_a_large_deployment(seed: u64) -> Node {
    let mut node = Node::new(
        Settings {
            nodes: 300,
            ..settings()
        },
        seed,
    );
    let zones = ["n", "e", "s", "w"];
    let entry = |i: usize| Endpoint {
        zone: Some(zones[i % 4].into()),
        ..Endpoint::new(&format!("s{i}"))
    };
    node.list_snapshot((0..100).map(entry).collect());
    node
}

/// An endpoint starts while half of the traffic is for one of its keys. If each node had a budget
/// of at least one send, the nodes of a large deployment would overload the endpoint immediately.
#[test]
fn many_nodes_together_do_not_overload_a_warming_endpoint() {
    let (count, endpoints) = (200, 10);
    let mut nodes = nodes_with_endpoints(count, endpoints);
    let mut rng = fastrand::Rng::with_seed(5);
    // A key that endpoint a owns even at the capacity at its start.
    let mut probe = Node::new(settings(), 9);
    let mut list: Vec<Endpoint> = nodes[0].listed.values().cloned().collect();
    list[0].weight = settings().slow_start_min_capacity;
    probe.list_snapshot(list);
    let hot_key = (0..).find(|&key| {
        probe
            .read(key, Status::Ok)
            .is_some_and(|endpoint| endpoint.as_str() == "a")
    });
    let hot_key = hot_key.expect("a key belongs to endpoint a");
    let started_at = nodes[0].now + ms(6_000);
    let (mut sends_to_warming, mut all_sends) = (Vec::new(), 0);
    // Each node receives two requests per second; every second request is for the hot key.
    for step in 0..14_000u64 {
        let node = &mut nodes[rng.usize(0..count as usize)];
        let now = started_at + ms(step * 5 / 2);
        let now = Timestamp::from_micros(now.as_micros() - 6_000_000);
        node.advance(now.since(node.now));
        if now >= started_at && node.listed.values().all(|entry| entry.started.is_none()) {
            let mut list: Vec<Endpoint> = node.listed.values().cloned().collect();
            list[0].started = Some(started_at);
            node.list_delta(list);
        }
        let key = if rng.bool() { hot_key } else { rng.u64(..) };
        let id = node.request(0, key, ms(400));
        if let Some((_, endpoint)) = node.in_flight(&id) {
            all_sends += 1;
            if now >= started_at && endpoint.as_str() == "a" {
                sends_to_warming.push(now);
            }
            node.advance(ms(1));
            node.end_attempt_in_flight(&id, Status::Ok);
        }
        node.requests.clear();
    }
    let (settings, seconds) = (&nodes[0].settings, 14_000.0 * 0.0025);
    let capacity = f64::from(all_sends) / seconds / f64::from(endpoints);
    assert!(
        sends_to_warming.len() > 50,
        "only {} sends to the warming endpoint, expected more than 50",
        sends_to_warming.len()
    );
    // Only windows that end during slow start are checked.
    let last_window_start = settings.slow_start_duration - settings.slow_start_overload_window;
    for (i, at) in sends_to_warming
        .iter()
        .enumerate()
        .take_while(|(_, at)| at.since(started_at) < last_window_start)
    {
        let in_window = sends_to_warming[i..]
            .iter()
            .take_while(|later| later.since(*at) <= settings.slow_start_overload_window)
            .count();
        let age = at.since(started_at).as_secs_f64() / settings.slow_start_duration.as_secs_f64();
        let current_capacity = capacity
            * (settings.slow_start_min_capacity + (1.0 - settings.slow_start_min_capacity) * age);
        let budget = settings.slow_start_overload_factor
            * current_capacity
            * settings.slow_start_overload_window.as_secs_f64();
        assert!(
            (in_window as f64) <= budget * 1.1,
            "{in_window} sends in one window, budget of {budget} at age {age}"
        );
    }
}

/// An endpoint that rejected attempts while busy is sent a request every other second. If the
/// minimum concurrency limit were applied as a probability, 19 of 20 requests would be shed, and no
/// response would raise the limit for minutes.
#[test]
fn a_node_of_a_large_deployment_sends_again_to_endpoints_that_rejected_its_attempts() {
    let mut nodes = nodes_with_endpoints(300, 3);
    let node = &mut nodes[0];
    node.read(1, Status::Ok);
    for key in 0..12 {
        node.advance(ms(700));
        // Each attempt is rejected.
        let id = node.request(0, key, ms(400));
        while node.in_flight(&id).is_some() {
            node.end_attempt_in_flight(&id, Status::Rejected);
        }
    }
    let mut sent = 0;
    for key in 0..60 {
        node.advance(ms(4_000));
        let id = node.request(0, key, ms(400));
        sent += usize::from(node.in_flight(&id).is_some());
        if node.in_flight(&id).is_some() {
            node.advance(ms(140));
            node.end_attempt_in_flight(&id, Status::Ok);
        }
    }
    assert!(sent >= 55, "{sent} of 60 requests were sent");
    // Simultaneous requests still respect the limit.
    (0..30).for_each(|key| drop(node.request(0, key, ms(400))));
    let in_flight = node.requests_in_flight().len();
    assert!(
        in_flight <= 3,
        "{in_flight} attempts are in flight at three endpoints"
    );
}

/// In a large deployment, a single node cannot prevent an endpoint's queue from being full briefly.
/// If every second request is rejected once and then served by the next endpoint, the fleet is not
/// overloaded, and the node must not shed requests.
#[test]
fn a_node_of_a_large_deployment_sheds_nothing_while_retries_of_rejected_requests_succeed() {
    let mut rng = fastrand::Rng::with_seed(2);
    let (mut served, mut shed_without_attempt, mut shed) = (0, 0, 0);
    // The initial balance of the retry budget covers the retries of each node.
    for mut node in (0..60).map(node_of_a_large_deployment) {
        for step in 0..30 {
            let id = node.request(0, rng.u64(..), ms(400));
            shed_without_attempt += usize::from(node.requests[&id].answered);
            if node.in_flight(&id).is_some() && step % 2 == 0 {
                node.end_attempt_in_flight(&id, Status::Rejected);
            }
            node.advance(ms(20));
            if node.in_flight(&id).is_some() {
                node.end_attempt_in_flight(&id, Status::Ok);
                served += 1;
            }
            node.advance(ms(20));
            node.requests.clear();
        }
    }
    assert!(
        served >= 1_780 && shed_without_attempt <= 15,
        "{served} of 1,800 requests served, {shed_without_attempt} shed without an attempt"
    );
    let mut node = node_of_a_large_deployment(4);
    // If most requests are rejected by all endpoints, most of the excess load is shed without an
    // attempt.
    for _ in 0..600 {
        let id = node.request(0, rng.u64(..), ms(400));
        shed += usize::from(node.in_flight(&id).is_none() && node.requests[&id].answered);
        while node.in_flight(&id).is_some() {
            node.end_attempt_in_flight(&id, Status::Rejected);
        }
        node.advance(ms(80));
        node.requests.clear();
    }
    assert!(
        shed >= 150,
        "{shed} of 600 requests were shed without an attempt, expected at least 150"
    );
}

/// Two of five requests are rejected by the first endpoint for a long time. With a budget of one
/// retry per five requests, half of the rejected requests would be shed, although the next endpoint
/// accepts them.
#[test]
fn a_node_of_a_large_deployment_can_retry_rejected_attempts_permanently() {
    let mut node = node_of_a_large_deployment(6);
    let mut rng = fastrand::Rng::with_seed(8);
    let mut send_requests = |first_status, sends: &mut usize| {
        let mut served = 0;
        for step in 0..500 {
            let id = node.request(0, rng.u64(..), ms(400));
            if node.in_flight(&id).is_some() && step % 5 < 2 {
                node.end_attempt_in_flight(&id, first_status);
            }
            node.advance(ms(40));
            if node.in_flight(&id).is_some() {
                node.end_attempt_in_flight(&id, Status::Ok);
            }
            served += usize::from(
                node.requests[&id]
                    .attempts
                    .iter()
                    .any(|attempt| attempt.status == Some(Status::Ok)),
            );
            *sends += node.requests[&id].attempts.len();
            node.advance(ms(40));
            node.requests.clear();
        }
        served
    };
    let served = send_requests(Status::Rejected, &mut 0);
    assert!(served >= 480, "{served} of 500 requests were served");
    // An attempt that may have run costs the endpoint work, so its retry has the usual cost.
    let mut sends = 0;
    send_requests(Status::Failed, &mut sends);
    assert!(
        sends <= 500 + 500 / 5 + 10,
        "{sends} sends for 500 requests"
    );
}

/// A node of a large deployment sends to an endpoint only every few seconds, so the breakers of
/// endpoints cannot detect the loss or partition of a zone in time. Without a breaker of the zone,
/// a quarter of each node's requests would wait for their timeout.
#[test]
fn the_breaker_of_a_zone_blocks_the_zone_until_its_endpoints_respond_again() {
    // One of 300 nodes receives twelve requests per second. Endpoints of unresponsive zones do not
    // respond. Returns the count of attempts in flight at these endpoints, summed over the steps of
    // each half second, and the node.
    let simulate = |seed, unresponsive_zones: &dyn Fn(u64) -> &'static [&'static str]| {
        let mut node = node_of_a_large_deployment(seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut unanswered = [0; 40];
        for step in 0..240 {
            node.request(0, rng.u64(..), ms(400));
            node.advance(ms(83));
            for id in node.requests_in_flight() {
                let zone = node.requests[&id]
                    .attempts
                    .last()
                    .and_then(|attempt| attempt.endpoint.zone.clone());
                if unresponsive_zones(step)
                    .iter()
                    .any(|name| zone.as_ref().is_some_and(|zone| zone.as_str() == *name))
                {
                    unanswered[step as usize / 6] += 1;
                } else {
                    node.end_attempt_in_flight(&id, Status::Ok);
                }
            }
            node.requests.retain(|_, client_request| {
                !client_request.answered
                    || client_request
                        .attempts
                        .iter()
                        .any(|attempt| attempt.status.is_none())
            });
        }
        (unanswered, node)
    };
    // Each unanswered attempt is counted about five times before it times out.
    let (unanswered, mut node) = simulate(1, &|step| {
        if (36..180).contains(&step) {
            &["w"]
        } else {
            &[]
        }
    });
    let (early, later): (u32, u32) = (
        unanswered[6..10].iter().sum(),
        unanswered[12..30].iter().sum(),
    );
    assert!(early >= 8, "{unanswered:?}");
    assert!(
        later <= 60,
        "too many attempts in 18 half seconds of trials: {unanswered:?}"
    );
    let sent_after_recovery = (0..200).filter(|key| {
        let id = node.request(0, *key, ms(400));
        let zone = node
            .in_flight(&id)
            .map(|_| node.requests[&id].attempts[0].endpoint.zone.clone());
        if node.in_flight(&id).is_some() {
            node.end_attempt_in_flight(&id, Status::Ok);
        }
        node.advance(ms(83));
        zone.flatten().is_some_and(|zone| zone.as_str() == "w")
    });
    assert!(
        sent_after_recovery.count() >= 30,
        "the zone receives its share of the requests again after recovery"
    );
    // If no zone responds, no zone is an outlier, and no breaker of a zone opens.
    let (_, node) = simulate(2, &|_| &["n", "e", "s", "w"]);
    let is_zone_opening =
        |action: &Action| matches!(action, Action::BreakerOpened(BreakerScope::Zone(_)));
    assert!(!node.actions.iter().any(is_zone_opening));
}

/// Idle connections of many nodes would fill an endpoint's connection table, so a node that rarely
/// sends to an endpoint closes its connections. A busy node and a node of a small deployment keep
/// their connections.
#[test]
fn a_node_of_a_large_deployment_closes_rarely_used_connections() {
    let count_closes = |nodes, interval| {
        let mut node = Node::with_endpoints(
            Settings {
                nodes,
                ..settings()
            },
            1,
        );
        for key in 0..20 {
            node.read(key, Status::Ok);
            node.advance(interval);
        }
        node.actions
            .iter()
            .filter(|action| matches!(action, Action::CloseIdleConnections { .. }))
            .count()
    };
    assert!(count_closes(300, ms(20_000)) >= 19);
    // A node that sends to an endpoint every 8 s would otherwise need a handshake for nearly every
    // request.
    assert!(count_closes(300, ms(8_000)) <= 1);
    assert!(count_closes(300, ms(100)) <= 1);
    assert!(count_closes(3, ms(4_000)) <= 1);
}

/// Guards against endpoints of a slow kind that get as many keys as fast endpoints and become
/// overloaded, if the listed weights do not include speed.
#[test]
fn a_slow_kind_gets_fewer_keys_if_weights_do_not_include_speed() {
    let share_of_slow_kind = |weights_include_speed| {
        let mut node = Node::new(
            Settings {
                weights_include_speed,
                ..settings()
            },
            1,
        );
        let entry = |i: u8| Endpoint {
            kind: Some(Name::from(if i < 5 { "x" } else { "y" })),
            ..Endpoint::new(&char::from(b'a' + i).to_string())
        };
        node.list_snapshot((0..10).map(entry).collect());
        let mut rng = fastrand::Rng::with_seed(3);
        let mut sent_to_slow = 0;
        for step in 0..2_000 {
            let id = node.request(0, rng.u64(..), ms(400));
            let (_, endpoint) = node.in_flight(&id).expect("the request is sent");
            let is_slow = endpoint.as_str() < "f";
            sent_to_slow += u32::from(is_slow && step >= 1_000);
            node.advance(ms(if is_slow { 60 } else { 20 }));
            node.end_attempt_in_flight(&id, Status::Ok);
            node.requests.clear();
        }
        f64::from(sent_to_slow) / 1_000.0
    };
    assert!(
        (0.45..0.55).contains(&share_of_slow_kind(true)),
        "{}",
        share_of_slow_kind(true)
    );
    assert!(
        (0.2..0.3).contains(&share_of_slow_kind(false)),
        "{}",
        share_of_slow_kind(false)
    );
}

/// Guards against memory that grows over time while endpoints of new kinds are listed and removed.
#[test]
fn state_of_kinds_of_removed_endpoints_is_dropped() {
    let mut node = Node::new(
        Settings {
            weights_include_speed: false,
            ..settings()
        },
        1,
    );
    let mut debug_length = |round: u32| {
        let kind = Some(Name::from(format!("kind-{round}").as_str()));
        node.list_snapshot(vec![Endpoint {
            kind,
            ..Endpoint::new(&format!("s{round}"))
        }]);
        node.read(7, Status::Ok);
        node.requests.clear();
        // Other state of removed endpoints expires within seconds.
        node.advance(ms(50));
        format!("{:?}", node.balancer).len()
    };
    let early = (0..600)
        .map(&mut debug_length)
        .max()
        .expect("there are rounds");
    let late = (600..3_000)
        .map(&mut debug_length)
        .max()
        .expect("there are rounds");
    assert!(
        late < early * 11 / 10,
        "the state has {late} characters after 3,000 kinds, {early} after 600"
    );
}
