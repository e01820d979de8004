//! A node's memory under many clients at once, over loopback sockets.

mod node_common;

use node_common::*;
use serde_json::json;
use std::fs;
use std::thread::sleep;
use std::time::Duration;

/// The most memory that it has held so far, in kB.
fn peak(node: &Node) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap()
        .trim();
    peak.split(' ').next().unwrap().parse().unwrap()
}

// Guards against memory that bodies and answers of many clients at once take beyond the limit, or keep when they have gone.
#[test]
fn bodies_and_responses_of_the_largest_size_stay_within_memory_and_release_it() {
    let body = "v".repeat(64 << 10);
    let server = CacheServer::start(move |_| Reply::Answer(answer("200 OK", "", &body)));
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut told = config(discovery.address);
    told["limits"]["memory_mb"] = json!(32);
    let node = Node::ready(&told);
    // A third of the descriptors; none of them reads its answer.
    let mut clients: Vec<_> = (0..300u64)
        .map(|key| {
            let mut client = node.client();
            let head = read("keyed", key, 20_000)
                .replace("GET", "PUT")
                .replace("\r\n\r\n", "\r\n");
            client.try_send(&format!(
                "{head}Content-Length: 65536\r\n\r\n{}",
                "b".repeat(64 << 10)
            ));
            client
        })
        .collect();
    wait_for("requests at the server", || server.count() > 20);
    sleep(Duration::from_millis(500));
    let answers: Vec<_> = clients.iter_mut().filter_map(Client::answer).collect();
    for answer in &answers {
        match answer.status() {
            200 => assert_eq!(answer.body.len(), 64 << 10),
            _ => assert_shed(answer),
        }
    }
    assert!(answers.len() > 100, "{} of 300 answered", answers.len());
    drop(clients);
    assert!(peak(&node) < 32 << 10, "{} kB at the most", peak(&node));
    wait_for("room again", || node.read("read", 9_999).status() == 200);
}

// Guards against clients that send much behind a request and go: what is read ahead of their requests, in search of their
// end, must not fill the node's memory, and others are served meanwhile.
#[test]
fn clients_that_send_many_bytes_behind_a_request_and_disconnect_use_little_memory() {
    let gate = Gate::default();
    // Room for all of them and more.
    let servers: Vec<_> = (0..16)
        .map(|_| {
            let held = gate.clone();
            CacheServer::start(move |asked| {
                if asked.header("req-id").is_some_and(|id| id.len() < 4) {
                    held.wait_until_open();
                }
                Reply::Answer(answer("200 OK", "", "value"))
            })
        })
        .collect();
    let names = servers
        .iter()
        .enumerate()
        .map(|(i, server)| server.entry(&format!("s-{i}"), "ready"));
    let discovery = Discovery::start(&names.collect::<Vec<_>>());
    let mut told = config(discovery.address);
    told["limits"]["memory_mb"] = json!(32);
    let node = Node::ready(&told);
    let before = peak(&node);
    let much = "x".repeat(500_000);
    let mut flood: Vec<_> = (0..120u64)
        .map(|key| {
            let mut client = node.client();
            client.send(&read("read", key, 60_000));
            client
        })
        .collect();
    wait_for("all of them at the servers", || {
        servers.iter().map(CacheServer::count).sum::<usize>() == flood.len()
    });
    flood.iter_mut().for_each(|client| client.try_send(&much));
    assert_eq!(
        node.read("read", 0xffff).status(),
        200,
        "others are served meanwhile"
    );
    // What the budget counts: 40 KiB for a client at work, 10 KiB for a connection to a server; 500 kB each would be 60,000.
    let used = peak(&node) - before;
    assert!(
        used < 120 * (40 + 10) + 500,
        "{used} kB for 120 that sent 500 kB each"
    );
    for client in &flood {
        client.shutdown_write();
    }
    gate.open();
    drop(flood);
    wait_for("room again", || node.read("read", 0xfffe).status() == 200);
}
