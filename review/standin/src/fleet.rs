//! Case: a fleet whose watches are all reset at once, and cache servers that begin to drain then.

use crate::discovery::{Host, VERSION};
use crate::http::read_message;
use crate::platform::{classes, Node, Options};
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const NODES: usize = 350;
const SERVERS: usize = 8;
/// Servers that begin to drain, the first ones.
const DRAINING: usize = 2;
/// Time of discovery that a call takes, and the longest wait for a turn.
const CALL_TIME: Duration = Duration::from_micros(13_600);
const QUEUE_LIMIT: Duration = Duration::from_secs(2);
/// Time from the reset of all watches to the drain.
const DRAIN_AFTER: Duration = Duration::from_millis(DRAIN_AFTER_MS);
const DRAIN_AFTER_MS: u64 = 2000;
/// A node counts as told of a change at the latest so long after it.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// Time that a node then has, with the 50 ms by which every limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(300);

/// Discovery, which handles calls in turn.
struct Discovery {
    /// End of the last turn that is given.
    busy_until: Mutex<Instant>,
    version: Mutex<u64>,
    changed: Condvar,
    hosts: Vec<Host>,
    /// Open connections, to reset them.
    connections: Mutex<Vec<TcpStream>>,
    /// Number of the reset: a call from before is not answered.
    resets: AtomicU64,
    /// By node: when an answer with the drain was written to it.
    written: Mutex<BTreeMap<usize, Duration>>,
    watching: Mutex<BTreeMap<usize, u64>>,
    refused: AtomicU64,
    calls: AtomicU64,
}

impl Discovery {
    fn list(&self, complete: bool, version: u64) -> String {
        let drained = version > VERSION;
        let hosts = self
            .hosts
            .iter()
            .enumerate()
            .filter(|(index, _)| complete || *index < DRAINING);
        let hosts: Vec<_> = hosts
            .map(|(index, host)| {
                let state = if drained && index < DRAINING { "draining" } else { "ready" };
                format!(
                    r#"{{"host":"{}","dial":"{}","site":"boston","class":"fast-1c","block":1,"health":"{state}","share":1.0,"born_ms":0}}"#,
                    host.id, host.address
                )
            })
            .collect();
        format!(
            r#"{{"seq":{version},"whole":{complete},"hosts":[{}]}}"#,
            hosts.join(",")
        )
    }

    fn serve(&self, mut stream: TcpStream, node: usize, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.connections.lock().unwrap().push(stream.try_clone()?);
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest)? {
            self.calls.fetch_add(1, Ordering::Relaxed);
            let reset = self.resets.load(Ordering::SeqCst);
            let turn_ends = {
                let mut busy_until = self.busy_until.lock().unwrap();
                let begins = (*busy_until).max(Instant::now());
                if begins - Instant::now() > QUEUE_LIMIT {
                    None
                } else {
                    *busy_until = begins + CALL_TIME;
                    Some(*busy_until)
                }
            };
            let Some(turn_ends) = turn_ends else {
                // Refused once it has waited too long.
                sleep(QUEUE_LIMIT);
                self.refused.fetch_add(1, Ordering::Relaxed);
                stream.write_all(
                    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy",
                )?;
                continue;
            };
            sleep(turn_ends.saturating_duration_since(Instant::now()));
            let query = request
                .second_word()
                .split_once('?')
                .map_or("", |(_, query)| query);
            let number = |name: &str| -> Option<u64> {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(known, _)| *known == name)?.1.parse().ok()
            };
            let body = match number("after") {
                None => {
                    let version = *self.version.lock().unwrap();
                    self.list(true, version)
                }
                Some(after) => {
                    let until =
                        Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                    *self.watching.lock().unwrap().entry(node).or_default() += 1;
                    let mut version = self.version.lock().unwrap();
                    while *version <= after && self.resets.load(Ordering::SeqCst) == reset {
                        let Some(left) = until.checked_duration_since(Instant::now()) else {
                            break;
                        };
                        version = self.changed.wait_timeout(version, left).unwrap().0;
                    }
                    if *version <= after {
                        format!(r#"{{"seq":{version},"whole":false,"hosts":[]}}"#)
                    } else {
                        self.list(false, *version)
                    }
                }
            };
            if self.resets.load(Ordering::SeqCst) != reset {
                return Ok(());
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(format!("{head}{body}").as_bytes())?;
            if body.contains("draining") {
                let at = record.elapsed();
                self.written.lock().unwrap().entry(node).or_insert_with(|| {
                    record.line(&format!("the drain is written to node {node}"));
                    at
                });
            }
        }
        Ok(())
    }
}

