//! Case: the platform starts `run` again while the old process serves.

use crate::discovery::{self, Host};
use crate::http::read_message;
use crate::platform::{classes, Node, Options, SIGKILL, SIGTERM};
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const SERVERS: usize = 9;
const CLIENTS: u64 = 20;
const PATIENCE: Duration = Duration::from_millis(1250);
/// Time that the new process has to become ready.
const READY_TIME: Duration = Duration::from_secs(6);
/// Time from SIGTERM to SIGKILL: the longest deadline, 3 s at most, and 0.7 s.
const STOP_TIME: Duration = Duration::from_millis(3700);

pub fn run(trouble: bool, folder: &Path, record: &Record) -> io::Result<bool> {
    let mut hosts = Vec::new();
    for number in 0..SERVERS {
        hosts.push(Host {
            id: format!("s-{number:08x}"),
            address: start_server(number, record.clone())?,
        });
    }
    let options = Options {
        memory_mb: 48,
        sockets: 384,
        nodes: 3,
        classes: classes(),
        discovery: discovery::start(hosts.clone())?,
        hosts,
    };
    let mut old = Node::start(options, &folder.join("old"))?;
    record.say(&format!("the old process is ready at {}", old.address));
    let results = Arc::new(Mutex::new(BTreeMap::<String, u64>::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let ids = Arc::new(AtomicU64::new(1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, record) = (old.address, record.clone());
            let (results, stop, ids) = (results.clone(), stop.clone(), ids.clone());
            thread::spawn(move || {
                sleep(Duration::from_millis(1000 * number / CLIENTS));
                let mut connection = None;
                while !stop.load(Ordering::Relaxed) {
                    let id = ids.fetch_add(1, Ordering::Relaxed);
                    let result = ask(address, id, &mut connection);
                    record.line(&format!("request {id:016x}: {result}"));
                    *results.lock().unwrap().entry(result).or_default() += 1;
                    sleep(Duration::from_secs(1));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(3));
    let mut held = true;
    if trouble {
        record.say("the platform starts `run` again, with the same addresses");
        let mut new = Node::spawn(old.address, old.options(), &folder.join("new"))?;
        let began = Instant::now();
        while began.elapsed() < READY_TIME && !new.has_ended() {
            sleep(Duration::from_millis(10));
        }
        if new.has_ended() {
            held = false;
            record.say(&format!(
                "BROKEN: the new process ended by itself after {} ms, exit code {:?}: {}",
                began.elapsed().as_millis(),
                new.exit_code(),
                new.log().lines().last().unwrap_or("")
            ));
        }
        record.say("SIGTERM to the old process");
        old.signal(SIGTERM);
        let told = Instant::now();
        while told.elapsed() < STOP_TIME && !old.has_ended() {
            sleep(Duration::from_millis(10));
        }
        old.signal(SIGKILL);
        record.say(&format!("the old process has ended after {} ms", told.elapsed().as_millis()));
        sleep(Duration::from_secs(3));
        if held && new.has_ended() {
            held = false;
            record.say("BROKEN: the new process ended after the old one");
        }
        drop(new);
    } else {
        sleep(READY_TIME + STOP_TIME + Duration::from_secs(3));
        if old.has_ended() {
            held = false;
            record.say("BROKEN: the node ended");
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for (result, count) in results.lock().unwrap().iter() {
        record.say(&format!("{count:6} requests: {result}"));
    }
    Ok(held)
}

/// Sends one lookup and returns what became of it.
fn ask(address: SocketAddr, id: u64, connection: &mut Option<TcpStream>) -> String {
    let mut stream = match connection.take().map_or_else(|| TcpStream::connect(address), Ok) {
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
        return "not read: the connection was closed before".to_owned();
    }
    match read_message(&mut stream, &mut Vec::new()) {
        Ok(Some(answer)) => {
            if !answer.wants_close() {
                *connection = Some(stream);
            }
            format!("answered {}", answer.status())
        }
        Ok(None) | Err(_) => "no answer: the connection was closed".to_owned(),
    }
}

fn start_server(number: usize, record: Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let _ = serve(stream, number, &record);
            });
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, number: usize, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut rest)? {
        let id = request.header("req-id").unwrap_or("");
        record.line(&format!("server {number} runs {id}"));
        sleep(Duration::from_millis(20));
        stream.write_all(b"HTTP/1.1 200 OK\r\nSrv-Cache: hit\r\nContent-Length: 4\r\n\r\ndone")?;
    }
    Ok(())
}
