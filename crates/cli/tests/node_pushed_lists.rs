//! Endpoint lists that are pushed to a node, and lists older than the one it has, over loopback sockets.

mod node_common;

use node_common::manual_discovery::list;
use node_common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;

/// Waits until requests have reached both of two servers.
fn wait_for_both(node: &Node, leaving: &CacheServer, staying: &CacheServer) {
    wait_for("both", || {
        (1..20).for_each(|key| drop(node.read("read", key)));
        leaving.count() > 0 && staying.count() > 0
    });
}

/// All requests go to the server that answers "staying", and none to this one.
fn assert_unused(node: &Node, leaving: &CacheServer) {
    let before = leaving.count();
    assert!((20..40).all(|key| node.read("read", key).body == b"staying"));
    assert_eq!(leaving.count(), before);
}

/// The configuration of a node whose lists are pushed, which knows this one.
fn pushed(discovery: std::net::SocketAddr, known: &[Value]) -> Value {
    let mut config = config(discovery);
    config["settings"]["membership_mode"] = json!("automatic");
    config["known"] = json!({"seq": 1, "whole": true, "hosts": known});
    config
}

// Guards against a node that has no watch where lists are pushed: nothing asks it to, and what the agent has counts as
// told.
#[test]
fn pushed_lists_are_watched_and_a_drain_takes_effect() {
    let (leaving, staying) = (
        CacheServer::serving("leaving"),
        CacheServer::serving("staying"),
    );
    let entries = |health: &str| [leaving.entry("s-1", health), staying.entry("s-2", "ready")];
    let discovery = Discovery::start(&entries("ready"));
    let node = Node::ready(&pushed(discovery.address, &entries("ready")));
    wait_for_both(&node, &leaving, &staying);
    discovery.publish(false, &entries("draining")[..1]);
    discovery.wait_until_applied(2);
    assert_unused(&node, &leaving);
}

// Guards against a new process that serves from an old list where lists are pushed: what the agent has counts as told
// from its first moment. An agent that has nothing to say keeps it from service for a moment only.
#[test]
fn a_node_with_pushed_lists_is_ready_once_it_has_its_first_list() {
    let (gone, staying) = (
        CacheServer::serving("gone"),
        CacheServer::serving("staying"),
    );
    let known = [gone.entry("s-1", "ready"), staying.entry("s-2", "ready")];
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Node::start(&pushed(agent.local_addr().unwrap(), &known));
    assert_eq!(
        node.get("/healthz").status(),
        503,
        "it knows old servers only"
    );
    let (mut stream, _) = agent.accept().unwrap();
    let asked = Message::read(&mut BufReader::new(stream.try_clone().unwrap()))
        .unwrap()
        .unwrap();
    assert!(
        asked.start.starts_with("GET /v1/servers "),
        "{}",
        asked.start
    );
    let list = list(7, true, &[staying.entry("s-2", "ready")]);
    stream
        .write_all(answer("200 OK", "", &list).as_bytes())
        .unwrap();
    wait_for("the node's readiness", || {
        node.get("/healthz").status() == 200
    });
    assert!((1..20).all(|key| node.read("read", key).body == b"staying"));
    assert_eq!(gone.count(), 0);

    let refusing = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let alone = Node::ready(&pushed(refusing, &known));
    assert_eq!(alone.read("read", 1).status(), 200);
}

// Guards against a server that drains in a list that is not taken for its age, and that gets requests until the whole
// list has come: what was written was told.
#[test]
fn an_outdated_list_takes_effect_for_the_endpoints_it_drains_or_removes() {
    let (leaving, staying) = (
        CacheServer::serving("leaving"),
        CacheServer::serving("staying"),
    );
    let entries = |health: &str| [leaving.entry("s-1", health), staying.entry("s-2", "ready")];
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let (say, heard) = std::sync::mpsc::channel::<String>();
    let asked: Arc<Mutex<Vec<String>>> = Arc::default();
    let calls = asked.clone();
    thread::spawn(move || {
        let (mut stream, _) = silent.accept().unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(message)) = Message::read(&mut reader) {
            calls.lock().unwrap().push(message.start);
            let Ok(text) = heard.recv() else { return };
            stream
                .write_all(answer("200 OK", "", &text).as_bytes())
                .unwrap();
        }
    });
    say.send(list(5, true, &entries("ready"))).unwrap();
    let node = Node::ready(&config(address));
    wait_for_both(&node, &leaving, &staying);
    say.send(list(3, true, &entries("draining"))).unwrap();
    // The whole list is asked for, and does not come.
    wait_for("the third call", || asked.lock().unwrap().len() == 3);
    assert_unused(&node, &leaving);
}
