//! Requests and connections of clients, over loopback sockets.

mod node_common;

use node_common::*;
use serde_json::json;
use std::sync::atomic::Ordering;

// Guards against changes to a path, header or body that only the client and the cache server
// interpret.
#[test]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let server = CacheServer::start(|_| {
        Reply::Response(http_response(
            "200 OK",
            "Srv-Load: queue=2\r\n",
            "the\r\n\r\nvalue",
        ))
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let body = "v".repeat(64 << 10);
    let put = format!(
        "PUT /api/users/7f3a?x=1&y=%20z HTTP/1.1\r\nHost: s\r\nReq-Id: 9b1f03aa\r\nReq-Kind: keyed\r\n\
         Req-Deadline-Ms: 20000\r\nIdempotency-Key: k-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let served = node.client().request(&put);
    assert_eq!(
        (served.status(), &served.body[..]),
        (200, &b"the\r\n\r\nvalue"[..])
    );
    let forwarded = server.received.lock().unwrap();
    assert_eq!(forwarded.len(), 1);
    assert_eq!(
        forwarded[0].start,
        "PUT /api/users/7f3a?x=1&y=%20z HTTP/1.1"
    );
    assert_eq!(forwarded[0].header("req-id"), Some("9b1f03aa"));
    assert_eq!(forwarded[0].header("idempotency-key"), Some("k-1"));
    let remaining_ms: u64 = forwarded[0]
        .header("req-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!((1..20_000).contains(&remaining_ms), "{remaining_ms}");
    assert!(forwarded[0].body == body.as_bytes());
}

// Guards against invalid input that terminates the node or reaches a cache server.
#[test]
fn invalid_requests_are_answered_with_their_status_and_reach_no_endpoint() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let id = "Req-Id: 1\r\n";
    let kind = "Req-Kind: read\r\n";
    let deadline = "Req-Deadline-Ms: 900\r\n";
    let cases = [
        ("GET /api/1", format!("{kind}{deadline}"), 400),
        ("GET /api/1", format!("{id}{deadline}"), 400),
        ("GET /api/1", format!("{id}{kind}"), 400),
        (
            "GET /api/1",
            format!("{id}{deadline}Req-Kind: other\r\n"),
            400,
        ),
        (
            "GET /api/1",
            format!("{id}{kind}Req-Deadline-Ms: soon\r\n"),
            400,
        ),
        (
            "GET /api/1",
            format!("{id}{kind}Req-Deadline-Ms: -1\r\n"),
            400,
        ),
        (
            "GET /api/1",
            format!("{id}{kind}Req-Deadline-Ms: 99999999999999999999\r\n"),
            400,
        ),
        (
            "GET /api/1",
            format!("{id}{kind}{deadline}Req-Cost: much\r\n"),
            400,
        ),
        (
            "GET /api/1",
            format!("{id}{deadline}Req-Kind: \u{e9}\r\n"),
            400,
        ),
        ("DELETE /api/1", format!("{id}{kind}{deadline}"), 405),
        ("POST /healthz", String::new(), 405),
        ("GET /api/", format!("{id}{kind}{deadline}"), 404),
        ("GET /other", format!("{id}{kind}{deadline}"), 404),
        (
            "PUT /api/1",
            format!("{id}{kind}{deadline}Content-Length: 65537\r\n"),
            413,
        ),
        ("G\u{1}T /api/1", String::new(), 400),
    ];
    for (start, headers, status) in cases {
        let text = format!("{start} HTTP/1.1\r\nHost: s\r\n{headers}\r\n");
        assert_eq!(node.client().request(&text).status(), status, "{text}");
    }
    let chunks = format!("10001\r\n{}\r\n0\r\n\r\n", "v".repeat(0x10001));
    let text = format!(
        "PUT /api/1 HTTP/1.1\r\nHost: s\r\n{id}{kind}{deadline}Transfer-Encoding: chunked\r\n\r\n{chunks}"
    );
    assert_eq!(
        node.client().request(&text).status(),
        411,
        "a body without a Content-Length"
    );
    assert_eq!(server.request_count(), 0);
    assert_eq!(node.read("read", 1).status(), 200);
}

