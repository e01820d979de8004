//! A drain or an end that crosses another event: once its time is over, nothing new reaches the server that leaves.

mod node_common;

use node_common::endpoint_pair::{started_at, EndpointPair};
use node_common::manual_discovery::{list, ManualDiscovery};
use node_common::*;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What the rule leaves between the word of a drain and the last first byte: the settings' time and the 50 ms of sockets.
const GRACE: Duration = Duration::from_millis(300);

/// A server that serves, and the times at which it was asked.
fn timed() -> (CacheServer, Arc<Mutex<Vec<Instant>>>) {
    let times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let kept = times.clone();
    let server = CacheServer::start(move |_| {
        kept.lock().unwrap().push(Instant::now());
        Reply::Answer(answer("200 OK", "", "value"))
    });
    (server, times)
}

/// Clients that keep many requests open all the time, until they are stopped.
struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<(u64, u64)>>,
}

impl Crowd {
    fn start(node: &Node, threads: u64, connections: u64) -> Self {
        let (stop, address) = (Arc::new(AtomicBool::new(false)), node.address);
        let crowd = |thread: u64| {
            let stop = stop.clone();
            thread::spawn(move || {
                let connect = || {
                    let stream = TcpStream::connect(address).unwrap();
                    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                    Client::from_stream(stream)
                };
                let mut clients: Vec<_> = (0..connections).map(|_| connect()).collect();
                let (mut served, mut others, mut turn) = (0, 0, 0);
                while !stop.load(Ordering::SeqCst) {
                    turn += 1;
                    for (i, client) in clients.iter_mut().enumerate() {
                        client.try_send(&read(
                            "read",
                            thread << 48 | turn << 16 | i as u64,
                            20_000,
                        ));
                    }
                    for client in &mut clients {
                        let answer = client.answer();
                        match answer.as_ref().map(Message::status) {
                            Some(200) => served += 1,
                            _ => others += 1,
                        }
                        if answer.is_none_or(|answer| answer.header("connection") == Some("close"))
                        {
                            *client = connect();
                        }
                    }
                }
                (served, others)
            })
        };
        let threads = (0..threads).map(crowd).collect();
        Self { stop, threads }
    }

    /// Requests that were served, and those that were not.
    fn stop(self) -> (u64, u64) {
        self.stop.store(true, Ordering::SeqCst);
        let ends = self
            .threads
            .into_iter()
            .map(|thread| thread.join().unwrap());
        ends.fold((0, 0), |all, end| (all.0 + end.0, all.1 + end.1))
    }
}

/// Cache servers of which every second one is told to leave, and when each was asked.
struct Fleet(Vec<(CacheServer, Arc<Mutex<Vec<Instant>>>)>);

impl Fleet {
    fn start(servers: usize) -> Self {
        Self((0..servers).map(|_| timed()).collect())
    }

    fn entries(&self, leaves: impl Fn(usize) -> bool) -> Vec<Value> {
        let health = |i| if leaves(i) { "draining" } else { "ready" };
        let all = self.0.iter().enumerate();
        all.map(|(i, (server, _))| server.entry(&format!("s-{i}"), health(i)))
            .collect()
    }

    /// When those that leave were asked.
    fn received(&self, leaves: impl Fn(usize) -> bool) -> Vec<Instant> {
        let leaving = self.0.iter().enumerate().filter(|(i, _)| leaves(*i));
        leaving
            .flat_map(|(_, (_, times))| times.lock().unwrap().clone())
            .collect()
    }
}

/// A node with places for this many clients, which has taken in the first list.
fn roomy_node(discovery: &ManualDiscovery, first: &str) -> Node {
    let mut config = config(discovery.address);
    config["limits"]["sockets"] = json!(8192);
    let node = Node::start(&config);
    discovery.next_call().answer(first);
    wait_for("the node's readiness", || {
        node.get("/healthz").status() == 200
    });
    node
}

// Guards against a list that is read late because very many clients are busy at once.
#[test]
fn a_drain_notified_while_many_clients_are_busy_takes_effect_in_time() {
    let fleet = Fleet::start(20);
    let discovery = ManualDiscovery::start();
    let node = roomy_node(&discovery, &list(1, true, &fleet.entries(|_| false)));
    let crowd = Crowd::start(&node, 4, 25);
    wait_for("a crowd at work", || fleet.received(|_| true).len() > 2_000);
    let (mut worst, mut heeded) = (Duration::ZERO, 0);
    for turn in 0..6 {
        // Half of them drain, and the other half after them.
        let leaves = |i: usize| i % 2 == turn % 2;
        let mut watch = discovery.next_call();
        watch.answer(&list(turn as u64 + 2, true, &fleet.entries(leaves)));
        let told = Instant::now();
        let before = fleet.received(|i| !leaves(i)).len();
        wait_for("the others' work", || {
            told.elapsed() > 2 * GRACE && fleet.received(|i| !leaves(i)).len() > before + 200
        });
        let asked = fleet.received(leaves);
        worst = asked
            .iter()
            .map(|at| at.saturating_duration_since(told))
            .fold(worst, Duration::max);
        heeded += 1;
    }
    let (served, _) = crowd.stop();
    println!("served {served}, the last send {worst:?} after the word, {heeded} times");
    assert!(worst < GRACE, "{worst:?}");
}

