//! A node's memory with many concurrent clients, over loopback sockets.

mod node_common;

use node_common::*;
use serde_json::json;
use std::fs;
use std::thread::sleep;
use std::time::Duration;

/// Returns the peak resident memory of the node's process so far, in kB.
fn peak_memory_kb(node: &Node) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let value = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap()
        .trim();
    value.split(' ').next().unwrap().parse().unwrap()
}

// Guards against request and response bodies of many concurrent clients that take more memory than
// the limit, or whose memory is not released after the clients have disconnected.
#[test]
fn bodies_and_responses_of_the_largest_size_stay_within_the_memory_limit_and_are_released() {
    let body = "v".repeat(64 << 10);
    let server = CacheServer::start(move |_| Reply::Response(http_response("200 OK", "", &body)));
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut node_config = config(discovery.address);
    node_config["limits"]["memory_mb"] = json!(32);
    let node = Node::ready(&node_config);
    // About a third of the descriptors. No client reads its response before all have sent.
    let mut clients: Vec<_> = (0..300u64)
        .map(|key| {
            let mut client = node.client();
            let head = api_request("keyed", key, 20_000)
                .replace("GET", "PUT")
                .replace("\r\n\r\n", "\r\n");
            client.try_send(&format!(
                "{head}Content-Length: 65536\r\n\r\n{}",
                "b".repeat(64 << 10)
            ));
            client
        })
        .collect();
    wait_for("requests at the server", || server.request_count() > 20);
    sleep(Duration::from_millis(500));
    let responses: Vec<_> = clients
        .iter_mut()
        .filter_map(Client::read_response)
        .collect();
    for response in &responses {
        match response.status() {
            200 => assert_eq!(response.body.len(), 64 << 10),
            _ => assert_shed(response),
        }
    }
    assert!(responses.len() > 100, "{} of 300 answered", responses.len());
    drop(clients);
    assert!(
        peak_memory_kb(&node) < 32 << 10,
        "peak memory is {} kB",
        peak_memory_kb(&node)
    );
    wait_for(
        "a served request after the clients have disconnected",
        || node.read("read", 9_999).status() == 200,
    );
}

// Guards against clients that send many bytes behind a request and disconnect. The node reads ahead
// to notice the end of a connection; these bytes must not fill its memory or block other clients.
#[test]
fn clients_that_send_many_bytes_behind_a_request_and_disconnect_use_little_memory() {
    let gate = Gate::default();
    // The servers have more than enough capacity for all clients.
    let servers: Vec<_> = (0..16)
        .map(|_| {
            let server_gate = gate.clone();
            CacheServer::start(move |request| {
                if request.header("req-id").is_some_and(|id| id.len() < 4) {
                    server_gate.wait_until_open();
                }
                Reply::Response(http_response("200 OK", "", "value"))
            })
        })
        .collect();
    let entries = servers
        .iter()
        .enumerate()
        .map(|(i, server)| server.entry(&format!("s-{i}"), "ready"));
    let discovery = Discovery::start(&entries.collect::<Vec<_>>());
    let mut node_config = config(discovery.address);
    node_config["limits"]["memory_mb"] = json!(32);
    let node = Node::ready(&node_config);
    let peak_before_kb = peak_memory_kb(&node);
    let excess_bytes = "x".repeat(500_000);
    let mut senders: Vec<_> = (0..120u64)
        .map(|key| {
            let mut client = node.client();
            client.send(&api_request("read", key, 60_000));
            client
        })
        .collect();
    wait_for("all requests at the servers", || {
        servers
            .iter()
            .map(CacheServer::request_count)
            .sum::<usize>()
            == senders.len()
    });
    senders
        .iter_mut()
        .for_each(|client| client.try_send(&excess_bytes));
    assert_eq!(
        node.read("read", 0xffff).status(),
        200,
        "another client is served while the bytes arrive"
    );
    // The budget counts 40 KiB for an active client and 10 KiB for a connection to a server.
    // Buffering all 500 kB of each client would take 60,000 kB.
    let growth_kb = peak_memory_kb(&node) - peak_before_kb;
    assert!(
        growth_kb < 120 * (40 + 10) + 500,
        "memory grew by {growth_kb} kB for 120 clients that sent 500 kB each"
    );
    for client in &senders {
        client.shutdown_write();
    }
    gate.open();
    drop(senders);
    wait_for(
        "a served request after the clients have disconnected",
        || node.read("read", 0xfffe).status() == 200,
    );
}
