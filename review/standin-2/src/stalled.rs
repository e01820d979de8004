//! Case: peers that stop in the middle of a request and stay.

use crate::client::{read_key, unique, Ending, Outcome};
use crate::fleet::{
    ready_entries, serve_after, whole_list, CacheServer, Discovery, Node, NodeOptions, SETTINGS,
    SIGTERM,
};
use crate::record::Record;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limits of a node as in the users' reports.
/// Limits of a node as in the users' reports.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 256;
/// Bad peers that are connected at once, at most: under the node's descriptors.
const PEERS: usize = 200;
/// The peers come in bursts, so long apart: whoever was closed since comes again.
const BURST_INTERVAL: Duration = Duration::from_secs(4);
/// Length that a peer states for its body: the largest that the protocol page allows.
const STATED_LENGTH: usize = 64 << 10;
/// Good requests a second. At most 31 are open at once: under a third of the descriptors.
const RATE: f64 = 20.0;
/// Time that a good client's request states, in milliseconds: 40 % of 2.5 s.
const DEADLINE_MS: u64 = 1_000;
/// After its time, a request without its final answer is lost later than this.
const GRACE: Duration = Duration::from_millis(550);
const LOAD_TIME: Duration = Duration::from_secs(40);
const TROUBLE_FROM: Duration = Duration::from_secs(3);
/// Number of bursts; no peer comes after the last.
const BURSTS: u32 = 5;

pub fn run(root: &Path, record: &Record, trouble: bool) -> io::Result<(bool, Vec<String>)> {
    let servers: Vec<_> = (0..6)
        .map(|index| {
            let delay = serve_after(Duration::from_millis(20));
            CacheServer::start(&format!("s-{index:08x}"), delay)
        })
        .collect::<io::Result<_>>()?;
    let discovery = Discovery::start(record, 41, &ready_entries(&servers))?;
    let mut node = Node::start(
        root,
        &NodeOptions {
            name: "n0",
            listen: None,
            discovery: discovery.address,
            memory_mb: MEMORY_MB,
            sockets: SOCKETS,
            known: whole_list(41, &servers),
            settings: SETTINGS,
        },
    )?;
    record.line(format!("the node is ready at {}", node.address));
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let crowd = trouble.then(|| {
        let (address, stop, record) = (node.address, stop.clone(), record.clone());
        thread::spawn(move || run_peers(address, started, &stop, &record))
    });
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut clients = Vec::new();
    while started.elapsed() < LOAD_TIME {
        let (address, outcomes) = (node.address, outcomes.clone());
        clients.push(thread::spawn(move || {
            let listen = Duration::from_millis(DEADLINE_MS) + GRACE;
            let outcome = read_key(address, "lookup", DEADLINE_MS, listen);
            outcomes.lock().unwrap().push(outcome);
        }));
        thread::sleep(Duration::from_secs_f64(1.0 / RATE));
    }
    for client in clients {
        let _ = client.join();
    }
    let running = matches!(node.child.try_wait(), Ok(None));
    node.signal(SIGTERM);
    let signalled = Instant::now();
    let ended = node.wait(Duration::from_millis(3_700));
    record.line(match ended {
        Some(status) => format!(
            "the node ended {:.2} s after SIGTERM: {status}",
            signalled.elapsed().as_secs_f64()
        ),
        None => "the node has not ended 3.7 s after SIGTERM".to_owned(),
    });
    stop.store(true, Ordering::Relaxed);
    drop(node);
    let crowd = crowd
        .and_then(|crowd| crowd.join().ok())
        .unwrap_or_default();
    let outcomes = outcomes.lock().unwrap();
    let mut counts = [0usize; 6];
    let (mut lost, mut lost_after) = (0, 0);
    for outcome in outcomes.iter() {
        let text = match &outcome.ending {
            Ending::Answered(200) => {
                counts[0] += 1;
                "200".to_owned()
            }
            Ending::Answered(status @ (429 | 503)) => {
                counts[1] += 1;
                status.to_string()
            }
            Ending::Answered(status) => {
                counts[2] += 1;
                status.to_string()
            }
            Ending::Closed => {
                counts[3] += 1;
                "closed without an answer".to_owned()
            }
            Ending::NotConnected => {
                counts[4] += 1;
                "not connected".to_owned()
            }
            Ending::Nothing => {
                counts[5] += 1;
                lost += 1;
                lost_after +=
                    usize::from(outcome.sent > started + TROUBLE_FROM + BURST_INTERVAL * BURSTS);
                "LOST: taken, no answer 0.55 s after its time, not closed".to_owned()
            }
        };
        record.line_at(
            outcome.sent,
            format!(
                "client: request {} ends after {:.3} s: {text}",
                outcome.id,
                outcome.seconds()
            ),
        );
    }
    let result = vec![
        format!(
            "{} good requests: {} served, {} refused, {} failed, {} closed unread, {} not connected, {} lost",
            outcomes.len(), counts[0], counts[1], counts[2], counts[3], counts[4], counts[5]
        ),
        format!(
            "bad peers: {} connections, at most {} at once; {} had neither an error nor a close after 3 s",
            crowd.connections, crowd.most_at_once, crowd.overdue
        ),
        format!("of the lost ones, {lost_after} were sent 4 s or more after the last bad peer had come"),
        format!("node: running at the end of the load: {running}; ended in 3.7 s after SIGTERM: {}", ended.is_some()),
        if lost > 0 { "the rule is broken: requests that the node has taken got no final answer".to_owned() }
        else { "the rule held".to_owned() },
    ];
    Ok((lost > 0, result))
}

