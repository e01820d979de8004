//! Requests of the node to cache servers and discovery, on loopback sockets.

mod node_common;

use node_common::*;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};

// Guards against new requests to a draining server, also on idle connections.
#[test]
fn a_draining_endpoint_gets_no_new_request_and_its_idle_connections_are_closed() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    assert_eq!(node.read("read", 1).body, b"old");
    discovery.publish(
        false,
        &[old.entry("s-1", "draining"), new.entry("s-2", "ready")],
    );
    discovery.wait_until_applied(2);
    wait_for("the close of the idle connection", || {
        old.closed.load(Ordering::SeqCst) == 1
    });
    for key in 0..20 {
        assert_eq!(node.read("read", key).body, b"new");
    }
    assert_eq!((old.request_count(), new.request_count()), (1, 20));
}

// Guards against requests to a server that a complete list omits: such a server has been removed.
#[test]
fn an_endpoint_missing_from_a_complete_list_gets_no_request() {
    let (old, new) = (CacheServer::serving("old"), CacheServer::serving("new"));
    let discovery = Discovery::start(&[old.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    assert_eq!(node.read("read", 1).body, b"old");
    discovery.publish(true, &[new.entry("s-2", "ready")]);
    discovery.wait_until_applied(2);
    wait_for("the close of the idle connection", || {
        old.closed.load(Ordering::SeqCst) == 1
    });
    assert_eq!(node.read("read", 1).body, b"new");
    assert_eq!(old.request_count(), 1);
}

// Guards against a request written to an idle connection that its server has closed.
#[test]
fn a_connection_that_its_server_closed_is_not_used_again() {
    let server =
        CacheServer::start(|_| Reply::ResponseAndClose(http_response("200 OK", "", "value")));
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    for key in 0..10 {
        // A reset would make an unsafe request fail, because it must not be sent twice.
        assert_eq!(node.read("once", key).status(), 200);
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!(
        (
            server.request_count(),
            server.connections.load(Ordering::SeqCst)
        ),
        (10, 10)
    );
}

// Guards against requests lost on idle connections that a server drops long before the configured
// keep-alive time: a request of an unsafe class must not be sent again.
#[test]
fn idle_connections_are_kept_no_longer_than_their_endpoint_keeps_them() {
    let idle = std::time::Duration::from_millis(400);
    let server = CacheServer::closing_idle(idle / 2);
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let (mut key, mut served) = (0, 0);
    // In each round, reads without a pause give the node the baseline loss rate of connections; an
    // idle period and an unsafe request follow.
    wait_for(
        "five consecutive unsafe requests served after idle periods",
        || {
            let mut request_status = |class| {
                key += 1;
                node.read(class, key).status()
            };
            for _ in 0..4 {
                request_status("read");
            }
            std::thread::sleep(idle);
            served = if request_status("once") == 200 {
                served + 1
            } else {
                0
            };
            served == 5
        },
    );
}

// Guards against a new connection, and its handshake, for each request.
#[test]
fn a_connection_is_reused_for_the_next_request() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    for key in 0..10 {
        // A connection is not reused immediately after a response.
        std::thread::sleep(std::time::Duration::from_millis(30));
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!(
        (
            server.request_count(),
            server.connections.load(Ordering::SeqCst)
        ),
        (10, 1)
    );
    // A connection is reused after its request (10 ms allowed) and the reuse delay of 20 ms.
    // Without pauses, the node needs as many connections as there are requests within that time.
    let (mut client, mut sent_at) = (node.client(), Vec::new());
    for key in 10..1_010 {
        sent_at.push(std::time::Instant::now());
        assert_eq!(
            client.request(&api_request("read", key, 20_000)).status(),
            200
        );
    }
    let time_until_reuse = std::time::Duration::from_millis(20 + 10);
    let request_counts = sent_at.iter().map(|from| {
        sent_at
            .iter()
            .filter(|at| **at >= *from && **at - *from < time_until_reuse)
            .count()
    });
    let (connections_made, max_requests) = (
        server.connections.load(Ordering::SeqCst) as usize,
        request_counts.max().unwrap(),
    );
    assert!(
        connections_made <= 1 + max_requests,
        "{connections_made} connections made for at most {max_requests} requests before reuse"
    );
}

/// Sends one request to a node with two servers: the first attempt gets `reply`, later attempts are
/// served. Returns the status of the response and the number of attempts.
fn send_with_first_reply(reply: fn() -> Reply, class: &str) -> (u16, usize) {
    let attempts = Arc::new(AtomicU32::new(0));
    let server = || {
        let attempts = attempts.clone();
        CacheServer::start(move |_| match attempts.fetch_add(1, Ordering::SeqCst) {
            0 => reply(),
            _ => Reply::Response(http_response("200 OK", "", "value")),
        })
    };
    let (one, two) = (server(), server());
    let discovery = Discovery::start(&[one.entry("s-1", "ready"), two.entry("s-2", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let status = node.read(class, 1).status();
    (status, one.request_count() + two.request_count())
}

// Guards against a misjudged outcome: a request that may have run must not be sent again, a request
// that never ran may be.
#[test]
fn a_non_idempotent_request_is_retried_only_where_it_provably_never_ran() {
    let declined = || {
        Reply::Response(http_response(
            "503 Service Unavailable",
            "Srv-Declined: 1\r\n",
            "",
        ))
    };
    assert_eq!(send_with_first_reply(declined, "once"), (200, 2));
    let timed_out = || {
        Reply::Response(http_response(
            "504 Gateway Timeout",
            "Srv-Declined: 1\r\n",
            "",
        ))
    };
    assert_eq!(send_with_first_reply(timed_out, "once"), (200, 2));
    let uncertain_replies: [fn() -> Reply; 5] = [
        || Reply::Response(http_response("500 Internal Server Error", "", "")),
        || Reply::Response(http_response("503 Service Unavailable", "", "")),
        || Reply::ResponseAndClose(String::new()),
        || Reply::ResponseAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_owned()),
        || Reply::ResponseAndClose("no HTTP at all\r\n\r\n".to_owned()),
    ];
    for (i, uncertain_reply) in uncertain_replies.into_iter().enumerate() {
        let (status, sent) = send_with_first_reply(uncertain_reply, "once");
        assert!(
            status >= 500 && status != 503 && sent == 1,
            "outcome {i}: status {status} after {sent} attempts"
        );
    }
}

// Guards against a truncated response that is relayed as a complete one.
#[test]
fn an_idempotent_request_is_retried_after_a_truncated_response() {
    let truncated =
        || Reply::ResponseAndClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_owned());
    assert_eq!(send_with_first_reply(truncated, "read"), (200, 2));
}

// Guards against a refused connection that is treated as a request that may have run.
#[test]
fn a_non_idempotent_request_is_retried_after_a_refused_connection() {
    let refusing_address = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[
        endpoint_entry("s-1", refusing_address, "ready"),
        server.entry("s-2", "ready"),
    ]);
    let node = Node::ready(&config(discovery.address));
    for key in 0..6 {
        assert_eq!(node.read("once", key).status(), 200);
    }
    assert_eq!(server.request_count(), 6);
}

// Guards against a malformed list that stops the node: it keeps its list and opens a new watch.
#[test]
fn a_malformed_list_is_a_failed_call_and_the_watch_is_opened_again() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    discovery.wait_until_applied(1);
    let calls = discovery.call_count();
    discovery.publish_text("{\"seq\":2,\"whole\":true,\"hosts\":[{\"host\":".to_owned());
    wait_for("another call to discovery", || {
        discovery.call_count() > calls
    });
    assert_eq!(node.read("read", 1).status(), 200);
    // The node's version is unchanged.
    assert!(discovery.received.lock().unwrap()[calls..]
        .iter()
        .all(|path| path.contains("after=1&")));
    let new = CacheServer::serving("new");
    discovery.publish(true, &[new.entry("s-2", "ready")]);
    discovery.wait_until_applied(3);
    assert_eq!(node.read("read", 1).body, b"new");
}

// Guards against extra bytes after a response that are read as the response to the next request.
#[test]
fn bytes_after_a_response_are_never_part_of_the_next_one() {
    let server = CacheServer::start(|message| {
        let own = http_response("200 OK", "", message.header("req-id").unwrap());
        let extra = http_response("200 OK", "", "a copy");
        Reply::Response(own + &extra)
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let mut client = node.client();
    for key in 1..200_u64 {
        let served = client.request(&api_request("read", key, 20_000));
        assert_eq!(
            (served.status(), served.body),
            (200, format!("{key:x}").into_bytes())
        );
    }
    assert_eq!(server.request_count(), 199);
}

// Guards against waiting for a response whose stated length exceeds the limit: the time is needed
// for the retry.
#[test]
fn a_response_with_a_content_length_over_the_limit_fails_its_attempt_at_once() {
    let huge =
        || Reply::Response("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nsome".to_owned());
    assert_eq!(send_with_first_reply(huge, "read"), (200, 2));
}

// Guards against an endless response head that fills memory, and against a 1xx response that is
// taken for the final one.
#[test]
fn an_endless_response_head_fails_its_attempt_and_interim_responses_are_skipped() {
    let endless = || {
        Reply::Response(format!(
            "HTTP/1.1 200 OK\r\n{}",
            "X-Noise: noise\r\n".repeat(2_000)
        ))
    };
    assert_eq!(send_with_first_reply(endless, "read"), (200, 2));
    let switched = || Reply::Response("HTTP/1.1 101 Switching Protocols\r\n\r\n".to_owned());
    assert_eq!(send_with_first_reply(switched, "read"), (200, 2));
    let interim = || {
        let ahead = "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n".repeat(2);
        Reply::Response(ahead + &http_response("200 OK", "", "value"))
    };
    assert_eq!(send_with_first_reply(interim, "read"), (200, 1));
}

// Guards against a server that loses the keys of all classes because it rejects one class, for
// example one that its release does not know. The keys would miss on other servers, and the misses
// of a whole fleet would overload the origin.
#[test]
fn a_class_that_an_endpoint_rejects_leaves_other_classes_keys_there() {
    let rejecting = CacheServer::start(|message| match message.header("idempotency-key") {
        Some(_) => Reply::Response(http_response(
            "503 Service Unavailable",
            "Srv-Declined: 1\r\nSrv-Load: waiting=0\r\n",
            "",
        )),
        None => Reply::Response(http_response(
            "200 OK",
            "Srv-Load: waiting=0\r\n",
            "rejecting",
        )),
    });
    let other = CacheServer::start(|_| {
        Reply::Response(http_response("200 OK", "Srv-Load: waiting=0\r\n", "other"))
    });
    let discovery =
        Discovery::start(&[rejecting.entry("s-1", "ready"), other.entry("s-2", "ready")]);
    let node = Node::ready(&config(discovery.address));
    let owned_keys: Vec<u64> = (0..60)
        .filter(|&key| node.read("read", key).body == b"rejecting")
        .collect();
    assert!(
        owned_keys.len() >= 10,
        "only {} of 60 keys belong to the server",
        owned_keys.len()
    );
    let mut client = node.client();
    let mut send_keyed = |key| {
        let text =
            api_request("keyed", key, 20_000).replace("\r\n\r\n", "\r\nIdempotency-Key: k\r\n\r\n");
        assert_eq!(client.request(&text).status(), 200);
    };
    (0..2).for_each(|_| owned_keys.iter().for_each(|&key| send_keyed(key)));
    let before = rejecting.request_count();
    owned_keys.iter().for_each(|&key| send_keyed(key));
    assert!(
        rejecting.request_count() - before <= 3,
        "{} further requests of the rejected class reached the server",
        rejecting.request_count() - before
    );
    for &key in &owned_keys {
        assert_eq!(node.read("read", key).body, b"rejecting", "key {key}");
    }
}

/// Requests these keys concurrently. The servers hold their requests until each request has reached
/// a server or has a response. Returns the number of requests at servers, and all responses.
fn send_concurrently(
    node: &Node,
    gate: &CountingGate,
    keys: std::ops::Range<u64>,
) -> (usize, Vec<Message>) {
    gate.hold(true);
    let before = gate.reached.load(Ordering::SeqCst);
    let (sender, response_receiver) = std::sync::mpsc::channel();
    for key in keys.clone() {
        let (mut client, sender) = (node.client(), sender.clone());
        std::thread::spawn(move || {
            sender
                .send(client.request(&api_request("read", key, 20_000)))
                .unwrap()
        });
    }
    let mut responses = Vec::new();
    let mut reached = 0;
    wait_for("each request at a server or with a response", || {
        responses.extend(response_receiver.try_iter());
        reached = gate.reached.load(Ordering::SeqCst) - before;
        responses.len() + reached == keys.clone().count()
    });
    gate.hold(false);
    while responses.len() < keys.clone().count() {
        responses.push(
            response_receiver
                .recv_timeout(WAIT_TIMEOUT)
                .expect("a response to each request"),
        );
    }
    (reached, responses)
}

/// Holds the responses of a test's servers and counts the requests that have reached the servers.
#[derive(Default)]
struct CountingGate {
    held: Mutex<bool>,
    opened: Condvar,
    reached: AtomicUsize,
}

impl CountingGate {
    fn hold(&self, held: bool) {
        *self.held.lock().unwrap() = held;
        self.opened.notify_all();
    }

    fn wait_until_open(&self) {
        self.reached.fetch_add(1, Ordering::SeqCst);
        let held = self.held.lock().unwrap();
        drop(
            self.opened
                .wait_timeout_while(held, WAIT_TIMEOUT, |held| *held)
                .unwrap(),
        );
    }
}

// Guards against an outage that sustains itself: an overloaded origin fails the misses, the clients
// and the node retry them, and the servers never cache the requested values.
#[test]
fn likely_misses_are_limited_while_origin_fetches_fail_and_hits_are_served() {
    let gate = Arc::new(CountingGate::default());
    let origin_fails = Arc::new(AtomicBool::new(false));
    let server = || {
        let (gate, origin_fails) = (gate.clone(), origin_fails.clone());
        // The server has keys under 1000 in its cache and fetches all others.
        CacheServer::start(move |message| {
            let key = message
                .header("req-id")
                .and_then(|id| u64::from_str_radix(id, 16).ok());
            if key.is_some_and(|key| key < 1000) {
                return Reply::Response(http_response("200 OK", "", "held"));
            }
            gate.wait_until_open();
            Reply::Response(match origin_fails.load(Ordering::SeqCst) {
                true => http_response("500 Internal Server Error", "", ""),
                false => http_response("200 OK", "", "fetched"),
            })
        })
    };
    let servers = [server(), server(), server()];
    let names = ["s-1", "s-2", "s-3"];
    let hosts: Vec<_> = servers
        .iter()
        .zip(names)
        .map(|(server, name)| server.entry(name, "ready"))
        .collect();
    let node = Node::ready(&config(Discovery::start(&hosts).address));
    (0..20).for_each(|key| assert_eq!(node.read("read", key).body, b"held"));
    let mut keys = (1..).map(|round| round * 1000..round * 1000 + 20);
    let mut send_round = || send_concurrently(&node, &gate, keys.next().unwrap());
    // While the origin succeeds, no request is held back.
    assert_eq!(send_round().0, 20);
    origin_fails.store(true, Ordering::SeqCst);
    wait_for("the limit on likely misses", || send_round().0 <= 3);
    let (_, round_responses) = send_round();
    let shed = round_responses
        .iter()
        .filter(|response| response.status() == 503)
        .collect::<Vec<_>>();
    assert!(
        shed.len() >= 17
            && shed
                .iter()
                .all(|response| response.header("retry-after").is_some())
    );
    (0..20).for_each(|key| assert_eq!(node.read("read", key).body, b"held", "key {key}"));
    origin_fails.store(false, Ordering::SeqCst);
    wait_for("the end of the limit on likely misses", || {
        send_round().0 == 20
    });
}
