//! What callers of a relay get while its upstream is down, unresponsive or has started anew.

use crate::node_common::wait_for;
use crate::relay_process::{health_by_name, json_body, text, RelayProcess};
use crate::versioned_discovery::{two_ready_entries, unused_entry, Fault, VersionedDiscovery};
use crate::{LONG_LEASE_MS, SHORT_LEASE_MS};
use serde_json::json;

// Guards against a stale list that is served as a current one, and against a relay that does not recover.
#[test]
fn when_upstream_is_down_callers_are_rejected_after_the_lease_until_it_is_back() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &["--lease-ms", SHORT_LEASE_MS]);
    let mut watcher = relay.watch(50);
    discovery.set_fault(Fault::Down);
    let failed = watcher.answer().unwrap();
    assert!(
        failed.status() == 503 && text(&failed).contains("the lease is 1500 ms"),
        "{}",
        text(&failed)
    );
    relay.assert_unavailable("/v1/servers", "nothing was heard from upstream");
    relay.assert_unavailable("/healthz", "nothing was heard from upstream");
    assert_eq!(relay.status()["lease_left_ms"], 0);
    discovery.publish(unused_entry("s-2", "gone"));
    discovery.set_fault(Fault::None);
    relay.wait_until_healthy();
    assert_eq!(
        health_by_name(&relay.list("/v1/servers?after=50")),
        [("s-2", "gone")]
    );
}

// Guards against a relay that waits for ever on an upstream behind a network partition.
#[test]
fn when_an_upstream_is_unresponsive_or_down_the_next_one_is_called() {
    let entries = two_ready_entries();
    let (first, second) = (
        VersionedDiscovery::start(Fault::None, &entries),
        VersionedDiscovery::start(Fault::None, &entries),
    );
    let relay = RelayProcess::ready(&[first.address, second.address], &["--lease-ms", "4500"]);
    let mut watcher = relay.watch(50);
    first.set_fault(Fault::Unresponsive);
    second.publish(unused_entry("s-1", "draining"));
    let answer = watcher.answer().unwrap();
    assert_eq!(answer.status(), 200, "within the lease: {}", text(&answer));
    assert_eq!(health_by_name(&json_body(&answer)), [("s-1", "draining")]);
    assert_eq!(
        second.calls_with("/v1/servers?after=50&"),
        1,
        "from the version that was held, and without a snapshot"
    );
    // One that is down is noticed at once, and the first one has come back.
    first.publish(unused_entry("s-1", "draining"));
    first.publish(unused_entry("s-1", "gone"));
    first.set_fault(Fault::None);
    second.set_fault(Fault::Down);
    wait_for("the first one's list", || relay.status()["version"] == 52);
    assert_eq!(
        health_by_name(&relay.list("/v1/servers")),
        [("s-2", "ready")]
    );
}

// Guards against endpoints that an old delta brings back, and against callers that stay at versions of the earlier epoch.
#[test]
fn after_an_older_version_from_upstream_callers_get_nothing_until_the_snapshot_has_come() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &["--lease-ms", LONG_LEASE_MS]);
    let mut watcher = relay.watch(50);
    wait_for("its watch", || discovery.calls_with("after=50&") == 1);
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
        discovery.calls_with("/v1/servers") > discovery.calls_with("after=")
    });
    wait_for("its rejection", || {
        relay.status()["upstream"]["rejected"] == 1
    });
    assert_eq!(relay.list("/v1/servers")["seq"], 50);
    assert_eq!(health_by_name(&relay.list("/v1/servers?after=50")), []);
    discovery.set_fault(Fault::None);
    let answer = json_body(&watcher.answer().unwrap());
    assert_eq!(
        (&answer["seq"], &answer["whole"]),
        (&json!(4), &json!(true))
    );
    assert_eq!(
        health_by_name(&answer),
        [("s-2", "draining"), ("s-3", "ready")]
    );
    assert_eq!(relay.status()["epochs"], 2);
    assert_eq!(relay.list("/v1/servers?after=50&wait_ms=1")["whole"], true);
}
