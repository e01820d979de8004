//! Bounds on the resources of one call and of all calls together.

use crate::multi_get::{
    all_served, connect, echo_target, item, multi_get_address, multi_get_command, numbered_keys,
    post_request, MULTI_GET_FEATURES,
};
use crate::node_common::{
    api_request, config, http_response, start_servers, total_requests, wait_for, CacheServer,
    Discovery, Gate, Message, Node, Reply,
};
use serde_json::json;
use std::process::Stdio;
use std::time::Duration;

/// Number of calls that the port serves at once.
const MAX_CALLS: usize = 8;
/// Slack of the time that an attempt tells its server, in milliseconds.
const DEADLINE_SLACK_MS: u64 = 150;

// Guards against a call with more items in flight than the setting `parallel` allows.
#[test]
fn items_in_flight_of_a_call_never_exceed_the_setting() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let server = CacheServer::start(move |request| {
        server_gate.wait_until_open();
        echo_target(request)
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let features = format!("{MULTI_GET_FEATURES}parallel = 3\n");
    let node = Node::with_features(&config(discovery.address), &features);
    let mut call = multi_get_command(multi_get_address(&node), 20_000, &numbered_keys(9));
    let call = std::thread::spawn(move || call.output().unwrap());
    wait_for("the first items", || server.request_count() == 3);
    // The node answers other requests in the meantime, but sends no fourth item.
    for _ in 0..5 {
        assert_eq!(node.get("/healthz").status(), 200);
    }
    assert_eq!(server.request_count(), 3);
    gate.open();
    assert!(all_served(&call.join().unwrap()));
    assert_eq!(server.request_count(), 9);
}

// Guards against a call that waits for a descriptor and whose items are then forwarded with the
// whole deadline, although the client has less time left.
#[test]
fn time_for_which_a_call_waits_for_a_descriptor_counts_towards_its_deadline() {
    const DEADLINE_MS: u64 = 20_000;
    const WAIT_MS: u64 = 600;
    let gate = Gate::default();
    let server_gate = gate.clone();
    let server = CacheServer::start(move |request| {
        server_gate.wait_until_open();
        echo_target(request)
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), MULTI_GET_FEATURES);
    let address = multi_get_address(&node);
    let start_call = |number: usize| {
        let mut client = connect(address);
        let body = json!([item(&format!("k{number}"), &format!("id{number}"))]).to_string();
        client.send(&post_request(&body, DEADLINE_MS));
        client
    };
    let mut calls: Vec<_> = (0..MAX_CALLS).map(start_call).collect();
    wait_for("the items of all calls", || {
        server.request_count() == MAX_CALLS
    });
    calls.push(start_call(MAX_CALLS));
    std::thread::sleep(Duration::from_millis(WAIT_MS));
    gate.open();
    wait_for("the item of the waiting call", || {
        server.request_count() == MAX_CALLS + 1
    });
    let received = server.received.lock().unwrap();
    let stated = received[MAX_CALLS].header("req-deadline-ms").unwrap();
    assert!(
        stated.parse::<u64>().unwrap() <= DEADLINE_MS - WAIT_MS + DEADLINE_SLACK_MS,
        "after {WAIT_MS} ms the server is told {stated} ms"
    );
}

// Guards against items that use more descriptors than the node's limit, and against a multi-get
// port that uses up the connections of other clients.
#[test]
fn all_items_and_clients_are_served_with_few_allowed_connections() {
    let server = CacheServer::start(echo_target);
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut low_limit_config = config(discovery.address);
    // 46 sockets allow six client connections, so the items of the three calls are queued.
    low_limit_config["limits"]["sockets"] = json!(46);
    let node = Node::with_features(&low_limit_config, MULTI_GET_FEATURES);
    let address = multi_get_address(&node);
    let idle_clients: Vec<_> = (0..5)
        .map(|i| {
            let mut client = node.client();
            let request = api_request("read", 1_000 + i, 20_000);
            assert_eq!(client.request(&request).status(), 200);
            client
        })
        .collect();
    let mut calls: Vec<_> = (0..3)
        .map(|_| multi_get_command(address, 20_000, &numbered_keys(12)))
        .collect();
    let calls: Vec<_> = calls
        .iter_mut()
        .map(|call| call.stdout(Stdio::piped()).spawn().unwrap())
        .collect();
    for call in calls {
        let output = call.wait_with_output().unwrap();
        assert!(all_served(&output), "{output:?}");
    }
    assert_eq!(node.read("read", 2_000).status(), 200);
    drop(idle_clients);
}

// Guards against finished items that hold more memory than the node has while their clients read
// nothing, and that leave no memory for the clients of the other port.
#[test]
fn unread_items_of_the_largest_size_stay_within_the_memory_limit_and_block_no_client() {
    const MEMORY_MB: u64 = 32;
    const CALLS: u64 = 8;
    const ITEMS: u64 = 64;
    // In JSON, each byte of this body takes six characters.
    let body = "\u{1}".repeat(64 << 10);
    let reply = move |request: &Message| {
        let body = if request.start.contains("/api/f") {
            "value"
        } else {
            &body
        };
        Reply::Response(http_response("200 OK", "", body))
    };
    let (servers, discovery) = start_servers(8, reply);
    let mut low_memory_config = config(discovery.address);
    low_memory_config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let features = format!("{MULTI_GET_FEATURES}parallel = 64\nmax_items = 64\n");
    let node = Node::with_features(&low_memory_config, &features);
    let address = multi_get_address(&node);
    let calls: Vec<_> = (0..CALLS)
        .map(|call| {
            let items: Vec<_> = (0..ITEMS)
                .map(|i| item(&format!("{i:x}"), &format!("{call}-{i}")))
                .collect();
            let mut client = connect(address);
            client.send(&post_request(&json!(items).to_string(), 20_000));
            client
        })
        .collect();
    wait_for("items at the servers", || total_requests(&servers) >= 30);
    for request in 0..20 {
        assert_eq!(
            node.read("read", 0xf000_0000_0000_0000 + request).status(),
            200
        );
    }
    let peak_kb = node.peak_memory_kb();
    assert!(peak_kb < MEMORY_MB << 10, "peak memory is {peak_kb} kB");
    drop(calls);
}
