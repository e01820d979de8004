//! What a relay answers to snapshots, watches and calls that it does not accept, while upstream is healthy or lags.

use crate::node_common::wait_for;
use crate::relay_process::{get_request, health_by_name, json_body, text, RelayProcess};
use crate::versioned_discovery::{two_ready_entries, unused_entry, Fault, VersionedDiscovery};
use crate::LONG_LEASE_MS;
use serde_json::json;

// Guards against answers that differ from discovery's, and against watchers that miss a change.
#[test]
fn snapshots_and_watches_are_answered_as_discovery_answers_them() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &["--lease-ms", LONG_LEASE_MS]);
    assert_eq!(relay.list("/v1/servers"), discovery.state().body(None));
    assert_eq!(
        relay.list("/v1/servers?after=50&wait_ms=1"),
        json!({"seq": 50, "whole": false, "hosts": []})
    );
    let mut watchers: Vec<_> = (0..20).map(|_| relay.watch(50)).collect();
    discovery.publish(unused_entry("s-1", "draining"));
    let delta = discovery.state().body(Some(50));
    for client in &mut watchers {
        assert_eq!(json_body(&client.answer().unwrap()), delta);
    }
    assert_eq!(
        relay.list("/v1/servers?after=50"),
        delta,
        "also to a call that comes later"
    );
    assert_eq!(
        relay.list("/v1/servers?after=7")["whole"],
        true,
        "an unknown version is answered with a snapshot"
    );
    let counts = relay.status()["callers"].clone();
    assert_eq!(
        (&counts["change_answers"], &counts["whole_answers"]),
        (&json!(21), &json!(2))
    );
    assert_eq!(
        discovery.calls_with("/v1/servers"),
        3,
        "upstream sees one caller: a snapshot and two watches"
    );
}

// Guards against a guess at what an invalid request means.
#[test]
fn invalid_requests_are_rejected_with_the_reason() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &[]);
    let assert_rejected = |request: &str, status: u16, reason: &str| {
        let message = relay.client().request(request);
        assert!(
            message.status() == status && text(&message).contains(reason),
            "{request}: {}",
            text(&message)
        );
    };
    assert_rejected(
        &get_request("/v1/servers?after=1&wait_ms=60001"),
        400,
        "wait_ms is 60001: at most 60000 is possible",
    );
    assert_rejected(
        &get_request("/v1/servers?after=x"),
        400,
        "after is \"x\": a whole number is expected",
    );
    assert_rejected(
        &get_request("/v1/hosts"),
        404,
        "there is nothing at /v1/hosts",
    );
    assert_rejected(
        "PUT /v1/servers HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n",
        405,
        "GET is expected",
    );
}

// Guards against an empty list, or one of an earlier epoch, before the first snapshot.
#[test]
fn a_starting_relay_rejects_calls_until_it_has_a_snapshot() {
    let discovery = VersionedDiscovery::start(Fault::Unresponsive, &two_ready_entries());
    let relay = RelayProcess::start(&[discovery.address], &["--lease-ms", LONG_LEASE_MS]);
    wait_for("its call", || discovery.calls_with("/v1/servers") > 0);
    for target in [
        "/v1/servers",
        "/v1/servers?after=50&wait_ms=60000",
        "/healthz",
    ] {
        relay.assert_unavailable(target, "no list has come from upstream yet");
    }
    discovery.set_fault(Fault::None);
    relay.wait_until_healthy();
    assert_eq!(relay.list("/v1/servers")["seq"], 50);
}

// Guards against an older list for a caller that was at a source that is ahead of this relay.
#[test]
fn a_lagging_relay_answers_a_caller_ahead_of_it_only_after_upstream_has_answered() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &["--lease-ms", LONG_LEASE_MS]);
    wait_for("its watch", || discovery.calls_with("after=50&") == 1);
    discovery.set_fault(Fault::Unresponsive);
    relay.assert_unavailable(
        "/v1/servers?after=52&wait_ms=1000",
        "upstream has not answered for it",
    );
    let mut caller_ahead = relay.client();
    caller_ahead.send(&get_request("/v1/servers?after=52&wait_ms=60000"));
    discovery.publish(unused_entry("s-1", "draining"));
    discovery.publish(unused_entry("s-2", "draining"));
    discovery.set_fault(Fault::None);
    wait_for("the relay's list", || relay.status()["version"] == 52);
    wait_for("a caller that waits", || relay.status()["waiting"] == 1);
    discovery.publish(unused_entry("s-1", "gone"));
    let answer = caller_ahead.answer().unwrap();
    assert_eq!(
        health_by_name(&json_body(&answer)),
        [("s-1", "gone")],
        "nothing older came before"
    );
}