/// Has a node that stands still meet this list and then a burst of requests; how many of these reach those that leave.
fn burst(
    node: &Node,
    clients: &mut [Client],
    fleet: &Fleet,
    leaves: impl Fn(usize) -> bool + Copy,
    word: impl FnOnce(),
    first_key: u64,
) -> usize {
    let before = fleet.received(leaves).len();
    node.signal("-STOP");
    word();
    for (key, client) in (first_key..).zip(clients.iter_mut()) {
        client.send(&read("read", key, 20_000));
    }
    let told = Instant::now();
    node.signal("-CONT");
    let mut served = 0;
    for client in clients.iter_mut() {
        match client.answer() {
            Some(answer) if answer.header("connection") != Some("close") => {
                served += usize::from(answer.status() == 200);
            }
            _ => *client = node.client(),
        }
    }
    let asked = fleet.received(leaves);
    let worst = asked
        .iter()
        .map(|at| at.saturating_duration_since(told))
        .max();
    println!(
        "{served} served, {} to the leaving, the last {worst:?} after",
        asked.len() - before
    );
    asked.len() - before
}

// Guards against a list that tells of a drain and waits in the driver's queue behind a burst of requests that came after it.
#[test]
fn a_drain_notified_before_a_burst_of_requests_takes_effect_before_them() {
    let fleet = Fleet::start(20);
    let discovery = ManualDiscovery::start();
    let node = roomy_node(&discovery, &list(1, true, &fleet.entries(|_| false)));
    let mut clients: Vec<_> = (0..600).map(|_| node.client()).collect();
    for (key, client) in (0..).zip(clients.iter_mut().take(200)) {
        // One that has stood idle for long the node may have closed.
        if client.try_request(&read("read", key, 20_000)).is_none() {
            *client = node.client();
        }
    }
    let mut watch = discovery.next_call();
    let leaves = |i: usize| i.is_multiple_of(2);
    // How many of a burst the node has room for goes with the machine: one that shows the fault has to come first.
    let mut usual = 0;
    wait_for("a burst of which over 100 reach these servers", || {
        usual = burst(&node, &mut clients, &fleet, leaves, || (), 1_000);
        usual > 100
    });
    let drain = list(2, true, &fleet.entries(leaves));
    let leaked = burst(
        &node,
        &mut clients,
        &fleet,
        leaves,
        || watch.answer(&drain),
        2_000,
    );
    // Those that the node has begun to read by then may go out.
    assert!(
        leaked * 4 <= usual,
        "{leaked} of a burst of 600 after the drain was told, {usual} without one"
    );
}

