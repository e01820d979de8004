//! Many nodes deciding at once, each on its own small part of the traffic.

mod common;
use common::*;
use slatelink_policy::*;

/// `nodes` nodes that know endpoints a, b, c and so on.
fn fleet(nodes: u32, endpoints: u8) -> Vec<Node> {
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

/// One of 300 nodes, which knows 100 endpoints in four zones.
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

/// An endpoint that starts while half of the traffic is for one of its keys: with one send to spare for each node,
/// a large fleet overloads it at once.
#[test]
fn many_nodes_together_do_not_overload_an_endpoint_that_warms_up() {
    let (count, endpoints) = (200, 10);
    let mut nodes = fleet(count, endpoints);
    let mut rng = fastrand::Rng::with_seed(5);
    // A key that endpoint a owns even at the size it has when it starts.
    let mut probe = Node::new(settings(), 9);
    let mut list: Vec<Endpoint> = nodes[0].listed.values().cloned().collect();
    list[0].weight = settings().slow_start_min_capacity;
    probe.list_snapshot(list);
    let hot = (0..).find(|&key| {
        probe
            .read(key, Status::Ok)
            .is_some_and(|endpoint| endpoint.as_str() == "a")
    });
    let hot = hot.expect("some key is a's");
    let started_at = nodes[0].now + ms(6_000);
    let (mut to_starting, mut all) = (Vec::new(), 0);
    // Each node sees two requests a second, every other one for the hot key.
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
        let key = if rng.bool() { hot } else { rng.u64(..) };
        let id = node.request(0, key, ms(400));
        if let Some((_, endpoint)) = node.in_flight(&id) {
            all += 1;
            if now >= started_at && endpoint.as_str() == "a" {
                to_starting.push(now);
            }
            node.advance(ms(1));
            node.end_attempt_in_flight(&id, Status::Ok);
        }
        node.requests.clear();
    }
    let (settings, seconds) = (&nodes[0].settings, 14_000.0 * 0.0025);
    let capacity = f64::from(all) / seconds / f64::from(endpoints);
    assert!(
        to_starting.len() > 50,
        "it must get some work: {}",
        to_starting.len()
    );
    // Spans that end while it still warms up.
    let warming_for = settings.slow_start_duration - settings.slow_start_overload_window;
    for (i, at) in to_starting
        .iter()
        .enumerate()
        .take_while(|(_, at)| at.since(started_at) < warming_for)
    {
        let within = to_starting[i..]
            .iter()
            .take_while(|later| later.since(*at) <= settings.slow_start_overload_window)
            .count();
        let age = at.since(started_at).as_secs_f64() / settings.slow_start_duration.as_secs_f64();
        let present = capacity
            * (settings.slow_start_min_capacity + (1.0 - settings.slow_start_min_capacity) * age);
        let most = settings.slow_start_overload_factor
            * present
            * settings.slow_start_overload_window.as_secs_f64();
        assert!(
            (within as f64) <= most * 1.1,
            "{within} in a span, {most} allowed at age {age}"
        );
    }
}

