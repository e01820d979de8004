//! Calls that end with unfinished items: at the deadline, when the node is killed and when the
//! client disconnects.

use crate::multi_get::{
    connect, echo_target, item, metrics_file_settings, multi_get_address, multi_get_command,
    numbered_keys, post_request, printed_lines, MULTI_GET_FEATURES,
};
use crate::node_common::{
    config, temporary_path, wait_for, CacheServer, Discovery, Node, Reply, WAIT_TIMEOUT,
};
use serde_json::{json, Value};
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// Returns the keys of all requests that a cache server received.
fn requested_keys(server: &CacheServer) -> HashSet<String> {
    let requests = server.received.lock().unwrap();
    requests
        .iter()
        .map(|request| request.start.split(['/', ' ']).nth(3).unwrap().to_owned())
        .collect()
}

// Guards against a call that loses the responses of one cache server because another server stops
// responding, or that runs past its deadline. Items without a response are partial at the deadline
// and are not requested a second time.
#[test]
fn items_of_a_server_that_stops_responding_are_partial_at_the_deadline() {
    let stalled = Arc::new(AtomicBool::new(false));
    let server_stalled = stalled.clone();
    let responsive_server = CacheServer::start(echo_target);
    let stalling_server = CacheServer::start(move |request| {
        if server_stalled.load(Ordering::SeqCst) {
            Reply::NoResponse
        } else {
            echo_target(request)
        }
    });
    let discovery = Discovery::start(&[
        responsive_server.entry("s-1", "ready"),
        stalling_server.entry("s-2", "ready"),
    ]);
    let node = Node::with_features(&config(discovery.address), MULTI_GET_FEATURES);
    let address = multi_get_address(&node);
    let keys = numbered_keys(12);
    let complete_lines =
        printed_lines(&multi_get_command(address, 20_000, &keys).output().unwrap());
    assert!(
        complete_lines.iter().all(|line| line["status"] == 200),
        "{complete_lines:?}"
    );
    let keys_of_stalling_server = requested_keys(&stalling_server);
    assert!(
        !keys_of_stalling_server.is_empty() && keys_of_stalling_server.len() < 12,
        "both servers must have keys; the stalling server has {keys_of_stalling_server:?}"
    );
    stalled.store(true, Ordering::SeqCst);
    let start = Instant::now();
    let output = multi_get_command(address, 1_500, &keys).output().unwrap();
    assert!(start.elapsed() < WAIT_TIMEOUT / 2, "{:?}", start.elapsed());
    assert_eq!(output.status.code(), Some(0));
    let lines = printed_lines(&output);
    assert_eq!(lines.len(), 12);
    for (i, (line, key)) in lines.iter().zip(&keys).enumerate() {
        let expected = match keys_of_stalling_server.contains(key) {
            true => json!({"i": i, "key": key, "partial": true}),
            false => complete_lines[i].clone(),
        };
        assert_eq!(*line, expected);
    }
    // The main port still serves requests, and the request ids can be used again.
    let key_of_responsive_server = keys
        .iter()
        .position(|key| !keys_of_stalling_server.contains(key));
    let key = key_of_responsive_server.unwrap() as u64 + 1;
    assert_eq!(node.read("read", key).status(), 200);
}

// Guards against a command that loses the served items of a killed node, or that keeps waiting for
// the node.
#[test]
fn when_the_node_is_killed_served_items_are_printed_and_others_are_partial() {
    let server = CacheServer::start(|request| match request.start.contains("0003 ") {
        true => Reply::NoResponse,
        false => echo_target(request),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut node = Node::with_features(&config(discovery.address), MULTI_GET_FEATURES);
    let address = multi_get_address(&node);
    let mut call = multi_get_command(address, 60_000, &numbered_keys(3))
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Each line is printed as soon as its item and all items before it have ended.
    let mut stdout = BufReader::new(call.stdout.take().unwrap());
    for i in 0..2 {
        let mut line = String::new();
        stdout.read_line(&mut line).unwrap();
        let line: Value = serde_json::from_str(&line).unwrap();
        assert_eq!((&line["i"], &line["status"]), (&i.into(), &200.into()));
    }
    wait_for("the third item", || server.request_count() == 3);
    node.child.kill().unwrap();
    let mut last_line = String::new();
    stdout.read_to_string(&mut last_line).unwrap();
    let expected = json!({"i": 2, "key": numbered_keys(3)[2], "partial": true});
    assert_eq!(serde_json::from_str::<Value>(&last_line).unwrap(), expected);
    assert_eq!(call.wait().unwrap().code(), Some(1));
    // The killed node's port no longer accepts connections.
    let output = multi_get_command(address, 60_000, &numbered_keys(2))
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let lines = printed_lines(&output);
    assert!(lines.iter().all(|line| line["partial"] == true) && lines.len() == 2);
    assert_eq!(
        std::str::from_utf8(&output.stderr).unwrap().lines().count(),
        1,
        "{output:?}"
    );
}

// Guards against work for a disconnected client, and against two requests in flight with the same
// request id.
#[test]
fn items_of_a_disconnected_client_are_abandoned_and_an_id_in_flight_is_rejected() {
    let server = CacheServer::start(|request| match request.header("req-id") {
        Some("held") => Reply::NoResponse,
        _ => echo_target(request),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = temporary_path("left");
    let features = format!(
        "{MULTI_GET_FEATURES}parallel = 1\n{}",
        metrics_file_settings(&path)
    );
    let node = Node::with_features(&config(discovery.address), &features);
    let address = multi_get_address(&node);
    let mut disconnecting_client = connect(address);
    let items = json!([item("1", "held"), item("2", "later")]);
    disconnecting_client.send(&post_request(&items.to_string(), 20_000));
    wait_for("the first item", || server.request_count() == 1);
    let mut second_client = connect(address);
    second_client.send(&post_request(
        &json!([item("1", "held")]).to_string(),
        20_000,
    ));
    let rejection = second_client.read_to_end();
    assert!(
        rejection.contains("{\"i\":0,\"key\":\"1\",\"status\":409}\n"),
        "{rejection}"
    );
    drop(disconnecting_client);
    let abandoned_items = || {
        std::fs::read_to_string(&path)
            .unwrap()
            .matches("status:left")
            .count()
    };
    wait_for("the abandoned item in the metrics", || {
        abandoned_items() == 1
    });
    assert_eq!(node.read("read", 3).status(), 200);
    assert_eq!(
        server.request_count(),
        2,
        "the second item of the disconnected client must not be sent"
    );
    std::fs::remove_file(path).unwrap();
}
