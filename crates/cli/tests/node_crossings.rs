//! Two events that cross, in an order that the test forces, over loopback sockets.

mod node_common;

use node_common::*;
use serde_json::json;
use std::sync::atomic::Ordering;

// Guards against an attempt that was begun for a client, whose connection comes up once that has gone.
#[test]
fn a_connection_that_comes_up_after_its_client_left_carries_nothing() {
    let slow = SlowServer::start();
    let discovery = Discovery::start(&[host("s-1", slow.address, "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&read("once", 1, 20_000));
    let mut other = node.client();
    other.send(&read("once", 2, 20_000));
    wait_for("the attempts", || slow.waited_for() >= 2);
    client.leave();
    assert_eq!(client.answer(), None, "the node has seen it leave");
    slow.accept();
    assert_eq!(other.answer().unwrap().status(), 200);
    let asked = slow.asked();
    assert_eq!(asked.len(), 1, "{asked:?}");
    assert!(asked[0].contains("req-id: 2\r\n"), "{asked:?}");
}

// Guards against a repeat that was decided within its window and begins after it: servers know it for one no more.
#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_not_begun() {
    let slow = SlowServer::start();
    let broken = CacheServer::start(|_| Does::Close(String::new()));
    let discovery = Discovery::start(&[broken.entry("s-1", "ready"), host("s-2", slow.address, "ready")]);
    let mut config = config(discovery.address);
    config["settings"]["lanes"][2]["repeat_window_us"] = json!(300_000);
    let node = Node::ready(&config);
    // Each is asked of one of the two first; those of the slow one wait there.
    let mut clients: Vec<_> = (1..12).map(|key| (key, node.client())).collect();
    clients.iter_mut().for_each(|(key, client)| client.send(&read("keyed", *key, 20_000)));
    wait_for("those of the broken one", || broken.count() > 0);
    let repeated: Vec<_> =
        broken.asked.lock().unwrap().iter().map(|asked| asked.header("req-id").unwrap().to_owned()).collect();
    // Answered once the window is over: no server may be asked any more.
    for (key, client) in &mut clients {
        if repeated.contains(&format!("{key:x}")) {
            assert!(client.answer().unwrap().status() >= 500, "{key}");
        }
    }
    slow.accept();
    for (key, client) in &mut clients {
        if !repeated.contains(&format!("{key:x}")) {
            assert_eq!(client.answer().unwrap().status(), 200, "{key}");
        }
    }
    let asked = slow.asked();
    for id in &repeated {
        assert!(!asked.iter().any(|asked| asked.contains(&format!("req-id: {id}\r\n"))), "{id}: {asked:?}");
    }
    assert_eq!(broken.connections.load(Ordering::SeqCst) as usize, broken.count());
}
