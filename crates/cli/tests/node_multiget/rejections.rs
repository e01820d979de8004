//! Calls that are rejected and reach no cache server.

use crate::multi_get::{connect, item, keys, multi_get, multi_get_address, post, MULTI_GET};
use crate::node_common::{config, read, CacheServer, Discovery, Node};
use serde_json::{json, Value};
use std::io::ErrorKind;
use std::net::TcpListener;

// Guards against a call with more keys than allowed of which some are sent.
#[test]
fn the_command_sends_nothing_and_exits_with_2_when_given_too_many_keys() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let output = multi_get(address, 1_000, &keys(33)).output().unwrap();
    assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0));
    listener.set_nonblocking(true).unwrap();
    assert_eq!(listener.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
}

/// A call that is rejected, and its status.
struct Rejection {
    request: String,
    status: u16,
}

fn rejection(request: String, status: u16) -> Rejection {
    Rejection { request, status }
}

/// Calls whose body is not an array of items that can be requested.
fn invalid_bodies() -> Vec<Rejection> {
    let unknown_field = json!([{"key": "1", "req_id": "1", "more": 1}]).to_string();
    let texts = [
        "",
        "{}",
        "[1]",
        "[{\"key\":\"1\"}]",
        "[{\"key\":\"1\",\"req_id\":1}]",
        &unknown_field,
    ];
    let arrays = [
        json!([item("1", "")]),
        json!([item("", "1")]),
        json!([item("1", "a\r\nb: c")]),
        json!([item("1 HTTP/1.1", "1")]),
        json!([item("../1", "1")]),
        json!([item("1?x", "1")]),
        json!([item("1", "1"), item("2", "1")]),
    ];
    texts
        .into_iter()
        .map(str::to_owned)
        .chain(arrays.iter().map(Value::to_string))
        .map(|body| rejection(post(&body, 900), 400))
        .collect()
}

/// Calls with more items, or a longer body, than is allowed.
fn too_large() -> Vec<Rejection> {
    let many: Vec<_> = (0..33).map(|i| item("1", &i.to_string())).collect();
    let long = json!([item(&"k".repeat(70_000), "1")]);
    vec![
        rejection(post(&json!(many).to_string(), 900), 413),
        rejection(post(&long.to_string(), 900), 413),
    ]
}

/// Calls with an invalid head.
fn invalid_heads() -> Vec<Rejection> {
    let valid = post("[]", 900);
    let chunked = valid
        .replace("Content-Length: 2", "Transfer-Encoding: chunked")
        .replace("[]", "0\r\n\r\n");
    vec![
        rejection(valid.replace("read", "other"), 400),
        rejection(valid.replace("Req-Kind: read\r\n", ""), 400),
        rejection(valid.replace("900", "soon"), 400),
        rejection(valid.replace("/multi", "/other"), 404),
        rejection(valid.replace("POST", "GET"), 405),
        rejection(chunked, 411),
        rejection(read("read", 1, 900), 404),
    ]
}

// Guards against input that takes the multi-get port down or reaches a cache server.
#[test]
fn invalid_calls_are_rejected_with_their_status_and_reach_no_cache_server() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), MULTI_GET);
    let address = multi_get_address(&node);
    let rejections: Vec<_> = [invalid_bodies(), too_large(), invalid_heads()]
        .into_iter()
        .flatten()
        .collect();
    for Rejection { request, status } in rejections {
        let mut client = connect(address);
        assert_eq!(client.request(&request).status(), status, "{request}");
        assert_eq!(client.answer(), None, "still open after {request}");
    }
    assert_eq!(server.count(), 0);
    let mut silent = connect(address);
    assert_eq!(silent.answer(), None, "a silent peer is closed");
    // The main port does not accept what the multi-get port does.
    assert_eq!(node.client().request(&post("[]", 900)).status(), 404);
}
