//! Rejected calls, none of which reaches a cache server.

use crate::multi_get::{
    connect, item, multi_get_address, multi_get_command, numbered_keys, post_request,
    MULTI_GET_FEATURES,
};
use crate::node_common::{api_request, config, CacheServer, Discovery, Node};
use serde_json::{json, Value};
use std::io::ErrorKind;
use std::net::TcpListener;

// Guards against a call that has too many keys and is still sent in part.
#[test]
fn command_with_too_many_keys_sends_nothing_and_exits_with_2() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let output = multi_get_command(address, 1_000, &numbered_keys(33))
        .output()
        .unwrap();
    assert_eq!((output.status.code(), output.stdout.len()), (Some(2), 0));
    listener.set_nonblocking(true).unwrap();
    assert_eq!(listener.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
}

/// A call that the node must reject, and the expected status.
struct RejectedCall {
    request: String,
    status: u16,
}

fn rejected_call(request: String, status: u16) -> RejectedCall {
    RejectedCall { request, status }
}

/// Returns calls whose body is not an array of valid items.
fn invalid_bodies() -> Vec<RejectedCall> {
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
        .map(|body| rejected_call(post_request(&body, 900), 400))
        .collect()
}

/// Returns calls with too many items or too long a body.
fn oversized_calls() -> Vec<RejectedCall> {
    let too_many_items: Vec<_> = (0..33).map(|i| item("1", &i.to_string())).collect();
    let item_with_long_key = json!([item(&"k".repeat(70_000), "1")]);
    vec![
        rejected_call(post_request(&json!(too_many_items).to_string(), 900), 413),
        rejected_call(post_request(&item_with_long_key.to_string(), 900), 413),
    ]
}

/// Returns calls with an invalid request line or invalid headers.
fn invalid_heads() -> Vec<RejectedCall> {
    let valid = post_request("[]", 900);
    let chunked = valid
        .replace("Content-Length: 2", "Transfer-Encoding: chunked")
        .replace("[]", "0\r\n\r\n");
    vec![
        rejected_call(valid.replace("read", "other"), 400),
        rejected_call(valid.replace("Req-Kind: read\r\n", ""), 400),
        rejected_call(valid.replace("900", "soon"), 400),
        rejected_call(valid.replace("/multi", "/other"), 404),
        rejected_call(valid.replace("POST", "GET"), 405),
        rejected_call(chunked, 411),
        rejected_call(api_request("read", 1, 900), 404),
    ]
}

// Guards against invalid input that disables the multi-get port or reaches a cache server.
#[test]
fn invalid_calls_are_rejected_with_their_status_and_reach_no_cache_server() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), MULTI_GET_FEATURES);
    let address = multi_get_address(&node);
    let rejected_calls: Vec<_> = [invalid_bodies(), oversized_calls(), invalid_heads()]
        .into_iter()
        .flatten()
        .collect();
    for RejectedCall { request, status } in rejected_calls {
        let mut client = connect(address);
        assert_eq!(client.request(&request).status(), status, "{request}");
        assert_eq!(
            client.read_response(),
            None,
            "the connection is still open after {request}"
        );
    }
    assert_eq!(server.request_count(), 0);
    let mut silent_client = connect(address);
    assert_eq!(
        silent_client.read_response(),
        None,
        "the connection of a silent client is closed"
    );
    // The main port does not accept multi-get calls.
    assert_eq!(
        node.client().request(&post_request("[]", 900)).status(),
        404
    );
}
