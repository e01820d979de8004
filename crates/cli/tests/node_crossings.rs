//! Two events that cross, in an order that the test forces, over loopback sockets.

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

/// What a client sends that has gone before the node reads it.
fn read_and_leave(node: &Node, key: u64) {
    let mut client = node.client();
    client.send(&read("read", key, 20_000));
    client.shutdown_write();
}

// Guards against work for nobody: a request that lies in the socket, or waits unaccepted, with its client's end behind it.
#[test]
fn a_request_read_after_its_client_disconnected_reaches_no_endpoint() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut open = node.client();
    assert_eq!(open.request(&read("read", 1, 20_000)).status(), 200);
    // A node that does not run: what comes meanwhile waits for it.
    node.signal("-STOP");
    open.send(&read("read", 2, 20_000));
    open.shutdown_write();
    (3..20).for_each(|key| read_and_leave(&node, key));
    node.signal("-CONT");
    assert_eq!(open.answer(), None);
    // It has accepted this one behind all of them.
    assert_eq!(node.read("read", 20).status(), 200);
    assert_eq!(server.count(), 2, "{:?}", server.received.lock().unwrap());
}

// Guards against an attempt that was begun for a client, whose connection comes up once that has gone.
#[test]
fn a_connection_established_after_its_client_disconnected_carries_no_request() {
    let slow = SlowServer::start();
    let discovery = Discovery::start(&[endpoint_entry("s-1", slow.address, "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&read("once", 1, 20_000));
    let mut other = node.client();
    other.send(&read("once", 2, 20_000));
    wait_for("the attempts", || slow.pending_connections() >= 2);
    client.shutdown_write();
    assert_eq!(client.answer(), None, "the node has seen it leave");
    slow.accept();
    assert_eq!(other.answer().unwrap().status(), 200);
    let asked = slow.received();
    assert_eq!(asked.len(), 1, "{asked:?}");
    assert!(asked[0].contains("req-id: 2\r\n"), "{asked:?}");
}

// Guards against a client's end that stands behind bytes which nobody has asked for yet, few or many, and is not seen.
#[test]
fn a_client_that_disconnects_behind_further_bytes_gets_no_second_attempt() {
    for further in [read("read", 2, 20_000), "\r\n".into(), "x".repeat(300_000)] {
        let gate = Gate::default();
        let server = || CacheServer::delaying_first(&gate, || Reply::AnswerAndClose(String::new()));
        let (one, two) = (server(), server());
        let discovery = Discovery::start(&[one.entry("s-1", "ready"), two.entry("s-2", "ready")]);
        let node = Node::ready(&config(discovery.address));
        let mut client = node.client();
        client.send(&read("read", 1, 60_000));
        wait_for("the attempt", || one.count() + two.count() == 1);
        client.send(&further);
        client.shutdown_write();
        assert_eq!(client.answer(), None, "the node has seen it leave");
        gate.open();
        assert!((10..20).all(|key| node.read("read", key).status() == 200));
        assert_eq!(
            one.count() + two.count(),
            11,
            "{} bytes behind",
            further.len()
        );
    }
}

/// The ids of the requests that a server has received.
fn received_ids(server: &CacheServer) -> Vec<String> {
    let received = server.received.lock().unwrap();
    let id = |request: &Message| request.header("req-id").unwrap().to_owned();
    received.iter().map(id).collect()
}

/// None of these requests, as they were received, has one of these ids.
fn assert_none_contains(requests: &[String], ids: &[String]) {
    for id in ids {
        let header = format!("req-id: {id}\r\n");
        assert!(
            !requests.iter().any(|request| request.contains(&header)),
            "{id}: {requests:?}"
        );
    }
}

// Guards against a repeat that was decided within its window and begins after it: servers know it for one no more.
#[test]
fn a_retry_whose_connection_is_established_after_its_repeat_window_is_not_sent() {
    const REQUESTS: u64 = 11;
    let slow = SlowServer::start();
    let gate = Gate::default();
    let held = gate.clone();
    let broken = CacheServer::start(move |_| {
        held.wait_until_open();
        Reply::AnswerAndClose(String::new())
    });
    let discovery = Discovery::start(&[
        broken.entry("s-1", "ready"),
        endpoint_entry("s-2", slow.address, "ready"),
    ]);
    let mut config = config(discovery.address);
    config["settings"]["lanes"][2]["repeat_window_us"] = json!(2_000_000);
    // The first attempts at the slow one outlast the window.
    config["settings"]["limits"]["connect_timeout_us"] = json!(20_000_000);
    let node = Node::ready(&config);
    // Each is asked of one of the two first; those of the slow one wait there.
    let mut clients: Vec<_> = (1..=REQUESTS).map(|key| (key, node.client())).collect();
    clients
        .iter_mut()
        .for_each(|(key, client)| client.send(&read("keyed", *key, 20_000)));
    // None can be repeated before the gate opens: each stands for one first attempt.
    wait_for("all first attempts", || {
        slow.pending_connections() + broken.count() >= clients.len()
    });
    let first_at_slow = slow.pending_connections();
    let repeated = received_ids(&broken);
    assert!(
        !repeated.is_empty() && first_at_slow > 0,
        "{repeated:?} at the broken one, {first_at_slow} at the slow one"
    );
    assert_eq!(
        repeated.len() + first_at_slow,
        clients.len(),
        "{repeated:?}, {first_at_slow} at the slow one"
    );
    gate.open();
    wait_for("a repeat on its way", || {
        slow.pending_connections() > first_at_slow
    });
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
    let asked = slow.received();
    assert_eq!(asked.len(), first_at_slow, "{asked:?}");
    assert_none_contains(&asked, &repeated);
    assert_eq!(
        broken.count(),
        repeated.len(),
        "none was asked of the broken one again"
    );
    assert_eq!(
        broken.connections.load(Ordering::SeqCst) as usize,
        broken.count()
    );
}

// Guards against half a request that is dropped as if nothing had come, when the node closes at that moment.
#[test]
fn a_partly_read_request_is_completed_and_answered_during_shutdown() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let (mut used, mut fresh, mut idle) = (node.client(), node.client(), node.client());
    assert_eq!(used.request(&read("read", 1, 20_000)).status(), 200);
    assert_eq!(idle.request(&read("read", 2, 20_000)).status(), 200);
    let (one, two) = (read("read", 3, 20_000), read("read", 4, 20_000));
    used.send(&one[..40]);
    fresh.send(&two[..40]);
    node.terminate();
    // The node closes what is idle, and so is at it.
    assert_eq!(idle.answer(), None);
    used.send(&one[40..]);
    fresh.send(&two[40..]);
    for client in [&mut used, &mut fresh] {
        let served = client
            .answer()
            .expect("an answer to what the node has read half of");
        assert_eq!(
            (served.status(), served.header("connection")),
            (200, Some("close"))
        );
    }
    assert!(node.exit().success());
}

// Guards against an answer that is reset on its way, since its connection was closed over bytes that nobody read.
#[test]
fn a_response_that_closes_its_connection_is_complete_though_the_client_sent_more() {
    let gate = Gate::default();
    let held = gate.clone();
    let body: &'static str = Box::leak("v".repeat(60_000).into_boxed_str());
    let server = CacheServer::start(move |_| {
        held.wait_until_open();
        Reply::Answer(answer("200 OK", "", body))
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    // Most of the answer stays with the node until its client reads.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let arrived = stream.try_clone().unwrap();
    let mut client = Client::from_stream(stream);
    client.send(&read("read", 1, 60_000));
    wait_for("the attempt", || server.count() == 1);
    node.terminate();
    gate.open();
    assert!(arrived.peek(&mut [0]).unwrap() > 0);
    // Its answer closes the connection, over these.
    client.send(&"x".repeat(20_000));
    let served = client.answer().expect("the whole answer");
    assert_eq!((served.status(), served.body.len()), (200, body.len()));
    assert_eq!(server.count(), 1);
    drop(client);
    drop(arrived);
    assert!(node.exit().success());
}

// Guards against a second copy of an answer that comes some milliseconds late and meets the next request on its way: that
// would be served with another one's answer.
#[test]
fn a_late_duplicate_response_is_never_given_to_the_next_request() {
    let answered: Arc<Mutex<HashMap<SocketAddr, (Instant, String)>>> = Arc::default();
    let server = CacheServer::start_with_peers(move |asked, peer| {
        let own = answer("200 OK", "", asked.header("req-id").unwrap());
        // On its way when the next request came: the client reads it first.
        let before = answered
            .lock()
            .unwrap()
            .insert(peer, (Instant::now(), own.clone()));
        let late = before.filter(|(at, _)| at.elapsed() < Duration::from_millis(10));
        Reply::Answer(late.map_or(String::new(), |(_, copy)| copy) + &own)
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    for key in 1..60 {
        let served = client.request(&read("once", key, 20_000));
        assert_eq!(
            (served.status(), served.body),
            (200, format!("{key:x}").into_bytes())
        );
    }
    assert_eq!(server.count(), 59);
    // Rested, connections are used again.
    std::thread::sleep(Duration::from_millis(40));
    let connections = server.connections.load(Ordering::SeqCst);
    assert_eq!(client.request(&read("once", 60, 20_000)).status(), 200);
    assert_eq!(server.connections.load(Ordering::SeqCst), connections);
}

/// How an answer goes on after its first part, and ends.
#[derive(Clone, Copy, Debug)]
enum Ends {
    /// The connection is closed in order.
    Closed,
    /// It is reset.
    Reset,
    /// Never: a byte comes every few milliseconds.
    Never,
}

// Guards against an answer that broke off and is passed on as whole, or run again where that is not allowed; a reset is no
// end. And against one that never ends and keeps its client past its time.
#[test]
fn a_response_that_is_truncated_or_never_ends_is_one_failure_and_one_attempt() {
    let cases = [
        (
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nvalue",
            Ends::Closed,
            200,
        ),
        (
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nval",
            Ends::Reset,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nval",
            Ends::Never,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nval",
            Ends::Closed,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nval",
            Ends::Reset,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nval",
            Ends::Never,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nval",
            Ends::Closed,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n",
            Ends::Reset,
            502,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf000\r\nval",
            Ends::Never,
            502,
        ),
        ("HTTP/1.1 200 OK\r\nX-Long: val", Ends::Never, 502),
        ("HTTP/1.1 200 OK\r\nX-Long: val", Ends::Reset, 502),
        ("HTT", Ends::Closed, 502),
        ("", Ends::Reset, 502),
    ];
    for (text, ends, status) in cases {
        assert_one_attempt(text, ends, status);
    }
}

/// An endpoint that writes this text and then ends its connection so; where it listens, and the requests it has read.
fn ending_endpoint(text: &'static str, ends: Ends) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, runs) = (listener.local_addr().unwrap(), Arc::new(AtomicU32::new(0)));
    let counted = runs.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            if !matches!(Message::read(&mut reader), Ok(Some(_))) {
                continue;
            }
            counted.fetch_add(1, Ordering::SeqCst);
            stream.write_all(text.as_bytes()).unwrap();
            match ends {
                Ends::Closed => {}
                Ends::Reset => SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
                // Until the node gives it up.
                Ends::Never => {
                    while stream.write_all(b"v").is_ok() {
                        std::thread::sleep(Duration::from_millis(5));
                    }
                }
            }
        }
    });
    (address, runs)
}

/// A request to an endpoint whose response ends so has this status, in time and after one attempt.
fn assert_one_attempt(text: &'static str, ends: Ends, status: u16) {
    let (address, runs) = ending_endpoint(text, ends);
    let discovery = Discovery::start(&[endpoint_entry("s-1", address, "ready")]);
    let node = Node::ready(&config(discovery.address));
    let deadline = Duration::from_millis(600);
    let sent = Instant::now();
    let served = node
        .client()
        .request(&read("once", 1, deadline.as_millis() as u64));
    assert_eq!(served.status(), status, "{text:?} {ends:?}");
    if status == 200 {
        assert_eq!(served.body, b"value", "{text:?}");
    }
    // The node answers by itself; the rest is for a machine that does other things too.
    assert!(
        sent.elapsed() < deadline * 5,
        "{text:?} {ends:?}: {:?}",
        sent.elapsed()
    );
    assert_eq!(runs.load(Ordering::SeqCst), 1, "{text:?} {ends:?}");
}

// Guards against what a server wrote on a connection that has carried nothing yet, and was kept since its client had left:
// it is no answer to the request that is sent there next.
#[test]
fn bytes_received_on_an_idle_connection_are_never_a_response() {
    let slow = SlowServer::start();
    let discovery = Discovery::start(&[endpoint_entry("s-1", slow.address, "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    client.send(&read("once", 1, 20_000));
    wait_for("the attempt", || slow.pending_connections() == 1);
    client.shutdown_write();
    assert_eq!(client.answer(), None, "the node has seen it leave");
    let mut kept = slow.accept_one();
    // Both are there when the node runs again: a whole answer that nobody asked for, and the next request.
    std::thread::sleep(Duration::from_millis(50));
    node.signal("-STOP");
    kept.write_all(answer("200 OK", "", "stray").as_bytes())
        .unwrap();
    let mut next = node.client();
    next.send(&read("once", 2, 20_000));
    slow.accept();
    node.signal("-CONT");
    assert_eq!(next.answer().unwrap().body, b"value");
    assert_eq!(
        kept.read(&mut [0]).unwrap_or(0),
        0,
        "nothing was sent there"
    );
    assert_eq!(slow.received().len(), 1);
}