// Guards against readiness before the node knows a server that is ready.
#[test]
fn a_node_is_ready_once_it_knows_a_ready_server() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "draining")]);
    let node = Node::start(&config(discovery.address));
    discovery.wait_until_applied(1);
    assert_eq!(node.get("/healthz").status(), 503);
    discovery.publish(false, &[server.entry("s-1", "ready")]);
    wait_for("readiness", || node.get("/healthz").status() == 200);

    let mut known = config(discovery.address);
    known["known"] = json!({"seq": 2, "whole": true, "hosts": [server.entry("s-1", "ready")]});
    let node = Node::ready(&known);
    assert_eq!(node.read("read", 1).status(), 200);
}

// Guards against a delayed response to a shed request, and against a response that does not state
// when to retry.
#[test]
fn a_shed_request_is_answered_at_once_with_retry_after() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut custom_config = config(discovery.address);
    // Applies to the simulator's clients only; responses on sockets carry the header regardless.
    custom_config["settings"]["limits"]["retry_after"] = json!(false);
    let node = Node::ready(&custom_config);
    discovery.publish(false, &[server.entry("s-1", "draining")]);
    discovery.wait_until_applied(2);
    let mut client = node.client();
    // The deadline is one hour: any response within the test was not held until the deadline.
    let shed = client.request(&api_request("read", 1, 3_600_000));
    assert_eq!(shed.status(), 503);
    let after: f64 = shed
        .header("retry-after")
        .expect("Retry-After")
        .parse()
        .unwrap();
    assert!(after > 0.0 && after <= 2.0, "{after}");
    assert_eq!(server.request_count(), 0);
}

