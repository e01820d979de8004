//! Case 1: long answers that cache servers write in small pieces.

use crate::discovery::{self, Host};
use crate::http::read_message;
use crate::platform::{classes, Node, Options, SIGKILL};
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Limits that the platform states to the node.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 256;
const SERVERS: usize = 9;
/// Clients, each with one connection and one request a second.
const CLIENTS: u64 = 40;
const LOAD_TIME: Duration = Duration::from_secs(12);
/// Time that a client states with its request.
const PATIENCE: Duration = Duration::from_millis(1250);
/// The largest body.
const BODY_BYTES: usize = 64 << 10;
/// Size of the pieces, and the time that a server takes to write all of an answer.
const PIECE_BYTES: usize = 64;
const ANSWER_TIME: Duration = Duration::from_millis(500);
const WORK_TIME: Duration = Duration::from_millis(20);

pub fn run(trouble: bool, folder: &Path, record: &Record) -> io::Result<bool> {
    let mut hosts = Vec::new();
    for number in 0..SERVERS {
        hosts.push(Host {
            id: format!("s-{number:08x}"),
            address: start_server(number, trouble, record.clone())?,
        });
    }
    let options = Options {
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        nodes: 3,
        classes: classes(),
        discovery: discovery::start(hosts.clone())?,
        hosts,
    };
    let mut node = Node::start(options, folder)?;
    record.say(&format!(
        "node ready at {}; limit {MEMORY_MB} MB; answers of {BODY_BYTES} bytes in {} ms, in pieces of {} bytes",
        node.address,
        ANSWER_TIME.as_millis(),
        if trouble { PIECE_BYTES } else { BODY_BYTES }
    ));
    let results = Arc::new(Mutex::new(BTreeMap::<String, u64>::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let ids = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, record) = (node.address, record.clone());
            let (results, stop, ids) = (results.clone(), stop.clone(), ids.clone());
            thread::spawn(move || {
                sleep(Duration::from_millis(1000 * number / CLIENTS));
                let mut connection = None;
                while !stop.load(Ordering::Relaxed) {
                    let began = Instant::now();
                    let id = ids.fetch_add(1, Ordering::Relaxed);
                    let result = ask(address, id, &mut connection);
                    record.line(&format!("request {id:016x}: {result}"));
                    *results.lock().unwrap().entry(result).or_default() += 1;
                    sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
                }
            })
        })
        .collect();
    // The platform: a node over its memory is killed.
    let began = Instant::now();
    let (mut peak, mut noted, mut killed, mut ended) = (0, 0, false, false);
    while began.elapsed() < LOAD_TIME && !killed && !ended {
        sleep(Duration::from_millis(10));
        match node.anonymous_kib() {
            Some(kib) => peak = peak.max(kib),
            None => ended = node.has_ended(),
        }
        if peak >= noted + 4096 {
            noted = peak;
            record.line(&format!("the node's anonymous memory: {peak} KiB"));
        }
        if peak > MEMORY_MB << 10 {
            record.line(&format!("over {MEMORY_MB} MB: the platform kills the node"));
            node.signal(SIGKILL);
            killed = true;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.say(&format!(
        "peak of the node's anonymous memory: {peak} KiB of {} KiB",
        MEMORY_MB << 10
    ));
    for (result, count) in results.lock().unwrap().iter() {
        record.say(&format!("{count:6} requests: {result}"));
    }
    if killed {
        record.say("BROKEN: the node went over its memory limit and was killed for it: a crash");
    }
    if ended {
        record.say("BROKEN: the node ended by itself");
    }
    let results = results.lock().unwrap();
    let lost = results
        .iter()
        .filter(|(result, _)| result.starts_with("LOST"));
    let lost: u64 = lost.map(|(_, count)| count).sum();
    if lost > 0 {
        record.say(&format!(
            "BROKEN: {lost} requests that were taken got no final answer"
        ));
    }
    Ok(!killed && !ended && lost == 0)
}

/// Sends one lookup and returns what became of it.
fn ask(address: SocketAddr, id: u64, connection: &mut Option<TcpStream>) -> String {
    let mut stream = match connection
        .take()
        .map_or_else(|| TcpStream::connect(address), Ok)
    {
        Ok(stream) => stream,
        Err(_) => return "not sent: the node cannot be reached".to_owned(),
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(PATIENCE + Duration::from_millis(550)));
    let request = format!(
        "GET /api/{:016x} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id:016x}\r\nReq-Kind: lookup\r\nReq-Deadline-Ms: {}\r\n\r\n",
        id.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        PATIENCE.as_millis()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return "not sent: the connection was closed before".to_owned();
    }
    match read_message(&mut stream, &mut Vec::new()) {
        Ok(Some(answer)) => {
            if answer.status() == 200 && answer.body != body_for(&format!("{id:016x}")) {
                return "LOST: 200 with a body that no server made for it".to_owned();
            }
            let status = answer.status();
            if !answer.wants_close() {
                *connection = Some(stream);
            }
            format!("answered {status}")
        }
        Ok(None) | Err(_) => "LOST: sent whole, and no final answer".to_owned(),
    }
}

/// The body that a server makes for the request with this id.
fn body_for(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(BODY_BYTES).collect()
}

fn start_server(number: usize, trouble: bool, record: Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let _ = serve(stream, number, trouble, &record);
            });
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, number: usize, trouble: bool, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut rest)? {
        let id = request.header("req-id").unwrap_or("").to_owned();
        record.line(&format!("server {number} runs {id}"));
        let body = body_for(&id);
        sleep(WORK_TIME);
        let head =
            format!("HTTP/1.1 200 OK\r\nSrv-Cache: hit\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        let began = Instant::now();
        if trouble {
            stream.write_all(head.as_bytes())?;
            for (index, piece) in body.chunks(PIECE_BYTES).enumerate() {
                stream.write_all(piece)?;
                let written = ((index + 1) * PIECE_BYTES) as u32;
                let due = ANSWER_TIME * written / BODY_BYTES as u32;
                sleep(due.saturating_sub(began.elapsed()));
            }
        } else {
            sleep(ANSWER_TIME);
            stream.write_all(&[head.as_bytes(), &body].concat())?;
        }
    }
    Ok(())
}
