//! A drain or removal that coincides with another event: once the drain grace has passed, no new
//! request reaches the leaving server.

mod node_common;

use node_common::endpoint_pair::{with_start_time, EndpointPair};
use node_common::manual_discovery::{list, ManualDiscovery};
use node_common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest accepted time from the publication of a drain to the first byte of the last request: the
/// default drain grace of 250 ms, and 50 ms for the sockets.
const DRAIN_LIMIT: Duration = Duration::from_millis(300);

/// Starts a server that serves every request and records when it received each.
fn start_recording_server() -> (CacheServer, Arc<Mutex<Vec<Instant>>>) {
    let receive_times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let recorded_times = receive_times.clone();
    let server = CacheServer::start(move |_| {
        recorded_times.lock().unwrap().push(Instant::now());
        Reply::Response(http_response("200 OK", "", "value"))
    });
    (server, receive_times)
}

/// Clients that keep many requests in flight until they are stopped.
struct BusyClients {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(u64, u64)>>,
}

impl BusyClients {
    fn start(node: &Node, threads: u64, connections: u64) -> Self {
        let (stop, address) = (Arc::new(AtomicBool::new(false)), node.address);
        let spawn_thread = |thread: u64| {
            let stop = stop.clone();
            thread::spawn(move || {
                let connect = || {
                    let stream = TcpStream::connect(address).unwrap();
                    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                    Client::from_stream(stream)
                };
                let mut clients: Vec<_> = (0..connections).map(|_| connect()).collect();
                let (mut served, mut not_served, mut round) = (0, 0, 0);
                while !stop.load(Ordering::SeqCst) {
                    round += 1;
                    for (i, client) in clients.iter_mut().enumerate() {
                        client.try_send(&api_request(
                            "read",
                            thread << 48 | round << 16 | i as u64,
                            20_000,
                        ));
                    }
                    for client in &mut clients {
                        let response = client.read_response();
                        match response.as_ref().map(Message::status) {
                            Some(200) => served += 1,
                            _ => not_served += 1,
                        }
                        if response
                            .is_none_or(|response| response.header("connection") == Some("close"))
                        {
                            *client = connect();
                        }
                    }
                }
                (served, not_served)
            })
        };
        let threads = (0..threads).map(spawn_thread).collect();
        Self { stop, threads }
    }

    /// Stops the clients and returns the numbers of requests that were served and not served.
    fn stop(self) -> (u64, u64) {
        self.stop.store(true, Ordering::SeqCst);
        let counts = self
            .threads
            .into_iter()
            .map(|thread| thread.join().unwrap());
        counts.fold((0, 0), |total, thread_counts| {
            (total.0 + thread_counts.0, total.1 + thread_counts.1)
        })
    }
}

/// Cache servers, some of which leave, with the receive times of their requests.
struct Fleet(Vec<(CacheServer, Arc<Mutex<Vec<Instant>>>)>);

impl Fleet {
    fn start(servers: usize) -> Self {
        Self((0..servers).map(|_| start_recording_server()).collect())
    }

    /// Returns the entries of all servers, draining where `is_leaving` holds and ready otherwise.
    fn entries(&self, is_leaving: impl Fn(usize) -> bool) -> Vec<Value> {
        let health = |i| if is_leaving(i) { "draining" } else { "ready" };
        let numbered_servers = self.0.iter().enumerate();
        numbered_servers
            .map(|(i, (server, _))| server.entry(&format!("s-{i}"), health(i)))
            .collect()
    }

    /// Returns the receive times of all requests to the leaving servers.
    fn request_times(&self, is_leaving: impl Fn(usize) -> bool) -> Vec<Instant> {
        let leaving = self.0.iter().enumerate().filter(|(i, _)| is_leaving(*i));
        leaving
            .flat_map(|(_, (_, receive_times))| receive_times.lock().unwrap().clone())
            .collect()
    }
}

/// Starts a node whose socket limit suffices for many clients, and waits until it is ready with the
/// first list.
fn start_node_for_many_clients(discovery: &ManualDiscovery, first_list: &str) -> Node {
    let mut config = config(discovery.address);
    config["limits"]["sockets"] = json!(8192);
    let node = Node::start(&config);
    discovery.next_call().answer(first_list);
    wait_for("the node's readiness", || {
        node.get("/healthz").status() == 200
    });
    node
}

