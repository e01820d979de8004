//! Real nodes that receive the endpoint list from relays.

use crate::node_common::{config, wait_for, CacheServer, Node};
use crate::relay_process::RelayProcess;
use crate::versioned_discovery::{Fault, VersionedDiscovery};
use serde_json::Value;

fn two_cache_servers() -> [CacheServer; 2] {
    [CacheServer::serving("one"), CacheServer::serving("two")]
}

/// Returns the entries of both servers with the health `ready`.
fn ready_entries(servers: &[CacheServer; 2]) -> [Value; 2] {
    [
        servers[0].entry("s-1", "ready"),
        servers[1].entry("s-2", "ready"),
    ]
}

/// Asserts that the node serves requests and sends none of them to the first server.
fn assert_first_server_receives_no_requests(node: &Node, servers: &[CacheServer; 2]) {
    let initial_count = servers[0].request_count();
    for key in 100..130 {
        assert_eq!(node.read("read", key).body, b"two", "{key}");
    }
    assert_eq!(servers[0].request_count(), initial_count);
}

// Guards against a node that stops serving without its relay, or that does not reconnect to a new
// relay at the same address.
#[test]
fn a_node_whose_relay_is_killed_keeps_serving_and_follows_a_new_relay() {
    let servers = two_cache_servers();
    let discovery = VersionedDiscovery::start(Fault::None, &ready_entries(&servers));
    let relay = RelayProcess::ready(&[discovery.address], &[]);
    let address = relay.address;
    let node = Node::ready(&config(address));
    drop(relay);
    for key in 0..20 {
        assert_eq!(node.read("read", key).status(), 200, "{key}");
    }
    discovery.publish(servers[0].entry("s-1", "draining"));
    let relay = RelayProcess::start_at(address, &[discovery.address], &[]);
    wait_for("the node's watch at its new relay", || {
        relay.status()["waiting"] == 1 && relay.status()["version"] == 51
    });
    assert_first_server_receives_no_requests(&node, &servers);
}

// Guards against a drain that a relay tier delays. Each tier forwards an update before its next
// call, so the node has applied the drain once its next watch reaches its relay. The lease is
// longer than any wait of the test, so no expiring lease or watch can deliver the drain.
#[test]
fn a_drain_reaches_a_node_through_two_relay_tiers_without_an_expired_lease_or_watch() {
    let servers = two_cache_servers();
    let discovery = VersionedDiscovery::start(Fault::None, &ready_entries(&servers));
    let lease_arguments = ["--lease-ms", "3600000"];
    let region_relay = RelayProcess::ready(&[discovery.address], &lease_arguments);
    let site_relay = RelayProcess::ready(&[region_relay.address], &lease_arguments);
    let node = Node::ready(&config(site_relay.address));
    wait_for("the watches at both relays", || {
        [&region_relay, &site_relay]
            .iter()
            .all(|relay| relay.status()["waiting"] == 1)
    });
    discovery.publish(servers[0].entry("s-1", "draining"));
    wait_for("the node's next watch", || {
        site_relay.status()["version"] == 51 && site_relay.status()["waiting"] == 1
    });
    assert_first_server_receives_no_requests(&node, &servers);
    assert_eq!(site_relay.status()["callers"]["change_answers"], 1);
    assert_eq!(region_relay.status()["callers"]["change_answers"], 1);
}