/// Counts of the bad peers.
#[derive(Default)]
struct Crowd {
    connections: usize,
    most_at_once: usize,
    /// Peers that got neither an error nor a close within 3 s.
    overdue: usize,
}

/// A peer that has sent a part of its request.
struct Peer {
    stream: TcpStream,
    since: Instant,
    answered: bool,
}

/// Runs all bad peers: at each burst, as many come as are not connected any more.
fn run_peers(node: SocketAddr, started: Instant, stop: &AtomicBool, record: &Record) -> Crowd {
    let mut crowd = Crowd::default();
    let mut peers: Vec<Peer> = Vec::new();
    let mut bursts = 0;
    while !stop.load(Ordering::Relaxed) {
        if bursts < BURSTS && started.elapsed() >= TROUBLE_FROM + BURST_INTERVAL * bursts {
            bursts += 1;
            while peers.len() < PEERS {
                let Ok(peer) = stall(node) else { break };
                crowd.connections += 1;
                peers.push(peer);
            }
            crowd.most_at_once = crowd.most_at_once.max(peers.len());
            record.line(format!(
                "bad peers: {} are connected after burst {bursts}",
                peers.len()
            ));
        }
        peers.retain_mut(|peer| {
            let mut bytes = [0; 4096];
            match peer.stream.read(&mut bytes) {
                Ok(count) if count > 0 => {
                    // An error is an answer for such a peer; it stays until the node closes.
                    peer.answered = true;
                    true
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => true,
                _ => {
                    crowd.end(peer, "closed", record);
                    false
                }
            }
        });
        thread::sleep(Duration::from_millis(10));
    }
    for peer in &peers {
        crowd.end(peer, "still connected at the end", record);
    }
    crowd
}

impl Crowd {
    fn end(&mut self, peer: &Peer, how: &str, record: &Record) {
        let seconds = peer.since.elapsed().as_secs_f64();
        self.overdue += usize::from(!peer.answered && seconds > 3.0);
        let answer = if peer.answered {
            "an error"
        } else {
            "no error"
        };
        record.line_at(
            peer.since,
            format!("bad peer: got {answer}; {how} after {seconds:.2} s"),
        );
    }
}

/// Connects, and sends a head and the first KiB of a body.
fn stall(node: SocketAddr) -> io::Result<Peer> {
    let stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    let since = Instant::now();
    let head = format!(
        "PUT /api/{:016x} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {:016x}\r\nReq-Kind: lookup\r\n\
         Req-Deadline-Ms: 1000\r\nContent-Length: {STATED_LENGTH}\r\n\r\n",
        unique(),
        unique()
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + 1024, b'v');
    (&stream).write_all(&bytes)?;
    stream.set_nonblocking(true)?;
    Ok(Peer {
        stream,
        since,
        answered: false,
    })
}
