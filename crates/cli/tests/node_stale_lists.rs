//! Endpoint lists that arrive out of order: a list older than a drain never undoes the drain, and a
//! newer list takes effect.

mod node_common;

use node_common::endpoint_pair::{with_start_time, EndpointPair};
use node_common::manual_discovery::{list, ManualDiscovery};
use node_common::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn config_with_discovery(config: &Value, discovery: SocketAddr) -> String {
    let mut moved = config.clone();
    moved["discovery"] = json!(discovery.to_string());
    moved.to_string()
}

// Guards against a drain that is published by the old discovery during a move and undone by the
// complete list of the new discovery. That list is older: it was in flight when the drain was
// published.
#[test]
fn a_complete_list_older_than_a_drain_does_not_undo_it_after_a_move_of_discovery() {
    let pair = EndpointPair::start();
    let (old, new) = (ManualDiscovery::start(), ManualDiscovery::start());
    let config = config(old.address);
    let node = Node::start(&config);
    old.next_call()
        .answer(&list(5, true, &pair.entries("ready")));
    wait_for("the node's readiness", || {
        node.get("/healthz").status() == 200
    });
    pair.wait_until_both_used(&node);
    let mut watch = old.next_call();
    node.reload(&config_with_discovery(&config, new.address));
    let mut complete_call = new.next_call();
    assert_eq!(complete_call.path, "/v1/servers");
    watch.answer(&list(6, false, &pair.entries("draining")[..1]));
    pair.wait_until_leaving_server_unused(&node);
    complete_call.answer(&list(5, true, &pair.entries("ready")));
    let mut next = new.next_call();
    pair.assert_leaving_server_unused(&node);
    // A newer list in which the server is ready again takes effect.
    next.answer(&list(
        7,
        false,
        &[with_start_time(pair.entries("ready")[0].clone(), 1_000)],
    ));
    pair.wait_until_both_used(&node);
}

/// How a list makes a server leave.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    Draining,
    Gone,
    /// A complete list omits the server.
    Absent,
}

// Guards against a drain or removal that an older list undoes: after a list of a lower version, the
// node requests the complete list, which may be older as well.
#[test]
fn a_list_older_than_a_drain_does_not_undo_it_at_the_same_discovery() {
    let mut undone = Vec::new();
    for departure in [Departure::Draining, Departure::Gone, Departure::Absent] {
        // The server leaves in version 6; then a complete list of version `seq` arrives.
        for seq in [4, 6] {
            let pair = EndpointPair::start();
            let discovery = ManualDiscovery::start();
            let node = Node::start(&config(discovery.address));
            discovery
                .next_call()
                .answer(&list(5, true, &pair.entries("ready")));
            wait_for("the node's readiness", || {
                node.get("/healthz").status() == 200
            });
            pair.wait_until_both_used(&node);
            discovery.next_call().answer(&match departure {
                Departure::Draining => list(6, false, &pair.entries("draining")[..1]),
                Departure::Gone => list(6, false, &pair.entries("gone")[..1]),
                Departure::Absent => list(6, true, &pair.entries("ready")[1..]),
            });
            let mut watch = discovery.next_call();
            pair.assert_leaving_server_unused(&node);
            watch.answer(&list(seq, true, &pair.entries("ready")));
            let mut next = discovery.next_call();
            if next.path == "/v1/servers" {
                next.answer(&list(seq, true, &pair.entries("ready")));
                next = discovery.next_call();
            }
            let before = pair.leaving.request_count();
            (20..60).for_each(|key| drop(node.read("read", key)));
            let sent = pair.leaving.request_count() - before;
            if sent > 0 {
                undone.push((departure, seq, sent));
            }
            // After a new start, the server is used again.
            next.answer(&list(
                7,
                false,
                &[with_start_time(pair.entries("ready")[0].clone(), 1_000)],
            ));
            pair.wait_until_both_used(&node);
        }
    }
    assert!(
        undone.is_empty(),
        "a list undid the departure (departure, version of the list, requests sent after it): {undone:?}"
    );
}

// Guards against a missed drain while a node serves from its configured list and its first call is
// refused or queued: the answer to that call, or to the next, takes effect, and the next call
// follows soon.
#[test]
fn a_drain_in_the_first_list_or_the_one_after_a_failed_call_takes_effect() {
    for refused in [false, true] {
        let pair = EndpointPair::start();
        let discovery = ManualDiscovery::start();
        let mut config = config(discovery.address);
        config["known"] = json!({"seq": 1, "whole": true, "hosts": pair.entries("ready")});
        let node = Node::ready(&config);
        let mut call = discovery.next_call();
        pair.wait_until_both_used(&node);
        if refused {
            call.refuse();
            let since = Instant::now();
            call = discovery.next_call();
            // The policy's backoff is 0.84 s at most; the remaining time allows for a busy machine.
            assert!(
                since.elapsed() < Duration::from_secs(3),
                "{:?}",
                since.elapsed()
            );
        }
        assert!(call.path.contains("after=1&"), "{}", call.path);
        call.answer(&list(2, false, &pair.entries("draining")[..1]));
        let next = discovery.next_call();
        assert!(next.path.contains("after=2&"), "{}", next.path);
        pair.assert_leaving_server_unused(&node);
    }
}

// Guards against a drained server that is treated as removed permanently: a new start takes effect,
// whichever kind of list announces it.
#[test]
fn an_endpoint_with_a_new_incarnation_after_its_drain_is_used_again() {
    for (whole, removed_between) in [(false, false), (false, true), (true, false), (true, true)] {
        let pair = EndpointPair::start();
        let discovery = Discovery::start(&pair.entries("ready"));
        let node = Node::ready(&config(discovery.address));
        pair.wait_until_both_used(&node);
        discovery.publish(false, &pair.entries("draining")[..1]);
        discovery.wait_until_applied(2);
        pair.assert_leaving_server_unused(&node);
        let mut seq = 2;
        if removed_between {
            match whole {
                true => discovery.publish(true, &pair.entries("ready")[1..]),
                false => discovery.publish(false, &pair.entries("gone")[..1]),
            }
            seq += 1;
            discovery.wait_until_applied(seq);
            pair.assert_leaving_server_unused(&node);
        }
        let [leaving, staying] = pair.entries("ready");
        discovery.publish(whole, &[with_start_time(leaving, 1_000), staying]);
        discovery.wait_until_applied(seq + 1);
        pair.wait_until_both_used(&node);
    }
}