// Guards against a request that goes out on a connection which was begun before its server was told to leave, was forgotten
// and listed again, or moved: what comes up then leads to one that wants nothing new, or is no more.
#[test]
fn a_connection_established_after_a_drain_removal_or_move_carries_no_request() {
    // What is told of the slow server while connections to it are being made: its health, where it is, its start.
    let days: [&[(&str, bool, u64)]; 7] = [
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
    for day in days {
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
            .for_each(|(key, client)| client.send(&read("once", *key, 20_000)));
        wait_for("those of the other server", || other.count() > 0);
        wait_for("those of the slow one", || {
            slow.pending_connections() + other.count() >= clients.len()
        });
        assert!(slow.pending_connections() > 0);
        for (i, (health, at_new_address, start)) in day.iter().enumerate() {
            let dial = if *at_new_address {
                moved.address
            } else {
                slow.address
            };
            discovery.publish(
                false,
                &[started_at(endpoint_entry("s-1", dial, health), *start)],
            );
            discovery.wait_until_applied(i as u64 + 2);
        }
        slow.accept();
        for (key, client) in &mut clients {
            assert_eq!(client.answer().unwrap().status(), 200, "{day:?}: {key}");
        }
        assert_eq!(slow.received().concat(), "", "{day:?}");
        if day.last().is_some_and(|last| last.0 != "ready") {
            assert_eq!(moved.count(), 0, "{day:?}");
        }
    }
}

/// How soon after a call that was reset the next one comes, for some of them, where lists are pushed and the settings
/// leave this much time after a drain.
fn pauses_after_resets(grace: Duration) -> Vec<Duration> {
    let pair = EndpointPair::start();
    let discovery = ManualDiscovery::start();
    let mut config = config(discovery.address);
    config["settings"]["membership_mode"] = json!("automatic");
    config["settings"]["safety"] = json!({"stop_sending_within_us": grace.as_micros() as u64});
    let _node = Node::start(&config);
    let mut first = discovery.next_call();
    first.answer(&list(1, true, &pair.entries("ready")));
    // The first pause after an answer is none.
    discovery.next_call().reset();
    discovery.next_call().reset();
    let mut pauses = Vec::new();
    for _ in 0..16 {
        let reset = Instant::now();
        let call = discovery.next_call();
        pauses.push(reset.elapsed());
        call.reset();
    }
    pauses.sort_unstable();
    pauses
}

// Guards against settings that do not reach the client of discovery: where lists are pushed, what the agent has counts as told
// at once, and a drain's time may be as short as this. That no pause is longer is tested in virtual time, beside the
// client: here all but the shortest may be the machine's.
#[test]
fn with_pushed_lists_a_failing_agent_is_polled_again_within_the_configured_time() {
    for grace in [60, 250, 1_000].map(Duration::from_millis) {
        let pauses = pauses_after_resets(grace);
        println!("{grace:?}: {pauses:?}");
        let (shortest, quarter) = (pauses[0], pauses[pauses.len() / 4]);
        assert!(quarter <= grace, "{quarter:?} of {grace:?}");
        assert!(
            shortest >= grace / 10,
            "asked without end: {shortest:?} of {grace:?}"
        );
    }
}

// Guards against a drain that is heeded by a clock of the node's own, whatever time the settings leave: where that is as
// short as this, there is none to lose.
#[test]
fn a_drain_takes_effect_before_the_next_request_however_short_the_configured_time() {
    for grace_us in [0, 60_000, 1_000_000] {
        let pair = EndpointPair::start();
        let discovery = Discovery::start(&pair.entries("ready"));
        let mut config = config(discovery.address);
        config["settings"]["safety"] = json!({"stop_sending_within_us": grace_us});
        let node = Node::ready(&config);
        pair.wait_for_both(&node);
        discovery.publish(false, &pair.entries("draining")[..1]);
        // The node has taken the list in when it asks for the next one.
        discovery.wait_until_applied(2);
        pair.assert_unused(&node);
    }
}

/// Bytes that were written to a connection of this server and that nobody has read: here, and at whoever wrote them.
fn unread(server: SocketAddr) -> usize {
    let port = format!("0100007F:{:04X}", server.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let fields = sockets
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    // Of state 1, which stands; the queues are of bytes to be sent and to be read, in hexadecimal.
    let standing = fields.filter(|fields| fields[3] == "01");
    let queues = standing.filter_map(|fields| {
        let (sent, read) = fields[4].split_once(':')?;
        let bytes = |text| usize::from_str_radix(text, 16).unwrap();
        match (fields[1] == port, fields[2] == port) {
            (true, _) => Some(bytes(read)),
            (_, true) => Some(bytes(sent)),
            _ => None,
        }
    });
    queues.sum()
}

// Guards against a request whose first byte goes out long after it was given to its connection: the server answers early,
// without reading, and what it has not read of the request before stands in the way.
#[test]
fn a_request_behind_unread_bytes_is_sent_before_a_drain_or_not_at_all() {
    const BODY: usize = 60_000;
    // Of the heads that a node writes, the shortest.
    const HEAD: usize = 110;
    // What has not left the node after this does not until its server reads.
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
    // Each is answered once it has left the node, until one no longer does as a whole.
    loop {
        let stands = Instant::now();
        let whole = loop {
            thread::sleep(Duration::from_millis(20));
            if unread(address) >= id * (BODY + HEAD) {
                break true;
            }
            if stands.elapsed() > BLOCKED {
                break false;
            }
        };
        server
            .write_all(answer("200 OK", "", "early").as_bytes())
            .unwrap();
        assert_eq!(client.answer().unwrap().body, b"early", "request {id}");
        // Connections rest between two requests.
        thread::sleep(Duration::from_millis(40));
        id += 1;
        if !whole {
            break;
        }
        client.send(&put(id));
        assert!(id < 1_000, "a socket without end");
    }
    // This one is given to that connection, or to a new one if the node knows better.
    client.send(&put(id));
    thread::sleep(Duration::from_millis(300));
    discovery.publish(true, &entries("draining"));
    discovery.wait_until_applied(2);
    thread::sleep(GRACE);
    let mut seen = String::new();
    let mut reader = BufReader::new(server);
    reader
        .get_mut()
        .set_read_timeout(Some(Duration::from_millis(1_500)))
        .unwrap();
    while let Ok(Some(message)) = Message::read(&mut reader) {
        seen = message.header("req-id").unwrap().to_owned();
    }
    assert_ne!(
        seen,
        format!("{id:x}"),
        "its first byte went out after the drain's time"
    );
    // It was not on its way to the one that leaves, by another connection.
    assert_eq!(client.answer().unwrap().body, b"staying");
}