// Guards against a request without a response because its cache server sends none, and against a
// second response.
#[test]
fn an_endpoint_that_never_answers_fails_the_request_once_before_its_deadline() {
    let server = CacheServer::start(|incoming| match incoming.header("req-id") {
        Some("1") => Reply::NoResponse,
        _ => Reply::Response(http_response("200 OK", "", "value")),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    let failed = client.request(&api_request("read", 1, 300));
    assert!(failed.status() >= 400, "{failed:?}");
    // The connection stays open, and its next response belongs to the next request.
    assert_eq!(
        client.request(&api_request("read", 2, 20_000)).body,
        b"value"
    );
    // The attempt was abandoned: its connection is closed.
    wait_for("the end of the abandoned attempt's connection", || {
        server.closed.load(Ordering::SeqCst) == 1
    });
}

// Guards against idle connections that fill the connection table and keep out all other clients.
#[test]
fn idle_connections_are_evicted_when_the_connection_table_is_full() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small_config = config(discovery.address);
    small_config["limits"]["sockets"] = json!(40);
    let node = Node::ready(&small_config);
    let mut clients: Vec<_> = (0..30).map(|_| node.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        let text = api_request("read", i as u64, 20_000);
        // The connection may have been evicted before its first request: reconnect and resend.
        let mut response = client.try_request(&text);
        if response.is_none() {
            *client = node.client();
            response = client.try_request(&text);
        }
        assert_eq!(
            response.expect("no response after reconnecting").status(),
            200,
            "client {i}"
        );
    }
    assert_eq!(server.request_count(), 30);
}

// Guards against work for a disconnected client: its failed attempt must not be retried.
#[test]
fn no_further_attempt_is_made_for_a_client_that_disconnected() {
    let gate = Gate::default();
    let server = || CacheServer::delaying_first(&gate, || Reply::ResponseAndClose(String::new()));
    let (server_a, server_b) = (server(), server());
    let discovery = Discovery::start(&[
        server_a.entry("s-1", "ready"),
        server_b.entry("s-2", "ready"),
    ]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&api_request("read", 1, 60_000));
    wait_for("the attempt", || {
        server_a.request_count() + server_b.request_count() == 1
    });
    client.shutdown_write();
    assert_eq!(client.read_response(), None);
    gate.open();
    for key in 2..12 {
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!(server_a.request_count() + server_b.request_count(), 11);
}

/// Formats a read request with additional headers and with `after_head` after its head.
fn read_with(key: u64, headers: &str, after_head: &str) -> String {
    api_request("read", key, 20_000).replace("\r\n\r\n", &format!("\r\n{headers}\r\n{after_head}"))
}

// Guards against request smuggling in the body of another request, and against reuse of a
// connection after a request with ambiguous framing.
#[test]
fn a_request_with_ambiguous_framing_is_rejected_and_its_connection_closed() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let smuggled = api_request("read", 99, 20_000);
    let length = format!("Content-Length: {}\r\n", smuggled.len() + 5);
    let cases = [
        read_with(
            1,
            &format!("{length}Transfer-Encoding: chunked\r\n"),
            &format!("0\r\n\r\n{smuggled}"),
        ),
        read_with(
            2,
            &format!("Transfer-Encoding: chunked\r\n{length}"),
            &format!("0\r\n\r\n{smuggled}"),
        ),
        read_with(3, "Transfer-Encoding: chunked\r\n", "1\r\nv\r\n0\r\n\r\n"),
        read_with(4, "Content-Length: 1\r\nContent-Length: 2\r\n", "vv"),
        read_with(5, "Content-Length: -1\r\n", ""),
        read_with(6, "Content-Length: +1\r\n", "v"),
        read_with(7, "Content-Length: 99999999999999999999\r\n", "v"),
        read_with(8, "Content-Length: 60000000\r\n", "v"),
        read_with(9, "Req-Id: 10\r\n", ""),
        read_with(10, "Req-Deadline-Ms: 1\r\n", ""),
        read_with(11, "", "").replace("Req-Kind: read", "Req-Kind: none"),
    ];
    for text in cases {
        let mut client = node.client();
        let response = client.request(&text);
        assert!(
            (400..500).contains(&response.status()),
            "{} to {text}",
            response.status()
        );
        assert_eq!(client.read_response(), None, "still open after {text}");
    }
    assert_eq!(server.request_count(), 0);
}

// Guards against a second copy of a request that another client sends under the same id.
#[test]
fn a_request_id_in_flight_is_rejected_and_accepted_again_once_it_has_ended() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let server = CacheServer::start(move |_| {
        server_gate.wait_until_open();
        Reply::Response(http_response("200 OK", "", "value"))
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut first = node.client();
    first.send(&api_request("read", 1, 20_000));
    wait_for("the attempt", || server.request_count() == 1);
    let response = node.read("read", 1);
    assert!(
        (400..500).contains(&response.status()),
        "{}",
        response.status()
    );
    gate.open();
    assert_eq!(
        first
            .read_response()
            .expect("no response to the first request")
            .status(),
        200
    );
    assert_eq!(node.read("read", 1).status(), 200);
    assert_eq!(server.request_count(), 2);
}

// Guards against clients that hold an entry of the connection table with no bytes, a partial head
// or a partial body.
#[test]
fn an_incomplete_request_is_closed_at_its_read_timeout() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let start = std::time::Instant::now();
    let texts = [
        "",
        "GET /api/1 HTTP/1.1\r\nHost:",
        &read_with(1, "Content-Length: 10\r\n", "half"),
    ];
    let mut clients: Vec<_> = texts.iter().map(|_| node.client()).collect();
    for (client, text) in clients.iter_mut().zip(texts) {
        client.send(text);
    }
    for (client, text) in clients.iter_mut().zip(texts) {
        assert_eq!(client.read_response(), None, "{text}");
    }
    // Well above the request timeout of 2 s, and well below the 60 s after which the client's own
    // read would time out.
    assert!(start.elapsed() < WAIT_TIMEOUT / 2, "{:?}", start.elapsed());
    assert_eq!(server.request_count(), 0);
}

// Guards against a flood of silent connections that evicts active clients from a full table, and
// against a new connection that is closed before its first request.
#[test]
fn silent_connections_are_evicted_before_those_of_active_clients() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small_config = config(discovery.address);
    small_config["limits"]["sockets"] = json!(40);
    let node = Node::ready(&small_config);
    let mut active = node.client();
    assert_eq!(
        active.request(&api_request("read", 1, 20_000)).status(),
        200
    );
    let _flood: Vec<_> = (0..24).map(|_| node.client()).collect();
    let mut new_client = node.client();
    assert_eq!(
        new_client.request(&api_request("read", 2, 20_000)).status(),
        200
    );
    assert_eq!(
        active.request(&api_request("read", 3, 20_000)).status(),
        200
    );
    assert_eq!(server.request_count(), 3);
}

