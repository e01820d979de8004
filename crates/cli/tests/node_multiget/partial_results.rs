//! Calls that end before all of their items do: at the deadline, with the node or with the client.

use crate::multi_get::{
    connect, echo, item, keys, metrics_to, multi_get, multi_get_address, post, printed_lines,
    MULTI_GET,
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

/// The keys that a cache server was asked for.
fn requested_keys(server: &CacheServer) -> HashSet<String> {
    let requests = server.received.lock().unwrap();
    requests
        .iter()
        .map(|request| request.start.split(['/', ' ']).nth(3).unwrap().to_owned())
        .collect()
}

// The operators' own check: two cache servers, one of which stops answering. What the other one has answered is printed, the rest
// is partial once the deadline has passed, and nothing is requested twice for it.
#[test]
fn items_of_a_server_that_stops_answering_are_partial_at_the_deadline() {
    let stopped = Arc::new(AtomicBool::new(false));
    let server_stopped = stopped.clone();
    let one = CacheServer::start(echo);
    let two = CacheServer::start(move |request| {
        if server_stopped.load(Ordering::SeqCst) {
            Reply::NoAnswer
        } else {
            echo(request)
        }
    });
    let discovery = Discovery::start(&[one.entry("s-1", "ready"), two.entry("s-2", "ready")]);
    let node = Node::with_features(&config(discovery.address), MULTI_GET);
    let address = multi_get_address(&node);
    let keys = keys(12);
    let complete = printed_lines(&multi_get(address, 20_000, &keys).output().unwrap());
    assert!(
        complete.iter().all(|line| line["status"] == 200),
        "{complete:?}"
    );
    let keys_of_two = requested_keys(&two);
    assert!(
        !keys_of_two.is_empty() && keys_of_two.len() < 12,
        "both have keys: {keys_of_two:?}"
    );
    stopped.store(true, Ordering::SeqCst);
    let start = Instant::now();
    let output = multi_get(address, 1_500, &keys).output().unwrap();
    assert!(start.elapsed() < WAIT_TIMEOUT / 2, "{:?}", start.elapsed());
    assert_eq!(output.status.code(), Some(0));
    let lines = printed_lines(&output);
    assert_eq!(lines.len(), 12);
    for (i, (line, key)) in lines.iter().zip(&keys).enumerate() {
        let expected = match keys_of_two.contains(key) {
            true => json!({"i": i, "key": key, "partial": true}),
            false => complete[i].clone(),
        };
        assert_eq!(*line, expected);
    }
    // The main port serves on, and the request ids are free again.
    let key_of_one = keys.iter().position(|key| !keys_of_two.contains(key));
    let key = key_of_one.unwrap() as u64 + 1;
    assert_eq!(node.read("read", key).status(), 200);
}

// Guards against served items that are lost with a node that is killed, and against a wait for it.
#[test]
fn when_the_node_is_killed_served_items_are_printed_and_the_rest_is_partial() {
    let server = CacheServer::start(|request| match request.start.contains("0003 ") {
        true => Reply::NoAnswer,
        false => echo(request),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut node = Node::with_features(&config(discovery.address), MULTI_GET);
    let address = multi_get_address(&node);
    let mut call = multi_get(address, 60_000, &keys(3))
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The next line in order is printed as soon as its item ends.
    let mut stdout = BufReader::new(call.stdout.take().unwrap());
    for i in 0..2 {
        let mut line = String::new();
        stdout.read_line(&mut line).unwrap();
        let line: Value = serde_json::from_str(&line).unwrap();
        assert_eq!((&line["i"], &line["status"]), (&i.into(), &200.into()));
    }
    wait_for("the third item", || server.count() == 3);
    node.child.kill().unwrap();
    let mut rest = String::new();
    stdout.read_to_string(&mut rest).unwrap();
    let expected = json!({"i": 2, "key": keys(3)[2], "partial": true});
    assert_eq!(serde_json::from_str::<Value>(&rest).unwrap(), expected);
    assert_eq!(call.wait().unwrap().code(), Some(1));
    // Nothing listens there any more.
    let output = multi_get(address, 60_000, &keys(2)).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let lines = printed_lines(&output);
    assert!(lines.iter().all(|line| line["partial"] == true) && lines.len() == 2);
    assert_eq!(
        std::str::from_utf8(&output.stderr).unwrap().lines().count(),
        1,
        "{output:?}"
    );
}

// Guards against work for a client that has closed its connection, and against a request id that two requests share.
#[test]
fn items_of_a_client_that_disconnects_are_given_up_and_an_id_in_flight_is_rejected() {
    let server = CacheServer::start(|request| match request.header("req-id") {
        Some("held") => Reply::NoAnswer,
        _ => echo(request),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = temporary_path("left");
    let features = format!("{MULTI_GET}parallel = 1\n{}", metrics_to(&path));
    let node = Node::with_features(&config(discovery.address), &features);
    let address = multi_get_address(&node);
    let mut disconnecting = connect(address);
    let items = json!([item("1", "held"), item("2", "later")]);
    disconnecting.send(&post(&items.to_string(), 20_000));
    wait_for("the first item", || server.count() == 1);
    let mut second = connect(address);
    second.send(&post(&json!([item("1", "held")]).to_string(), 20_000));
    let rejected = second.read_to_end();
    assert!(
        rejected.contains("{\"i\":0,\"key\":\"1\",\"status\":409}\n"),
        "{rejected}"
    );
    drop(disconnecting);
    let given_up = || {
        std::fs::read_to_string(&path)
            .unwrap()
            .matches("status:left")
            .count()
    };
    wait_for("the item's end", || given_up() == 1);
    assert_eq!(node.read("read", 3).status(), 200);
    assert_eq!(server.count(), 2, "the second item is never sent");
    std::fs::remove_file(path).unwrap();
}
