//! Real nodes behind relays.

use crate::node_common::{config, wait_for, CacheServer, Node};
use crate::relay_process::RelayProcess;
use crate::versioned_discovery::{Fault, VersionedDiscovery};
use serde_json::Value;

fn two_cache_servers() -> [CacheServer; 2] {
    [CacheServer::serving("one"), CacheServer::serving("two")]
}

/// The servers' entries, both ready.
fn ready_entries(servers: &[CacheServer; 2]) -> [Value; 2] {
    [
        servers[0].entry("s-1", "ready"),
        servers[1].entry("s-2", "ready"),
    ]
}

/// Asserts that the node sends nothing more to the first of two servers, and serves.
fn assert_first_is_unused(node: &Node, servers: &[CacheServer; 2]) {
    let before = servers[0].count();
    for key in 100..130 {
        assert_eq!(node.read("read", key).body, b"two", "{key}");
    }
    assert_eq!(servers[0].count(), before);
}

// Guards against a node that stops serving without its relay, and against one that never finds the next one.
#[test]
fn a_node_whose_relay_is_killed_keeps_serving_and_follows_the_next_one() {
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
    wait_for("the node at its new relay", || {
        relay.status()["waiting"] == 1 && relay.status()["version"] == 51
    });
    assert_first_is_unused(&node, &servers);
}

// Guards against a drain that a tier delays. Each tier forwards what it reads before it calls again, so the node has the drain
// when its next watch has come to its relay. The lease is longer than any wait of the test, so that neither its end nor that
// of a watch can bring the drain.
#[test]
fn a_drain_passes_two_tiers_of_relays_to_a_node_without_a_lease_or_watch_running_out() {
    let servers = two_cache_servers();
    let discovery = VersionedDiscovery::start(Fault::None, &ready_entries(&servers));
    let lease = ["--lease-ms", "3600000"];
    let region = RelayProcess::ready(&[discovery.address], &lease);
    let site = RelayProcess::ready(&[region.address], &lease);
    let node = Node::ready(&config(site.address));
    wait_for("the watches", || {
        [&region, &site]
            .iter()
            .all(|relay| relay.status()["waiting"] == 1)
    });
    discovery.publish(servers[0].entry("s-1", "draining"));
    wait_for("the node's next watch", || {
        site.status()["version"] == 51 && site.status()["waiting"] == 1
    });
    assert_first_is_unused(&node, &servers);
    assert_eq!(site.status()["callers"]["change_answers"], 1);
    assert_eq!(region.status()["callers"]["change_answers"], 1);
}
