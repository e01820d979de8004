//! Endpoint lists that are pushed to a node, and lists older than the node's own, over loopback
//! sockets.

mod node_common;

use node_common::manual_discovery::list;
use node_common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;

/// Sends requests until both servers have received some.
fn wait_until_both_used(node: &Node, leaving: &CacheServer, staying: &CacheServer) {
    wait_for("requests at both servers", || {
        (1..20).for_each(|key| drop(node.read("read", key)));
        leaving.request_count() > 0 && staying.request_count() > 0
    });
}

/// Asserts that all requests are served by the server that responds with "staying".
fn assert_leaving_server_unused(node: &Node, leaving: &CacheServer) {
    let before = leaving.request_count();
    assert!((20..40).all(|key| node.read("read", key).body == b"staying"));
    assert_eq!(leaving.request_count(), before);
}

/// Returns the configuration of a node with pushed lists that starts with the endpoints `known`.
fn pushed_config(discovery: std::net::SocketAddr, known: &[Value]) -> Value {
    let mut config = config(discovery);
    config["settings"]["membership_mode"] = json!("automatic");
    config["known"] = json!({"seq": 1, "whole": true, "hosts": known});
    config
}

// Guards against a node that opens no watch where lists are pushed: nothing requests a watch in
// this mode, although the node counts as informed of all that its agent knows.
#[test]
fn pushed_lists_are_watched_and_a_drain_takes_effect() {
    let (leaving, staying) = (
        CacheServer::serving("leaving"),
        CacheServer::serving("staying"),
    );
    let entries = |health: &str| [leaving.entry("s-1", health), staying.entry("s-2", "ready")];
    let discovery = Discovery::start(&entries("ready"));
    let node = Node::ready(&pushed_config(discovery.address, &entries("ready")));
    wait_until_both_used(&node, &leaving, &staying);
    discovery.publish(false, &entries("draining")[..1]);
    discovery.wait_until_applied(2);
    assert_leaving_server_unused(&node, &leaving);
}

// Guards against a new process that serves from an old list where lists are pushed: from its start,
// the node counts as informed of all that its agent knows. An agent that refuses connections delays
// the node's readiness only briefly.
#[test]
fn a_node_with_pushed_lists_is_ready_once_it_has_its_first_list() {
    let (gone, staying) = (
        CacheServer::serving("gone"),
        CacheServer::serving("staying"),
    );
    let known = [gone.entry("s-1", "ready"), staying.entry("s-2", "ready")];
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(&pushed_config(agent.local_addr().unwrap(), &known));
    assert_eq!(
        node.get("/healthz").status(),
        503,
        "a node that has only its old list must not be ready"
    );
    let (mut stream, _) = agent.accept().unwrap();
    let call = Message::read(&mut BufReader::new(stream.try_clone().unwrap()))
        .unwrap()
        .unwrap();
    assert!(call.start.starts_with("GET /v1/servers "), "{}", call.start);
    let list = list(7, true, &[staying.entry("s-2", "ready")]);
    stream
        .write_all(http_response("200 OK", "", &list).as_bytes())
        .unwrap();
    wait_for("the node's readiness", || {
        node.get("/healthz").status() == 200
    });
    assert!((1..20).all(|key| node.read("read", key).body == b"staying"));
    assert_eq!(gone.request_count(), 0);

    let refusing_agent = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let node_without_agent = Node::ready(&pushed_config(refusing_agent, &known));
    assert_eq!(node_without_agent.read("read", 1).status(), 200);
}

// Guards against a server that drains in a list rejected as outdated and still receives requests
// until the complete list arrives: the node counts as informed of every list sent to it.
#[test]
fn an_outdated_list_takes_effect_for_the_endpoints_it_drains_or_removes() {
    let (leaving, staying) = (
        CacheServer::serving("leaving"),
        CacheServer::serving("staying"),
    );
    let entries = |health: &str| [leaving.entry("s-1", health), staying.entry("s-2", "ready")];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (list_sender, lists) = std::sync::mpsc::channel::<String>();
    let call_lines: Arc<Mutex<Vec<String>>> = Arc::default();
    let recorded_lines = call_lines.clone();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(message)) = Message::read(&mut reader) {
            recorded_lines.lock().unwrap().push(message.start);
            let Ok(text) = lists.recv() else { return };
            stream
                .write_all(http_response("200 OK", "", &text).as_bytes())
                .unwrap();
        }
    });
    list_sender.send(list(5, true, &entries("ready"))).unwrap();
    let node = Node::ready(&config(address));
    wait_until_both_used(&node, &leaving, &staying);
    list_sender
        .send(list(3, true, &entries("draining")))
        .unwrap();
    // The node requests the complete list, which does not arrive.
    wait_for("the node's third call", || {
        call_lines.lock().unwrap().len() == 3
    });
    assert_leaving_server_unused(&node, &leaving);
}