/// An endpoint that was busy once, when this node sent to it, is sent to every other second: read as odds, the least
/// limit would have 19 of 20 requests shed, and no answer raise it again for minutes.
#[test]
fn a_node_of_a_large_deployment_sends_again_to_endpoints_that_rejected_it() {
    let mut nodes = fleet(300, 3);
    let node = &mut nodes[0];
    node.read(1, Status::Ok);
    for key in 0..12 {
        node.advance(ms(700));
        // Rejected by every endpoint that it tries.
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
    assert!(sent >= 55, "{sent} of 60 were sent");
    // Many at once keep to the limit all the same.
    (0..30).for_each(|key| drop(node.request(0, key, ms(400))));
    let in_flight = node.requests_in_flight().len();
    assert!(
        in_flight <= 3,
        "{in_flight} in flight at once at three endpoints"
    );
}

/// Of very many nodes none can keep endpoints from being full for a moment. Where every second attempt is rejected and
/// every request is served all the same, at the next endpoint, nothing is overloaded and nothing may be shed for it.
#[test]
fn a_node_of_a_large_deployment_sheds_nothing_while_the_next_endpoint_serves_what_one_rejected() {
    let mut rng = fastrand::Rng::with_seed(2);
    let (mut served, mut untried, mut shed) = (0, 0, 0);
    // Each burst is within what the retry budget has saved up.
    for mut node in (0..60).map(node_of_a_large_deployment) {
        for step in 0..30 {
            let id = node.request(0, rng.u64(..), ms(400));
            untried += usize::from(node.requests[&id].answered);
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
        served >= 1_780 && untried <= 15,
        "{served} of 1,800 served, {untried} shed untried"
    );
    let mut node = node_of_a_large_deployment(4);
    // Where most are rejected wherever they go, most of the excess is shed before it is sent.
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
        "{shed} of 600 shed untried while most are rejected"
    );
}

/// Two of five requests meet a full endpoint first, for as long as a busy day lasts: on a budget of one retry for five
/// requests half of them would be shed, although the next endpoint takes them.
#[test]
fn a_node_of_a_large_deployment_can_retry_rejected_attempts_all_day() {
    let mut node = node_of_a_large_deployment(6);
    let mut rng = fastrand::Rng::with_seed(8);
    let mut play = |first, sends: &mut usize| {
        let mut served = 0;
        for step in 0..500 {
            let id = node.request(0, rng.u64(..), ms(400));
            if node.in_flight(&id).is_some() && step % 5 < 2 {
                node.end_attempt_in_flight(&id, first);
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
    let served = play(Status::Rejected, &mut 0);
    assert!(served >= 480, "{served} of 500 served");
    // What may have run costs its endpoint work: that budget stays as it was.
    let mut sends = 0;
    play(Status::Failed, &mut sends);
    assert!(
        sends <= 500 + 500 / 5 + 10,
        "{sends} sends for 500 requests"
    );
}

/// One of many nodes meets an endpoint every few seconds: of a zone that is lost or cut off, none of the endpoints'
/// breakers would learn in time, and a quarter of what each node is asked would wait there for the end of its time.
#[test]
fn the_breaker_of_a_zone_blocks_it_until_it_answers_again() {
    // Twelve requests a second at one of 300 nodes, of which endpoints of the silent zones answer none; returns for
    // each half second how many went there.
    let play = |seed, silent: &dyn Fn(u64) -> &'static [&'static str]| {
        let mut node = node_of_a_large_deployment(seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut there = [0; 40];
        for step in 0..240 {
            node.request(0, rng.u64(..), ms(400));
            node.advance(ms(83));
            for id in node.requests_in_flight() {
                let zone = node.requests[&id]
                    .attempts
                    .last()
                    .and_then(|attempt| attempt.endpoint.zone.clone());
                if silent(step)
                    .iter()
                    .any(|name| zone.as_ref().is_some_and(|zone| zone.as_str() == *name))
                {
                    there[step as usize / 6] += 1;
                } else {
                    node.end_attempt_in_flight(&id, Status::Ok);
                }
            }
            node.requests.retain(|_, open| {
                !open.answered || open.attempts.iter().any(|attempt| attempt.status.is_none())
            });
        }
        (there, node)
    };
    // Each that waits there is seen about five times before it times out.
    let (there, mut node) = play(1, &|step| {
        if (36..180).contains(&step) {
            &["w"]
        } else {
            &[]
        }
    });
    let (early, later): (u32, u32) = (there[6..10].iter().sum(), there[12..30].iter().sum());
    assert!(early >= 8, "{there:?}");
    assert!(later <= 60, "18 half seconds of trials: {there:?}");
    let again = (0..200).filter(|key| {
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
        again.count() >= 30,
        "what answers again gets its part again"
    );
    // Where no zone answers none is worse than the others.
    let (_, node) = play(2, &|_| &["n", "e", "s", "w"]);
    let opened = |action: &Action| matches!(action, Action::BreakerOpened(BreakerScope::Zone(_)));
    assert!(!node.actions.iter().any(opened));
}

/// Left open, the connections of many nodes fill an endpoint's table: a node that meets an endpoint now and then closes
/// behind itself, a busy one or one of few keeps its connections.
#[test]
fn a_node_of_a_large_deployment_closes_seldom_used_connections() {
    let closes = |nodes, gap| {
        let mut node = Node::with_endpoints(
            Settings {
                nodes,
                ..settings()
            },
            1,
        );
        for key in 0..20 {
            node.read(key, Status::Ok);
            node.advance(gap);
        }
        node.actions
            .iter()
            .filter(|action| matches!(action, Action::CloseIdleConnections { .. }))
            .count()
    };
    assert!(closes(300, ms(20_000)) >= 19);
    // Nodes that ask an endpoint every eight seconds would each shake hands anew for nearly every request.
    assert!(closes(300, ms(8_000)) <= 1);
    assert!(closes(300, ms(100)) <= 1);
    assert!(closes(3, ms(4_000)) <= 1);
}

/// Where listed weights do not tell speeds, machines of a slow kind would get as many keys as fast ones and be
/// overloaded.
#[test]
fn a_slow_kind_gets_fewer_keys_where_weights_do_not_include_speed() {
    let share = |weights_include_speed| {
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
        let mut of_slow = 0;
        for step in 0..2_000 {
            let id = node.request(0, rng.u64(..), ms(400));
            let (_, endpoint) = node.in_flight(&id).expect("sent");
            let slow = endpoint.as_str() < "f";
            of_slow += u32::from(slow && step >= 1_000);
            node.advance(ms(if slow { 60 } else { 20 }));
            node.end_attempt_in_flight(&id, Status::Ok);
            node.requests.clear();
        }
        f64::from(of_slow) / 1_000.0
    };
    assert!((0.45..0.55).contains(&share(true)), "{}", share(true));
    assert!((0.2..0.3).contains(&share(false)), "{}", share(false));
}

/// Memory may not grow with what discovery says over time: endpoints come and go, each of a kind of its own.
#[test]
fn kinds_of_removed_endpoints_are_forgotten() {
    let mut node = Node::new(
        Settings {
            weights_include_speed: false,
            ..settings()
        },
        1,
    );
    let mut held = |round: u32| {
        let kind = Some(Name::from(format!("kind-{round}").as_str()));
        node.list_snapshot(vec![Endpoint {
            kind,
            ..Endpoint::new(&format!("s{round}"))
        }]);
        node.read(7, Status::Ok);
        node.requests.clear();
        // What else is remembered of endpoints fades within seconds.
        node.advance(ms(50));
        format!("{:?}", node.balancer).len()
    };
    let early = (0..600).map(&mut held).max().expect("some");
    let late = (600..3_000).map(&mut held).max().expect("some");
    assert!(
        late < early * 11 / 10,
        "{late} characters after 3,000 kinds, {early} after 600"
    );
}
