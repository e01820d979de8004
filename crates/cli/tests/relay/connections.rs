//! Limit on the downstream connections of a relay, and the relay's shutdown.

use crate::node_common::{wait_for, Client};
use crate::relay_process::{get_request, text_body, RelayProcess};
use crate::versioned_discovery::{two_ready_entries, Fault, VersionedDiscovery};
use crate::LONG_LEASE_MS;
use std::process::Command;

// Guards against unlimited connections, each of which uses a file descriptor and the memory of a
// response.
#[test]
fn connections_beyond_the_limit_are_rejected_until_a_connection_is_closed() {
    let discovery = VersionedDiscovery::start(Fault::None, &two_ready_entries());
    let relay = RelayProcess::ready(&[discovery.address], &["--callers", "3"]);
    // Connections of the health check may still be open and count towards the limit.
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
        text_body(&rejected).contains("there are 3 connections already"),
        "{}",
        text_body(&rejected)
    );
    assert_eq!(rejected.header("connection"), Some("close"));
    let last_client = clients.pop().unwrap();
    assert_eq!(
        clients[0].request(&get_request("/v1/servers")).status(),
        200,
        "accepted connections remain open"
    );
    drop(last_client);
    wait_for("an accepted connection after one was closed", || {
        relay.get("/v1/servers").status() == 200
    });
}

// Guards against watches that are closed without a response when the relay shuts down.
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
    let response = watcher.read_response().unwrap();
    assert!(
        response.status() == 503 && text_body(&response).contains("the relay stops"),
        "{}",
        text_body(&response)
    );
    assert_eq!(relay.child.wait().unwrap().code(), Some(0));
}
