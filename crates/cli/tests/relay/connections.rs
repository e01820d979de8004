//! The bound on a relay's downstream connections, and its shutdown.

use crate::node_common::{wait_for, Client};
use crate::relay_process::{get_request, text, RelayProcess};
use crate::versioned_discovery::{two_ready_entries, Fault, VersionedDiscovery};
use crate::LONG_LEASE_MS;
use std::process::Command;

// Guards against connections without bound, each of which takes a descriptor and an answer's memory.
#[test]
fn connections_past_the_bound_are_rejected_and_a_freed_one_is_given_again() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &["--callers", "3"]);
    // The connections of the health check may still be open there.
    let mut clients: Vec<Client> = Vec::new();
    wait_for("three connections", || {
        let mut client = relay.client();
        if client.request(&get_request("/v1/servers")).status() == 200 {
            clients.push(client);
        }
        clients.len() == 3
    });
    let rejected = relay.get("/v1/servers");
    assert_eq!(rejected.status(), 503);
    assert!(
        text(&rejected).contains("there are 3 connections already"),
        "{}",
        text(&rejected)
    );
    assert_eq!(rejected.header("connection"), Some("close"));
    let last = clients.pop().unwrap();
    assert_eq!(
        clients[0].request(&get_request("/v1/servers")).status(),
        200,
        "accepted connections stay"
    );
    drop(last);
    wait_for("a free connection", || {
        relay.get("/v1/servers").status() == 200
    });
}

// Guards against watches that are closed without an answer when a relay is stopped.
#[test]
fn on_sigterm_watches_are_rejected_and_the_relay_exits() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let mut relay = RelayProcess::ready(&[discovery.address], &["--lease-ms", LONG_LEASE_MS]);
    let mut watcher = relay.watch(50);
    let pid = relay.child.id().to_string();
    assert!(Command::new("kill")
        .args(["-TERM", &pid])
        .status()
        .unwrap()
        .success());
    let answer = watcher.answer().unwrap();
    assert!(
        answer.status() == 503 && text(&answer).contains("the relay stops"),
        "{}",
        text(&answer)
    );
    assert_eq!(relay.child.wait().unwrap().code(), Some(0));
}