pub fn run(trouble: bool, folder: &Path, record: &Record) -> io::Result<bool> {
    // By node and server: when requests reached the server.
    let arrivals = Arc::new(Mutex::new(Vec::<(usize, usize, Duration)>::new()));
    let mut hosts = Vec::new();
    for number in 0..SERVERS {
        hosts.push(Host {
            id: format!("s-{number:08x}"),
            address: start_server(number, arrivals.clone(), record.clone())?,
        });
    }
    let discovery = Arc::new(Discovery {
        busy_until: Mutex::new(Instant::now()),
        version: Mutex::new(VERSION),
        changed: Condvar::new(),
        hosts: hosts.clone(),
        connections: Mutex::default(),
        resets: AtomicU64::new(0),
        written: Mutex::default(),
        watching: Mutex::default(),
        refused: AtomicU64::new(0),
        calls: AtomicU64::new(0),
    });
    let mut nodes = Vec::new();
    for number in 0..NODES {
        // Each node reaches discovery at an address of its own.
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (discovery, record) = (discovery.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (discovery, record) = (discovery.clone(), record.clone());
                thread::spawn(move || {
                    let _ = discovery.serve(stream, number, &record);
                });
            }
        });
        let options = Options {
            memory_mb: 64,
            sockets: 256,
            nodes: NODES as u32,
            classes: classes(),
            discovery: address,
            hosts: hosts.clone(),
        };
        nodes.push(Node::start(options, &folder.join(format!("n{number}")))?);
    }
    record.say(&format!("{NODES} nodes are ready"));
    let until = Instant::now() + Duration::from_secs(20);
    while discovery.watching.lock().unwrap().len() < NODES && Instant::now() < until {
        sleep(Duration::from_millis(50));
    }
    record.say(&format!(
        "{} nodes have a watch",
        discovery.watching.lock().unwrap().len()
    ));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(number, node)| {
            let (address, stop) = (node.address, stop.clone());
            thread::spawn(move || client(address, number, &stop))
        })
        .collect();
    sleep(Duration::from_secs(3));
    discovery.calls.store(0, Ordering::Relaxed);
    discovery.refused.store(0, Ordering::Relaxed);
    if trouble {
        record.say("all watches are reset");
        discovery.resets.fetch_add(1, Ordering::SeqCst);
        for connection in discovery.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        discovery.changed.notify_all();
    }
    sleep(DRAIN_AFTER);
    let drained_at = record.elapsed();
    *discovery.version.lock().unwrap() = VERSION + 1;
    discovery.changed.notify_all();
    record.say(&format!("{DRAINING} servers begin to drain"));
    sleep(Duration::from_secs(12));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let written = discovery.written.lock().unwrap();
    let told = |node: usize| {
        written
            .get(&node)
            .copied()
            .unwrap_or(Duration::MAX)
            .min(drained_at + TOLD_AFTER)
    };
    let late: Vec<_> = (0..NODES)
        .filter(|node| {
            written
                .get(node)
                .is_none_or(|at| *at > drained_at + TOLD_AFTER)
        })
        .collect();
    record.say(&format!(
        "calls since the reset {}, of these refused {}; nodes that had the drain later than 6 s: {}",
        discovery.calls.load(Ordering::Relaxed),
        discovery.refused.load(Ordering::Relaxed),
        late.len()
    ));
    let arrivals = arrivals.lock().unwrap();
    let broken: Vec<_> = arrivals
        .iter()
        .filter(|(node, server, at)| {
            *server < DRAINING && *at > told(*node).max(drained_at) + GRACE
        })
        .collect();
    for (node, server, at) in &broken {
        record.line(&format!(
            "node {node} sent to draining server {server} at {at:?}, told at {:?}",
            told(*node)
        ));
    }
    record.say(&format!("{} requests reached servers", arrivals.len()));
    if !broken.is_empty() {
        record.say(&format!("BROKEN: {} requests went to a draining server more than 250 ms (and 50 ms) after their node was told", broken.len()));
    }
    Ok(broken.is_empty())
}

fn client(address: SocketAddr, node: usize, stop: &AtomicBool) {
    let mut sequence = 0_u64;
    let mut stream: Option<TcpStream> = None;
    while !stop.load(Ordering::Relaxed) {
        sequence += 1;
        let mut ask = || -> io::Result<()> {
            let mut connection = match stream.take() {
                Some(connection) => connection,
                None => TcpStream::connect(address)?,
            };
            connection.set_nodelay(true)?;
            connection.set_read_timeout(Some(Duration::from_secs(3)))?;
            let key = (sequence + node as u64 * 1_000_003).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            write!(
                connection,
                "GET /api/{key:016x} HTTP/1.1\r\nHost: s\r\nReq-Id: {node:04x}{sequence:012x}\r\nReq-Kind: lookup\r\nReq-Deadline-Ms: 1250\r\n\r\n"
            )?;
            if let Some(answer) = read_message(&mut connection, &mut Vec::new())? {
                if !answer.wants_close() {
                    stream = Some(connection);
                }
            }
            Ok(())
        };
        let _ = ask();
        sleep(Duration::from_millis(100));
    }
}

fn start_server(
    number: usize,
    arrivals: Arc<Mutex<Vec<(usize, usize, Duration)>>>,
    record: Record,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (arrivals, record) = (arrivals.clone(), record.clone());
            thread::spawn(move || {
                let _ = serve(stream, number, &arrivals, &record);
            });
        }
    });
    Ok(address)
}

fn serve(
    mut stream: TcpStream,
    number: usize,
    arrivals: &Mutex<Vec<(usize, usize, Duration)>>,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut rest)? {
        let id = request.header("req-id").unwrap_or("");
        let node = usize::from_str_radix(id.get(..4).unwrap_or(""), 16).unwrap_or(0);
        arrivals
            .lock()
            .unwrap()
            .push((node, number, record.elapsed()));
        sleep(Duration::from_millis(10));
        stream.write_all(b"HTTP/1.1 200 OK\r\nSrv-Cache: hit\r\nContent-Length: 4\r\n\r\ndone")?;
    }
    Ok(())
}
