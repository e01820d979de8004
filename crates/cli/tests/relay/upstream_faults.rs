//! Responses of a relay whose upstream is down, unresponsive or restarted.

use crate::node_common::wait_for;
use crate::relay_process::{health_by_name, json_body, text_body, RelayProcess};
use crate::versioned_discovery::{two_ready_entries, unused_entry, Fault, VersionedDiscovery};
use crate::{LONG_LEASE_MS, SHORT_LEASE_MS};
use serde_json::json;

// Guards against a relay that serves a stale list as current, or that does not recover together
// with its upstream.
#[test]
fn clients_are_rejected_from_lease_expiry_until_upstream_recovers() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &["--lease-ms", SHORT_LEASE_MS]);
    let mut watcher = relay.watch(50);
    discovery.set_fault(Fault::Down);
    let rejection = watcher.read_response().unwrap();
    assert!(
        rejection.status() == 503 && text_body(&rejection).contains("the lease is 1500 ms"),
        "{}",
        text_body(&rejection)
    );
    relay.assert_unavailable("/v1/servers", "nothing was heard from upstream");
    relay.assert_unavailable("/healthz", "nothing was heard from upstream");
    assert_eq!(relay.status()["lease_left_ms"], 0);
    discovery.publish(unused_entry("s-2", "gone"));
    discovery.set_fault(Fault::None);
    relay.wait_until_healthy();
    assert_eq!(
        health_by_name(&relay.get_json("/v1/servers?after=50")),
        [("s-2", "gone")]
    );
}

// Guards against a relay that waits indefinitely for an upstream behind a network partition.
#[test]
fn when_an_upstream_is_unresponsive_or_down_the_next_upstream_is_called() {
    let entries = two_ready_entries();
    let (first_upstream, second_upstream) = (
        VersionedDiscovery::start(Fault::None, &entries),
        VersionedDiscovery::start(Fault::None, &entries),
    );
    let relay = RelayProcess::ready(
        &[first_upstream.address, second_upstream.address],
        &["--lease-ms", "4500"],
    );
    let mut watcher = relay.watch(50);
    first_upstream.set_fault(Fault::Unresponsive);
    second_upstream.publish(unused_entry("s-1", "draining"));
    let response = watcher.read_response().unwrap();
    assert_eq!(
        response.status(),
        200,
        "the second upstream must respond within the lease: {}",
        text_body(&response)
    );
    assert_eq!(health_by_name(&json_body(&response)), [("s-1", "draining")]);
    assert_eq!(
        second_upstream.count_calls_containing("/v1/servers?after=50&"),
        1,
        "the relay continues from its current version, without a snapshot"
    );
    // The relay detects at once that the second upstream is down, and the first has recovered.
    first_upstream.publish(unused_entry("s-1", "draining"));
    first_upstream.publish(unused_entry("s-1", "gone"));
    first_upstream.set_fault(Fault::None);
    second_upstream.set_fault(Fault::Down);
    wait_for("the list of the first upstream", || {
        relay.status()["version"] == 52
    });
    assert_eq!(
        health_by_name(&relay.get_json("/v1/servers")),
        [("s-2", "ready")]
    );
}

// Guards against an old delta that restores removed endpoints, and against clients that remain at
// versions of the earlier epoch.
#[test]
fn after_an_older_upstream_version_clients_get_no_changes_until_the_snapshot_arrives() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &["--lease-ms", LONG_LEASE_MS]);
    let mut watcher = relay.watch(50);
    wait_for("the relay's watch", || {
        discovery.count_calls_containing("after=50&") == 1
    });
    discovery.set_fault(Fault::NoSnapshots);
    discovery.restart(
        3,
        &[
            unused_entry("s-1", "gone"),
            unused_entry("s-2", "ready"),
            unused_entry("s-3", "ready"),
        ],
    );
    discovery.publish(unused_entry("s-2", "draining"));
    wait_for("the call for the snapshot", || {
        discovery.count_calls_containing("/v1/servers") > discovery.count_calls_containing("after=")
    });
    wait_for("the rejected update", || {
        relay.status()["upstream"]["rejected"] == 1
    });
    assert_eq!(relay.get_json("/v1/servers")["seq"], 50);
    assert_eq!(health_by_name(&relay.get_json("/v1/servers?after=50")), []);
    discovery.set_fault(Fault::None);
    let response = json_body(&watcher.read_response().unwrap());
    assert_eq!(
        (&response["seq"], &response["whole"]),
        (&json!(4), &json!(true))
    );
    assert_eq!(
        health_by_name(&response),
        [("s-2", "draining"), ("s-3", "ready")]
    );
    assert_eq!(relay.status()["epochs"], 2);
    assert_eq!(
        relay.get_json("/v1/servers?after=50&wait_ms=1")["whole"],
        true
    );
}