// Guards against a list that is applied late because very many clients are busy at once.
#[test]
fn a_drain_notified_while_many_clients_are_busy_takes_effect_in_time() {
    let fleet = Fleet::start(20);
    let discovery = ManualDiscovery::start();
    let node = start_node_for_many_clients(&discovery, &list(1, true, &fleet.entries(|_| false)));
    let busy_clients = BusyClients::start(&node, 4, 25);
    wait_for("2000 requests from the busy clients", || {
        fleet.request_times(|_| true).len() > 2_000
    });
    let (mut max_delay, mut drains) = (Duration::ZERO, 0);
    for round in 0..6 {
        // The two halves of the fleet drain in turn.
        let is_leaving = |i: usize| i % 2 == round % 2;
        let mut watch = discovery.next_call();
        watch.answer(&list(round as u64 + 2, true, &fleet.entries(is_leaving)));
        let published_at = Instant::now();
        let before = fleet.request_times(|i| !is_leaving(i)).len();
        wait_for("requests to the other servers", || {
            published_at.elapsed() > 2 * DRAIN_LIMIT
                && fleet.request_times(|i| !is_leaving(i)).len() > before + 200
        });
        let received_at = fleet.request_times(is_leaving);
        max_delay = received_at
            .iter()
            .map(|at| at.saturating_duration_since(published_at))
            .fold(max_delay, Duration::max);
        drains += 1;
    }
    let (served, _) = busy_clients.stop();
    println!(
        "{served} requests served, {drains} drains, \
         last request to a draining server after {max_delay:?}"
    );
    assert!(
        max_delay < DRAIN_LIMIT,
        "a draining server received a request after {max_delay:?}"
    );
}

/// Stops the node's process, calls `publish_list`, sends a request from each client and continues
/// the process. Returns the number of these requests that reach leaving servers.
fn send_burst(
    node: &Node,
    clients: &mut [Client],
    fleet: &Fleet,
    is_leaving: impl Fn(usize) -> bool + Copy,
    publish_list: impl FnOnce(),
    first_key: u64,
) -> usize {
    let before = fleet.request_times(is_leaving).len();
    node.signal("-STOP");
    publish_list();
    for (key, client) in (first_key..).zip(clients.iter_mut()) {
        client.send(&api_request("read", key, 20_000));
    }
    let continued_at = Instant::now();
    node.signal("-CONT");
    let mut served = 0;
    for client in clients.iter_mut() {
        match client.read_response() {
            Some(response) if response.header("connection") != Some("close") => {
                served += usize::from(response.status() == 200);
            }
            _ => *client = node.client(),
        }
    }
    let received_at = fleet.request_times(is_leaving);
    let max_delay = received_at
        .iter()
        .map(|at| at.saturating_duration_since(continued_at))
        .max();
    println!(
        "{served} requests served, {} at leaving servers, \
         the last one {max_delay:?} after the node continued",
        received_at.len() - before
    );
    received_at.len() - before
}

// Guards against a list with a drain that waits in the driver's queue behind a burst of requests
// that arrived after the list.
#[test]
fn a_drain_notified_before_a_burst_of_requests_takes_effect_before_them() {
    let fleet = Fleet::start(20);
    let discovery = ManualDiscovery::start();
    let node = start_node_for_many_clients(&discovery, &list(1, true, &fleet.entries(|_| false)));
    let mut clients: Vec<_> = (0..600).map(|_| node.client()).collect();
    for (key, client) in (0..).zip(clients.iter_mut().take(200)) {
        // The node may have closed a connection that was idle for long.
        if client
            .try_request(&api_request("read", key, 20_000))
            .is_none()
        {
            *client = node.client();
        }
    }
    let mut watch = discovery.next_call();
    let is_leaving = |i: usize| i.is_multiple_of(2);
    // The number of requests that the node admits depends on the machine. Without a drain, enough
    // requests must reach these servers for the fault to show.
    let mut baseline = 0;
    wait_for("a burst with over 100 requests to these servers", || {
        baseline = send_burst(&node, &mut clients, &fleet, is_leaving, || (), 1_000);
        baseline > 100
    });
    let drain = list(2, true, &fleet.entries(is_leaving));
    let leaked = send_burst(
        &node,
        &mut clients,
        &fleet,
        is_leaving,
        || watch.answer(&drain),
        2_000,
    );
    // Requests that the node had begun to read before the drain may still be sent.
    assert!(
        leaked * 4 <= baseline,
        "{leaked} of 600 requests reached draining servers; {baseline} reached them without a drain"
    );
}

