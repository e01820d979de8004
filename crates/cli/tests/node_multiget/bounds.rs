//! Bounds on what one call, and all calls together, may use.

use crate::multi_get::{all_served, echo, keys, multi_get, multi_get_address, MULTI_GET};
use crate::node_common::{config, read, wait_for, CacheServer, Discovery, Gate, Node};
use serde_json::json;
use std::process::Stdio;

// Guards against more items in flight at once than the setting allows.
#[test]
fn a_call_has_no_more_items_in_flight_than_the_setting_allows() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let server = CacheServer::start(move |request| {
        server_gate.wait_until_open();
        echo(request)
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let features = format!("{MULTI_GET}parallel = 3\n");
    let node = Node::with_features(&config(discovery.address), &features);
    let mut call = multi_get(multi_get_address(&node), 20_000, &keys(9));
    let call = std::thread::spawn(move || call.output().unwrap());
    wait_for("the first items", || server.count() == 3);
    // The node answers others meanwhile, and sends no fourth.
    for _ in 0..5 {
        assert_eq!(node.get("/healthz").status(), 200);
    }
    assert_eq!(server.count(), 3);
    gate.open();
    assert!(all_served(&call.join().unwrap()));
    assert_eq!(server.count(), 9);
}

// Guards against items that take descriptors past the node's bound, and against a multi-get port that takes those of other
// clients.
#[test]
fn with_few_connections_allowed_all_items_and_clients_are_still_served() {
    let server = CacheServer::start(echo);
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small = config(discovery.address);
    // Six client connections: the items of three calls are queued for them.
    small["limits"]["sockets"] = json!(46);
    let node = Node::with_features(&small, MULTI_GET);
    let address = multi_get_address(&node);
    let idle: Vec<_> = (0..5)
        .map(|i| {
            let mut client = node.client();
            let request = read("read", 1_000 + i, 20_000);
            assert_eq!(client.request(&request).status(), 200);
            client
        })
        .collect();
    let mut calls: Vec<_> = (0..3)
        .map(|_| multi_get(address, 20_000, &keys(12)))
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
    drop(idle);
}
