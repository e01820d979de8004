//! Races of two events, in an order that the test forces, over loopback sockets.

mod node_common;

use node_common::*;
use serde_json::json;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Sends a read from a client that disconnects at once.
fn send_read_and_disconnect(node: &Node, key: u64) {
    let mut client = node.client();
    client.send(&api_request("read", key, 20_000));
    client.shutdown_write();
}

// Guards against work for a disconnected client: the request is still in the socket, or in an
// unaccepted connection, when the client has closed its sending half.
#[test]
fn a_request_read_after_its_client_disconnected_reaches_no_endpoint() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut connected = node.client();
    assert_eq!(
        connected.request(&api_request("read", 1, 20_000)).status(),
        200
    );
    // While the node is stopped, requests and disconnects queue up in the kernel.
    node.signal("-STOP");
    connected.send(&api_request("read", 2, 20_000));
    connected.shutdown_write();
    (3..20).for_each(|key| send_read_and_disconnect(&node, key));
    node.signal("-CONT");
    assert_eq!(connected.read_response(), None);
    // This client connected last, so the node has accepted all earlier connections.
    assert_eq!(node.read("read", 20).status(), 200);
    assert_eq!(
        server.request_count(),
        2,
        "{:?}",
        server.received.lock().unwrap()
    );
}

