//! Lists of servers that cross one another: none of before a drain undoes it, and what is newer than the drain counts.

mod node_common;

use node_common::endpoint_pair::{started_at, EndpointPair};
use node_common::manual_discovery::{list, ManualDiscovery};
use node_common::*;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn moved_to(config: &Value, discovery: SocketAddr) -> String {
    let mut moved = config.clone();
    moved["discovery"] = json!(discovery.to_string());
    moved.to_string()
}

// Guards against a drain that the old discovery told while a node moved, and that the new one's whole list undoes though
// it is of before: it was made, and is on its way, when the drain is told.
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
    pair.wait_for_both(&node);
    let mut watch = old.next_call();
    node.reload(&moved_to(&config, new.address));
    let mut whole = new.next_call();
    assert_eq!(whole.path, "/v1/servers");
    watch.answer(&list(6, false, &pair.entries("draining")[..1]));
    pair.wait_until_unused(&node);
    whole.answer(&list(5, true, &pair.entries("ready")));
    let mut next = new.next_call();
    pair.assert_unused(&node);
    // A later word that it is ready again counts.
    next.answer(&list(
        7,
        false,
        &[started_at(pair.entries("ready")[0].clone(), 1_000)],
    ));
    pair.wait_for_both(&node);
}

/// How a server is told to leave.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Draining,
    Gone,
    /// By a whole list that lacks it.
    Absent,
}

// Guards against a list of before a drain or an end that undoes it: one of a lower version is followed by the whole list, and
// that may be of before as well.
#[test]
fn a_list_older_than_a_drain_does_not_undo_it_at_the_same_discovery() {
    let mut undone = Vec::new();
    for leaves in [Leaves::Draining, Leaves::Gone, Leaves::Absent] {
        // It leaves with version 6, and a whole list of this one comes after that.
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
            pair.wait_for_both(&node);
            discovery.next_call().answer(&match leaves {
                Leaves::Draining => list(6, false, &pair.entries("draining")[..1]),
                Leaves::Gone => list(6, false, &pair.entries("gone")[..1]),
                Leaves::Absent => list(6, true, &pair.entries("ready")[1..]),
            });
            let mut watch = discovery.next_call();
            pair.assert_unused(&node);
            watch.answer(&list(seq, true, &pair.entries("ready")));
            let mut next = discovery.next_call();
            if next.path == "/v1/servers" {
                next.answer(&list(seq, true, &pair.entries("ready")));
                next = discovery.next_call();
            }
            let before = pair.leaving.count();
            (20..60).for_each(|key| drop(node.read("read", key)));
            let sent = pair.leaving.count() - before;
            if sent > 0 {
                undone.push((leaves, seq, sent));
            }
            // Started anew, it is ready.
            next.answer(&list(
                7,
                false,
                &[started_at(pair.entries("ready")[0].clone(), 1_000)],
            ));
            pair.wait_for_both(&node);
        }
    }
    assert!(
        undone.is_empty(),
        "how it left, the version that undid it, sends after that: {undone:?}"
    );
}

// Guards against a node that serves from the list it knew and whose first call is refused, or waits for its turn, as a drain is
// told: the answer to that call, or to the next, is heeded, and the next one comes soon.
#[test]
fn a_drain_in_the_first_list_or_the_one_after_a_failed_call_takes_effect() {
    for refused in [false, true] {
        let pair = EndpointPair::start();
        let discovery = ManualDiscovery::start();
        let mut config = config(discovery.address);
        config["known"] = json!({"seq": 1, "whole": true, "hosts": pair.entries("ready")});
        let node = Node::ready(&config);
        let mut call = discovery.next_call();
        pair.wait_for_both(&node);
        if refused {
            call.refuse();
            let since = Instant::now();
            call = discovery.next_call();
            // The module's pause is 0.84 s at most; the rest is for a machine that does other things too.
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
        pair.assert_unused(&node);
    }
}

// Guards against a ready server that is taken for one that leaves for good: a new start is heeded, whichever way it is told.
#[test]
fn an_endpoint_with_a_new_incarnation_after_its_drain_is_used_again() {
    for (whole, gone_between) in [(false, false), (false, true), (true, false), (true, true)] {
        let pair = EndpointPair::start();
        let discovery = Discovery::start(&pair.entries("ready"));
        let node = Node::ready(&config(discovery.address));
        pair.wait_for_both(&node);
        discovery.publish(false, &pair.entries("draining")[..1]);
        discovery.wait_until_applied(2);
        pair.assert_unused(&node);
        let mut seq = 2;
        if gone_between {
            match whole {
                true => discovery.publish(true, &pair.entries("ready")[1..]),
                false => discovery.publish(false, &pair.entries("gone")[..1]),
            }
            seq += 1;
            discovery.wait_until_applied(seq);
            pair.assert_unused(&node);
        }
        let [leaving, staying] = pair.entries("ready");
        discovery.publish(whole, &[started_at(leaving, 1_000), staying]);
        discovery.wait_until_applied(seq + 1);
        pair.wait_for_both(&node);
    }
}