// Guards against a request sent on a connection that was begun before its server was drained, was
// removed and listed again, or was moved: the connection then leads to a server that accepts no new
// request or no longer exists.
#[test]
fn a_connection_established_after_a_drain_removal_or_move_carries_no_request() {
    // Entries published for the slow server while connections to it are pending: its health,
    // whether its address is new, and its start time.
    let cases: [&[(&str, bool, u64)]; 7] = [
        &[("ready", true, 0)],
        &[("gone", false, 0)],
        &[("gone", false, 0), ("draining", false, 0)],
        &[("draining", false, 0), ("draining", true, 0)],
        &[("draining", false, 0), ("draining", false, 9)],
        &[
            ("gone", false, 0),
            ("ready", false, 9),
            ("draining", false, 9),
        ],
        &[("gone", false, 0), ("ready", true, 9)],
    ];
    for changes in cases {
        let slow = SlowServer::start();
        let (other, moved) = (CacheServer::serving("value"), CacheServer::serving("moved"));
        let discovery = Discovery::start(&[
            endpoint_entry("s-1", slow.address, "ready"),
            other.entry("s-2", "ready"),
        ]);
        let node = Node::ready(&config(discovery.address));
        let mut clients: Vec<_> = (1..16).map(|key| (key, node.client())).collect();
        clients
            .iter_mut()
            .for_each(|(key, client)| client.send(&api_request("once", *key, 20_000)));
        wait_for("requests at the other server", || other.request_count() > 0);
        wait_for(
            "all other requests on connections to the slow server",
            || slow.pending_connections() + other.request_count() >= clients.len(),
        );
        assert!(slow.pending_connections() > 0);
        for (i, (health, at_new_address, start)) in changes.iter().enumerate() {
            let dial = if *at_new_address {
                moved.address
            } else {
                slow.address
            };
            discovery.publish(
                false,
                &[with_start_time(endpoint_entry("s-1", dial, health), *start)],
            );
            discovery.wait_until_applied(i as u64 + 2);
        }
        slow.accept();
        for (key, client) in &mut clients {
            assert_eq!(
                client.read_response().unwrap().status(),
                200,
                "{changes:?}: {key}"
            );
        }
        assert_eq!(slow.received().concat(), "", "{changes:?}");
        if changes.last().is_some_and(|last| last.0 != "ready") {
            assert_eq!(moved.request_count(), 0, "{changes:?}");
        }
    }
}

/// Returns, in ascending order, 16 pauses between the reset of a call and the next call of a node
/// with pushed lists and this drain grace.
fn pauses_after_resets(grace: Duration) -> Vec<Duration> {
    let pair = EndpointPair::start();
    let discovery = ManualDiscovery::start();
    let mut config = config(discovery.address);
    config["settings"]["membership_mode"] = json!("automatic");
    config["settings"]["safety"] = json!({"stop_sending_within_us": grace.as_micros() as u64});
    let _node = Node::start(&config);
    let mut first = discovery.next_call();
    first.answer(&list(1, true, &pair.entries("ready")));
    // The first pause after an answer is zero and is not measured.
    discovery.next_call().reset();
    discovery.next_call().reset();
    let mut pauses = Vec::new();
    for _ in 0..16 {
        let reset_at = Instant::now();
        let call = discovery.next_call();
        pauses.push(reset_at.elapsed());
        call.reset();
    }
    pauses.sort_unstable();
    pauses
}

// Guards against settings that do not reach the discovery client: with pushed lists, a node counts
// as informed of all that its agent knows, and the drain grace may be this short. The tests of the
// client check the longest pause in virtual time; here, the machine may delay all but the shortest.
#[test]
fn with_pushed_lists_a_failing_agent_is_polled_again_within_the_configured_time() {
    for grace in [60, 250, 1_000].map(Duration::from_millis) {
        let pauses = pauses_after_resets(grace);
        println!("{grace:?}: {pauses:?}");
        let (shortest, first_quartile) = (pauses[0], pauses[pauses.len() / 4]);
        assert!(
            first_quartile <= grace,
            "the first quartile of the pauses is {first_quartile:?}, above the grace of {grace:?}"
        );
        assert!(
            shortest >= grace / 10,
            "the shortest pause is {shortest:?}, below a tenth of the drain grace of {grace:?}"
        );
    }
}