// Guards against a request that is sent on a connection established after its client disconnected.
#[test]
fn a_connection_established_after_its_client_disconnected_carries_no_request() {
    let slow = SlowServer::start();
    let discovery = Discovery::start(&[endpoint_entry("s-1", slow.address, "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&api_request("once", 1, 20_000));
    let mut other = node.client();
    other.send(&api_request("once", 2, 20_000));
    wait_for("the attempts", || slow.pending_connections() >= 2);
    client.shutdown_write();
    assert_eq!(
        client.read_response(),
        None,
        "the node did not notice the disconnect"
    );
    slow.accept();
    assert_eq!(other.read_response().unwrap().status(), 200);
    let sent_requests = slow.received();
    assert_eq!(sent_requests.len(), 1, "{sent_requests:?}");
    assert!(
        sent_requests[0].contains("req-id: 2\r\n"),
        "{sent_requests:?}"
    );
}

// Guards against a disconnect that goes unnoticed because the client sent further bytes, few or
// many, before it.
#[test]
fn no_second_attempt_is_made_for_a_client_that_sends_more_bytes_and_disconnects() {
    for further in [
        api_request("read", 2, 20_000),
        "\r\n".into(),
        "x".repeat(300_000),
    ] {
        let gate = Gate::default();
        let server =
            || CacheServer::delaying_first(&gate, || Reply::ResponseAndClose(String::new()));
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
        client.send(&further);
        client.shutdown_write();
        assert_eq!(
            client.read_response(),
            None,
            "the node did not notice the disconnect"
        );
        gate.open();
        assert!((10..20).all(|key| node.read("read", key).status() == 200));
        assert_eq!(
            server_a.request_count() + server_b.request_count(),
            11,
            "{} further bytes",
            further.len()
        );
    }
}

/// Returns the ids of the requests that a server has received.
fn received_ids(server: &CacheServer) -> Vec<String> {
    let received = server.received.lock().unwrap();
    let id = |request: &Message| request.header("req-id").unwrap().to_owned();
    received.iter().map(id).collect()
}

/// Asserts that none of these raw requests has one of these ids.
fn assert_none_contains(requests: &[String], ids: &[String]) {
    for id in ids {
        let header = format!("req-id: {id}\r\n");
        assert!(
            !requests.iter().any(|request| request.contains(&header)),
            "request {id} was received: {requests:?}"
        );
    }
}

// Guards against a retry that starts within its repeat window but is sent after the window: servers
// no longer recognize such a retry as a duplicate.
#[test]
fn a_retry_whose_connection_is_established_after_its_repeat_window_is_not_sent() {
    const REQUESTS: u64 = 11;
    let slow = SlowServer::start();
    let gate = Gate::default();
    let server_gate = gate.clone();
    let broken = CacheServer::start(move |_| {
        server_gate.wait_until_open();
        Reply::ResponseAndClose(String::new())
    });
    let discovery = Discovery::start(&[
        broken.entry("s-1", "ready"),
        endpoint_entry("s-2", slow.address, "ready"),
    ]);
    let mut config = config(discovery.address);
    config["settings"]["lanes"][2]["repeat_window_us"] = json!(2_000_000);
    // First attempts at the slow server outlast the repeat window.
    config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    let node = Node::ready(&config);
    // Each first attempt goes to either server; attempts at the slow server stay pending.
    let mut clients: Vec<_> = (1..=REQUESTS).map(|key| (key, node.client())).collect();
    clients
        .iter_mut()
        .for_each(|(key, client)| client.send(&api_request("keyed", *key, 20_000)));
    // No request can be retried before the gate opens, so each has one first attempt.
    wait_for("all first attempts", || {
        slow.pending_connections() + broken.request_count() >= clients.len()
    });
    let first_at_slow = slow.pending_connections();
    let retried = received_ids(&broken);
    assert!(
        !retried.is_empty() && first_at_slow > 0,
        "{retried:?} at the broken server, {first_at_slow} at the slow server"
    );
    assert_eq!(
        retried.len() + first_at_slow,
        clients.len(),
        "{retried:?} at the broken server, {first_at_slow} at the slow server"
    );
    gate.open();
    wait_for("a pending retry", || {
        slow.pending_connections() > first_at_slow
    });
    // The response follows after the window, when no server may receive the request any more.
    for (key, client) in &mut clients {
        if retried.contains(&format!("{key:x}")) {
            assert!(client.read_response().unwrap().status() >= 500, "{key}");
        }
    }
    slow.accept();
    for (key, client) in &mut clients {
        if !retried.contains(&format!("{key:x}")) {
            assert_eq!(client.read_response().unwrap().status(), 200, "{key}");
        }
    }
    let sent_requests = slow.received();
    assert_eq!(sent_requests.len(), first_at_slow, "{sent_requests:?}");
    assert_none_contains(&sent_requests, &retried);
    assert_eq!(
        broken.request_count(),
        retried.len(),
        "requests were sent to the broken server again"
    );
    assert_eq!(
        broken.connections.load(Ordering::SeqCst) as usize,
        broken.request_count()
    );
}

// Guards against a partly received request that is dropped, as on an idle connection, when the node
// shuts down.
#[test]
fn a_partly_read_request_is_completed_and_answered_during_shutdown() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let (mut used, mut fresh, mut idle) = (node.client(), node.client(), node.client());
    assert_eq!(used.request(&api_request("read", 1, 20_000)).status(), 200);
    assert_eq!(idle.request(&api_request("read", 2, 20_000)).status(), 200);
    let (first_text, second_text) = (
        api_request("read", 3, 20_000),
        api_request("read", 4, 20_000),
    );
    used.send(&first_text[..40]);
    fresh.send(&second_text[..40]);
    node.terminate();
    // The end of the idle connection shows that the shutdown has begun.
    assert_eq!(idle.read_response(), None);
    used.send(&first_text[40..]);
    fresh.send(&second_text[40..]);
    for client in [&mut used, &mut fresh] {
        let served = client
            .read_response()
            .expect("no response to a partly read request");
        assert_eq!(
            (served.status(), served.header("connection")),
            (200, Some("close"))
        );
    }
    assert!(node.wait_for_exit().success());
}

// Guards against a response that is lost to a reset: closing a socket with unread received bytes
// resets the connection.
#[test]
fn a_response_that_closes_its_connection_is_complete_though_the_client_sent_more() {
    let gate = Gate::default();
    let server_gate = gate.clone();
    let body: &'static str = Box::leak("v".repeat(60_000).into_boxed_str());
    let server = CacheServer::start(move |_| {
        server_gate.wait_until_open();
        Reply::Response(http_response("200 OK", "", body))
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    // With a small receive buffer, most of the response stays in the node until the client reads.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let peek_stream = stream.try_clone().unwrap();
    let mut client = Client::from_stream(stream);
    client.send(&api_request("read", 1, 60_000));
    wait_for("the attempt", || server.request_count() == 1);
    node.terminate();
    gate.open();
    assert!(peek_stream.peek(&mut [0]).unwrap() > 0);
    // The response closes the connection while these bytes are unread.
    client.send(&"x".repeat(20_000));
    let served = client
        .read_response()
        .expect("the connection was closed without a response");
    assert_eq!((served.status(), served.body.len()), (200, body.len()));
    assert_eq!(server.request_count(), 1);
    drop(client);
    drop(peek_stream);
    assert!(node.wait_for_exit().success());
}

// Guards against a late duplicate that is taken for the response to the next request: it arrives
// some milliseconds after the original, when the next request is already in transit.
#[test]
fn a_late_duplicate_response_is_never_given_to_the_next_request() {
    let last_responses: Arc<Mutex<HashMap<SocketAddr, (Instant, String)>>> = Arc::default();
    let server = CacheServer::start_with_peers(move |message, peer| {
        let response = http_response("200 OK", "", message.header("req-id").unwrap());
        // A duplicate in transit when the next request arrives is read first.
        let previous = last_responses
            .lock()
            .unwrap()
            .insert(peer, (Instant::now(), response.clone()));
        let late = previous.filter(|(at, _)| at.elapsed() < Duration::from_millis(10));
        Reply::Response(late.map_or(String::new(), |(_, duplicate)| duplicate) + &response)
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    for key in 1..60 {
        let served = client.request(&api_request("once", key, 20_000));
        assert_eq!(
            (served.status(), served.body),
            (200, format!("{key:x}").into_bytes())
        );
    }
    assert_eq!(server.request_count(), 59);
    // After a pause, connections are reused.
    std::thread::sleep(Duration::from_millis(40));
    let connections = server.connections.load(Ordering::SeqCst);
    assert_eq!(
        client.request(&api_request("once", 60, 20_000)).status(),
        200
    );
    assert_eq!(server.connections.load(Ordering::SeqCst), connections);
}

/// Continuation of a response after its first part.
#[derive(Clone, Copy, Debug)]
enum Continuation {
    /// The connection is closed normally.
    Closed,
    /// The connection is reset.
    Reset,
    /// The response never ends: one byte follows every few milliseconds.
    Endless,
}

// Guards against a truncated response that is forwarded as complete or retried where that is not
// allowed (a reset is not an end of the body), and against an endless response that holds its
// client past the deadline.
#[test]
fn a_response_that_is_truncated_or_never_ends_is_one_failure_and_one_attempt() {
    let cases = [
        (
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nvalue",
            Continuation::Closed,
            200,
        ),
        (
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nval",
            Continuation::Reset,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nval",
            Continuation::Endless,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nval",
            Continuation::Closed,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nval",
            Continuation::Reset,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nval",
            Continuation::Endless,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nval",
            Continuation::Closed,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n",
            Continuation::Reset,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf000\r\nval",
            Continuation::Endless,
            502,
        ),
        ("HTTP/1.1 200 OK\r\nX-Long: val", Continuation::Endless, 502),
        ("HTTP/1.1 200 OK\r\nX-Long: val", Continuation::Reset, 502),
        ("HTT", Continuation::Closed, 502),
        ("", Continuation::Reset, 502),
    ];
    for (text, continuation, status) in cases {
        assert_one_attempt(text, continuation, status);
    }
}

/// Starts an endpoint that answers each request with this text and continuation. Returns its
/// address and the number of requests it has read.
fn start_raw_endpoint(
    text: &'static str,
    continuation: Continuation,
) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, requests_read) = (listener.local_addr().unwrap(), Arc::new(AtomicU32::new(0)));
    let read_counter = requests_read.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            if !matches!(Message::read(&mut reader), Ok(Some(_))) {
                continue;
            }
            read_counter.fetch_add(1, Ordering::SeqCst);
            stream.write_all(text.as_bytes()).unwrap();
            match continuation {
                Continuation::Closed => {}
                Continuation::Reset => SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
                // The bytes continue until the node abandons the attempt.
                Continuation::Endless => {
                    while stream.write_all(b"v").is_ok() {
                        std::thread::sleep(Duration::from_millis(5));
                    }
                }
            }
        }
    });
    (address, requests_read)
}

/// Asserts that a request to an endpoint with this response gets this status after one attempt,
/// within five times its deadline.
fn assert_one_attempt(text: &'static str, continuation: Continuation, status: u16) {
    let (address, requests_read) = start_raw_endpoint(text, continuation);
    let discovery = Discovery::start(&[endpoint_entry("s-1", address, "ready")]);
    let node = Node::ready(&config(discovery.address));
    let deadline = Duration::from_millis(600);
    let sent_at = Instant::now();
    let served = node
        .client()
        .request(&api_request("once", 1, deadline.as_millis() as u64));
    assert_eq!(served.status(), status, "{text:?} {continuation:?}");
    if status == 200 {
        assert_eq!(served.body, b"value", "{text:?}");
    }
    // The node itself responds by the deadline; the factor allows for other load on the machine.
    assert!(
        sent_at.elapsed() < deadline * 5,
        "{text:?} {continuation:?}: {:?}",
        sent_at.elapsed()
    );
    assert_eq!(
        requests_read.load(Ordering::SeqCst),
        1,
        "{text:?} {continuation:?}"
    );
}

// Guards against unsolicited bytes from a server that are taken for the response to the next
// request, on a connection that has carried no request and was kept after its client disconnected.
#[test]
fn bytes_received_on_an_idle_connection_are_never_a_response() {
    let slow = SlowServer::start();
    let discovery = Discovery::start(&[endpoint_entry("s-1", slow.address, "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&api_request("once", 1, 20_000));
    wait_for("the attempt", || slow.pending_connections() == 1);
    client.shutdown_write();
    assert_eq!(
        client.read_response(),
        None,
        "the node did not notice the disconnect"
    );
    let mut unused_connection = slow.accept_one();
    // When the node continues, it finds a complete unsolicited response and the next request.
    std::thread::sleep(Duration::from_millis(50));
    node.signal("-STOP");
    unused_connection
        .write_all(http_response("200 OK", "", "stray").as_bytes())
        .unwrap();
    let mut next = node.client();
    next.send(&api_request("once", 2, 20_000));
    slow.accept();
    node.signal("-CONT");
    assert_eq!(next.read_response().unwrap().body, b"value");
    assert_eq!(
        unused_connection.read(&mut [0]).unwrap_or(0),
        0,
        "a request was sent on the connection with unsolicited bytes"
    );
    assert_eq!(slow.received().len(), 1);
}
