//! Responses of a relay to snapshots, watches and invalid calls, while the relay starts, is up to
//! date or lags behind.

use crate::node_common::wait_for;
use crate::relay_process::{get_request, health_by_name, json_body, text_body, RelayProcess};
use crate::versioned_discovery::{two_ready_entries, unused_entry, Fault, VersionedDiscovery};
use crate::LONG_LEASE_MS;
use serde_json::json;

// Guards against responses that differ from discovery's responses, and against watches that miss a
// change.
#[test]
fn snapshots_and_watches_get_the_same_responses_as_from_discovery() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &["--lease-ms", LONG_LEASE_MS]);
    assert_eq!(
        relay.get_json("/v1/servers"),
        discovery.state().response_body(None)
    );
    assert_eq!(
        relay.get_json("/v1/servers?after=50&wait_ms=1"),
        json!({"seq": 50, "whole": false, "hosts": []})
    );
    let mut watchers: Vec<_> = (0..20).map(|_| relay.watch(50)).collect();
    discovery.publish(unused_entry("s-1", "draining"));
    let delta = discovery.state().response_body(Some(50));
    for client in &mut watchers {
        assert_eq!(json_body(&client.read_response().unwrap()), delta);
    }
    assert_eq!(
        relay.get_json("/v1/servers?after=50"),
        delta,
        "a later call receives the same delta"
    );
    assert_eq!(
        relay.get_json("/v1/servers?after=7")["whole"],
        true,
        "an unknown version is answered with a snapshot"
    );
    let counts = relay.status()["callers"].clone();
    assert_eq!(
        (&counts["change_answers"], &counts["whole_answers"]),
        (&json!(21), &json!(2))
    );
    assert_eq!(
        discovery.count_calls_containing("/v1/servers"),
        3,
        "upstream receives calls of one client: a snapshot and two watches"
    );
}

// Guards against a relay that guesses the meaning of an invalid request instead of rejecting it.
#[test]
fn invalid_requests_are_rejected_with_the_reason() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &[]);
    let assert_rejected = |request: &str, status: u16, reason: &str| {
        let message = relay.client().request(request);
        assert!(
            message.status() == status && text_body(&message).contains(reason),
            "{request}: {}",
            text_body(&message)
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

// Guards against a relay that serves an empty list, or a list of an earlier epoch, before its first
// snapshot.
#[test]
fn a_starting_relay_rejects_calls_until_it_has_a_snapshot() {
    let discovery = VersionedDiscovery::start(Fault::Unresponsive, &two_ready_entries());
    let relay = RelayProcess::start(&[discovery.address], &["--lease-ms", LONG_LEASE_MS]);
    wait_for("the relay's call", || {
        discovery.count_calls_containing("/v1/servers") > 0
    });
    for target in [
        "/v1/servers",
        "/v1/servers?after=50&wait_ms=60000",
        "/healthz",
    ] {
        relay.assert_unavailable(target, "no list has come from upstream yet");
    }
    discovery.set_fault(Fault::None);
    relay.wait_until_healthy();
    assert_eq!(relay.get_json("/v1/servers")["seq"], 50);
}

// Guards against a client that receives an older list than it holds because its previous source was
// ahead of this relay.
#[test]
fn a_lagging_relay_answers_a_client_ahead_of_it_only_after_upstream_has_answered() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &["--lease-ms", LONG_LEASE_MS]);
    wait_for("the relay's watch", || {
        discovery.count_calls_containing("after=50&") == 1
    });
    discovery.set_fault(Fault::Unresponsive);
    relay.assert_unavailable(
        "/v1/servers?after=52&wait_ms=1000",
        "upstream has not answered for it",
    );
    let mut client_ahead = relay.client();
    client_ahead.send(&get_request("/v1/servers?after=52&wait_ms=60000"));
    discovery.publish(unused_entry("s-1", "draining"));
    discovery.publish(unused_entry("s-2", "draining"));
    discovery.set_fault(Fault::None);
    wait_for("version 52 at the relay", || {
        relay.status()["version"] == 52
    });
    wait_for("the waiting client", || relay.status()["waiting"] == 1);
    discovery.publish(unused_entry("s-1", "gone"));
    let response = client_ahead.read_response().unwrap();
    assert_eq!(
        health_by_name(&json_body(&response)),
        [("s-1", "gone")],
        "the client receives no older list first"
    );
}