// Guards against connections that stay idle in a full table after their response while other
// clients wait unaccepted.
#[test]
fn a_response_closes_its_connection_while_the_table_is_full() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small_config = config(discovery.address);
    small_config["limits"]["sockets"] = json!(40);
    let node = Node::ready(&small_config);
    let mut early_client = node.client();
    assert_eq!(
        early_client
            .request(&api_request("read", 0, 20_000))
            .header("connection"),
        None
    );
    let (mut open_clients, mut key) = (Vec::new(), 0);
    wait_for("a response that closes its connection", || {
        key += 1;
        open_clients.push(node.client());
        let response = open_clients
            .last_mut()
            .and_then(|client| client.try_request(&api_request("read", key, 20_000)));
        response.is_some_and(|response| response.header("connection") == Some("close"))
    });
}

// Guards against idle connections that use up the third of the descriptors reserved for clients, so
// that no other client can connect although the node has descriptors left.
#[test]
fn clients_within_their_third_of_the_descriptors_are_all_served() {
    const SOCKETS: usize = 96;
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let mut small_config = config(discovery.address);
    small_config["limits"]["sockets"] = json!(SOCKETS);
    let node = Node::ready(&small_config);
    let mut kept_open = std::collections::VecDeque::new();
    for key in 0..2 * SOCKETS as u64 {
        assert!(
            kept_open.len() < SOCKETS / 3,
            "client {key} cannot connect: idle connections hold the reserved third"
        );
        let mut client = node.client();
        let served = client.request(&api_request("read", key, 20_000));
        assert_eq!(served.status(), 200);
        if served.header("connection") != Some("close") {
            kept_open.push_back(client);
        }
    }
    assert!(
        kept_open.len() > SOCKETS / 6,
        "only {} connections stayed open, expected most of the reserved third",
        kept_open.len()
    );
    // A connection that has been idle for 2 s is evicted before a connection that has just
    // received a response.
    wait_for("a response that leaves its connection open", || {
        node.read("read", 1).header("connection") != Some("close")
    });
    let mut oldest = kept_open.pop_front().unwrap();
    assert_eq!(
        oldest.read_response(),
        None,
        "the oldest idle connection is still open"
    );
}

// Guards against a parked connection that loses its table entry, received bytes or end of stream.
#[test]
fn a_parked_connection_serves_further_requests() {
    // Longer than the idle time after which a connection is parked and its buffers are freed; a
    // longer time works as well.
    const IDLE_TIME: std::time::Duration = std::time::Duration::from_millis(700);
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let (mut active, mut fragmented, mut disconnecting) =
        (node.client(), node.client(), node.client());
    for (key, client) in [&mut active, &mut fragmented, &mut disconnecting]
        .into_iter()
        .enumerate()
    {
        assert_eq!(
            client
                .request(&api_request("read", key as u64, 20_000))
                .status(),
            200
        );
    }
    for key in 10..12 {
        std::thread::sleep(IDLE_TIME);
        let served = active.request(&api_request("read", key, 20_000));
        assert_eq!((served.status(), served.header("connection")), (200, None));
    }
    // The first part wakes the connection and the second completes the request. Two requests sent
    // at once are both answered.
    let text = api_request("read", 20, 20_000);
    fragmented.send(&text[..10]);
    std::thread::sleep(IDLE_TIME / 2);
    assert_eq!(fragmented.request(&text[10..]).status(), 200);
    std::thread::sleep(IDLE_TIME);
    fragmented.send(
        &[
            api_request("read", 21, 20_000),
            api_request("read", 22, 20_000),
        ]
        .concat(),
    );
    assert_eq!(
        (
            fragmented.read_response().unwrap().status(),
            fragmented.read_response().unwrap().status()
        ),
        (200, 200)
    );
    disconnecting.shutdown_write();
    assert_eq!(disconnecting.read_response(), None);
    std::thread::sleep(IDLE_TIME);
    node.terminate();
    assert_eq!(
        (active.read_response(), fragmented.read_response()),
        (None, None)
    );
    assert!(node.wait_for_exit().success());
}