// Guards against a drain that takes effect after a fixed delay of the node, whatever the configured
// drain grace: a grace as short as these leaves no time for such a delay.
#[test]
fn a_drain_takes_effect_before_the_next_request_however_short_the_configured_time() {
    for grace_us in [0, 60_000, 1_000_000] {
        let pair = EndpointPair::start();
        let discovery = Discovery::start(&pair.entries("ready"));
        let mut config = config(discovery.address);
        config["settings"]["safety"] = json!({"stop_sending_within_us": grace_us});
        let node = Node::ready(&config);
        pair.wait_until_both_used(&node);
        discovery.publish(false, &pair.entries("draining")[..1]);
        // The node has applied the list when it calls for the next list.
        discovery.wait_until_applied(2);
        pair.assert_leaving_server_unused(&node);
    }
}

/// Returns the number of bytes written to connections of this server that the server has not read:
/// in its receive queues and in the send queues of its peers.
fn unread_bytes(server: SocketAddr) -> usize {
    let port = format!("0100007F:{:04X}", server.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let fields = sockets
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    // State 1 is an established connection. The queues are the hexadecimal numbers of bytes to send
    // and to read.
    let established = fields.filter(|fields| fields[3] == "01");
    let queues = established.filter_map(|fields| {
        let (send_queue, receive_queue) = fields[4].split_once(':')?;
        let bytes = |text| usize::from_str_radix(text, 16).unwrap();
        match (fields[1] == port, fields[2] == port) {
            (true, _) => Some(bytes(receive_queue)),
            (_, true) => Some(bytes(send_queue)),
            _ => None,
        }
    });
    queues.sum()
}

// Guards against a request whose first byte is sent long after the request was assigned to its
// connection: the server responds early, without reading, and the unread bytes of earlier requests
// block the connection.
#[test]
fn a_request_behind_unread_bytes_is_sent_before_a_drain_or_not_at_all() {
    const BODY: usize = 60_000;
    // Size of the shortest request head that a node writes.
    const HEAD: usize = 110;
    // Bytes that have not left the node after this time stay there until the server reads.
    const BLOCKED: Duration = Duration::from_secs(3);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let staying = CacheServer::serving("staying");
    let entries = |health: &str| {
        [
            endpoint_entry("s-1", address, health),
            staying.entry("s-2", "ready"),
        ]
    };
    let discovery = Discovery::start(&entries("ready")[..1]);
    let node = Node::ready(&config(discovery.address));
    let put = |id: usize| {
        format!(
            "PUT /api/{id:016x} HTTP/1.1\r\nHost: s\r\nReq-Id: {id:x}\r\nReq-Kind: read\r\n\
             Req-Deadline-Ms: 20000\r\nContent-Length: {BODY}\r\n\r\n{}",
            "v".repeat(BODY)
        )
    };
    let mut client = node.client();
    client.send(&put(1));
    let (mut server, _) = listener.accept().unwrap();
    let mut id = 1;
    // Each request is answered once it has left the node, until a request cannot leave in full.
    loop {
        let wait_start = Instant::now();
        let fully_sent = loop {
            thread::sleep(Duration::from_millis(20));
            if unread_bytes(address) >= id * (BODY + HEAD) {
                break true;
            }
            if wait_start.elapsed() > BLOCKED {
                break false;
            }
        };
        server
            .write_all(http_response("200 OK", "", "early").as_bytes())
            .unwrap();
        assert_eq!(client.read_response().unwrap().body, b"early", "id {id}");
        // A connection is not reused immediately after a response.
        thread::sleep(Duration::from_millis(40));
        id += 1;
        if !fully_sent {
            break;
        }
        client.send(&put(id));
        assert!(id < 1_000, "the connection accepted 1000 unread requests");
    }
    // The node assigns this request to the blocked connection, or to a new connection if it has
    // detected the blockage.
    client.send(&put(id));
    thread::sleep(Duration::from_millis(300));
    discovery.publish(true, &entries("draining"));
    discovery.wait_until_applied(2);
    thread::sleep(DRAIN_LIMIT);
    let mut last_request_id = String::new();
    let mut reader = BufReader::new(server);
    reader
        .get_mut()
        .set_read_timeout(Some(Duration::from_millis(1_500)))
        .unwrap();
    while let Ok(Some(message)) = Message::read(&mut reader) {
        last_request_id = message.header("req-id").unwrap().to_owned();
    }
    assert_ne!(
        last_request_id,
        format!("{id:x}"),
        "the first byte of the last request was sent after the drain grace"
    );
    // The request was not sent to the leaving server on another connection either.
    assert_eq!(client.read_response().unwrap().body, b"staying");
}
