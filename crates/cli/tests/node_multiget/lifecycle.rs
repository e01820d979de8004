//! Start and graceful shutdown of a node with a multi-get port.

use crate::multi_get::{
    all_served, echo_target, multi_get_address, multi_get_command, numbered_keys,
    MULTI_GET_FEATURES,
};
use crate::node_common::{
    command, config, wait_for, write_temporary_file, CacheServer, Discovery, Gate, Node,
};
use std::net::{TcpListener, TcpStream};

// Guards against a shutdown that loses accepted items.
#[test]
fn terminated_node_finishes_accepted_calls() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let server = CacheServer::start(move |request| {
        server_gate.wait_until_open();
        echo_target(request)
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), MULTI_GET_FEATURES);
    let address = multi_get_address(&node);
    let mut call = multi_get_command(address, 20_000, &numbered_keys(12));
    let call = std::thread::spawn(move || call.output().unwrap());
    wait_for("the first items", || server.request_count() == 8);
    node.terminate();
    wait_for("a closed multi-get port", || {
        TcpStream::connect(address).is_err()
    });
    gate.open();
    let output = call.join().unwrap();
    assert!(all_served(&output), "{output:?}");
    assert!(node.wait_for_exit().success());
}

// Guards against a multi-get port that opens without the setting `port`, and against a node that
// starts although the port is in use.
#[test]
fn without_a_port_multi_get_is_off_and_a_port_in_use_fails_the_start() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let platform_config = config(discovery.address);
    let node = Node::with_features(&platform_config, "[multiget]\nparallel = 2\n");
    assert!(!node
        .log
        .lock()
        .unwrap()
        .iter()
        .any(|line| line.contains("multi-get")));
    let occupying_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let features_path = write_temporary_file(&format!(
        "[multiget]\nport = {}\n",
        occupying_listener.local_addr().unwrap().port()
    ));
    let platform_path = write_temporary_file(&platform_config.to_string());
    let output = command()
        .env("LB_CONFIG", platform_path)
        .arg("--features")
        .arg(features_path)
        .output()
        .unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        (output.status.code(), error.lines().count()),
        (Some(1), 1),
        "{error}"
    );
    assert!(error.starts_with("slatelink: multiget: "), "{error}");
}
