//! The rig of the relay's tests: a discovery whose lists a test sets, and a relay's process.

use super::node_common::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Long enough that it runs out in no test that does not wait for it.
pub const LONG_LEASE: &str = "60000";
pub const SHORT_LEASE: &str = "1500";
pub const FIRST_VERSION: u64 = 50;

/// What a source does with calls.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    Serves,
    /// Calls are read and never answered, as where a cut is between.
    Silent,
    /// Calls for the whole list are never answered.
    SilentOnWhole,
    /// Connections are reset, as where the process is dead.
    Dead,
}

pub struct Lists {
    pub mode: Mode,
    version: u64,
    pub servers: BTreeMap<String, Value>,
    /// By the version that has them, since the last start.
    pub changes: Vec<(u64, Value)>,
    pub open: Vec<TcpStream>,
    pub asked: Vec<String>,
}

/// Discovery with versions, deltas, waits and faults. It answers a version that it does not know by a delta of its own.
#[derive(Clone)]
pub struct Source {
    pub address: SocketAddr,
    pub lists: Arc<(Mutex<Lists>, Condvar)>,
}

impl Source {
    pub fn start(mode: Mode, hosts: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (open, asked, changes) = (Vec::new(), Vec::new(), Vec::new());
        let lists = Lists {
            mode,
            version: FIRST_VERSION,
            servers: by_name(hosts),
            changes,
            open,
            asked,
        };
        let source = Self {
            address,
            lists: Arc::new((Mutex::new(lists), Condvar::new())),
        };
        let accepting = source.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let source = accepting.clone();
                source.lock().open.push(stream.try_clone().unwrap());
                thread::spawn(move || source.serve(stream));
            }
        });
        source
    }

    pub fn lock(&self) -> MutexGuard<'_, Lists> {
        self.lists.0.lock().unwrap()
    }

    pub fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(message)) = Message::read(&mut reader) {
            let path = message.start.split(' ').nth(1).unwrap().to_owned();
            let Some(body) = self.answer(&path) else {
                break;
            };
            if stream
                .write_all(answer("200 OK", "", &body.to_string()).as_bytes())
                .is_err()
            {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    pub fn answer(&self, path: &str) -> Option<Value> {
        let figure = |name: &str| {
            let (_, rest) = path.split_once(&format!("{name}="))?;
            rest.split('&').next()?.parse::<u64>().ok()
        };
        let after = figure("after");
        let ends = Instant::now() + Duration::from_millis(figure("wait_ms").unwrap_or(0));
        let mut lists = self.lock();
        lists.asked.push(path.to_owned());
        loop {
            let left = ends.saturating_duration_since(Instant::now());
            match lists.mode {
                Mode::Dead => return None,
                Mode::Silent => lists = self.lists.1.wait(lists).unwrap(),
                Mode::SilentOnWhole if after.is_none() => lists = self.lists.1.wait(lists).unwrap(),
                _ if after == Some(lists.version) && !left.is_zero() => {
                    lists = self.lists.1.wait_timeout(lists, left).unwrap().0;
                }
                _ => return Some(lists.told(after)),
            }
        }
    }

    pub fn set(&self, mode: Mode) {
        let mut lists = self.lock();
        lists.mode = mode;
        if mode == Mode::Dead {
            for stream in lists.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.lists.1.notify_all();
    }

    /// Changes an entry, in the next version.
    pub fn publish(&self, host: Value) {
        let mut lists = self.lock();
        lists.version += 1;
        let change = (lists.version, host.clone());
        lists.changes.push(change);
        let name = host["host"].as_str().unwrap().to_owned();
        match host["health"] == "gone" {
            true => lists.servers.remove(&name),
            false => lists.servers.insert(name, host),
        };
        self.lists.1.notify_all();
    }

    /// Starts anew, with another version and other servers.
    pub fn restart(&self, version: u64, hosts: &[Value]) {
        let mut lists = self.lock();
        (lists.version, lists.servers) = (version, by_name(hosts));
        lists.changes.clear();
        self.lists.1.notify_all();
    }

    pub fn asked(&self, text: &str) -> usize {
        self.lock()
            .asked
            .iter()
            .filter(|path| path.contains(text))
            .count()
    }
}

impl Lists {
    pub fn told(&self, after: Option<u64>) -> Value {
        let hosts: Vec<_> = match after {
            None => self.servers.values().cloned().collect(),
            Some(after) => self
                .changes
                .iter()
                .filter(|(version, _)| *version > after)
                .map(|(_, host)| host.clone())
                .collect(),
        };
        json!({"seq": self.version, "whole": after.is_none(), "hosts": hosts})
    }
}

pub fn by_name(hosts: &[Value]) -> BTreeMap<String, Value> {
    hosts
        .iter()
        .map(|host| (host["host"].as_str().unwrap().to_owned(), host.clone()))
        .collect()
}

pub fn entry(name: &str, health: &str) -> Value {
    endpoint_entry(name, SocketAddr::from(([127, 0, 0, 1], 9)), health)
}

pub fn two() -> [Value; 2] {
    [entry("s-1", "ready"), entry("s-2", "ready")]
}

/// A running relay; it is killed with the test.
pub struct Relay {
    pub address: SocketAddr,
    pub child: Child,
}

impl Relay {
    pub fn start(upstream: &[SocketAddr], more: &[&str]) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), upstream, more)
    }

    pub fn start_at(listen: SocketAddr, upstream: &[SocketAddr], more: &[&str]) -> Self {
        let mut command = command();
        command.args(["relay", "--listen", &listen.to_string(), "--upstream"]);
        Self::spawn(
            command
                .args(upstream.iter().map(SocketAddr::to_string))
                .args(more),
        )
    }

    pub fn spawn(command: &mut Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let address = line.trim_end().rsplit(' ').next().unwrap().parse();
        let address = address.unwrap_or_else(|_| panic!("the relay's first line: {line}"));
        // The rest of its log must not fill the pipe.
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(drop));
        Self { address, child }
    }

    /// Starts one and waits until it has a list.
    pub fn ready(upstream: &[SocketAddr], more: &[&str]) -> Self {
        let relay = Self::start(upstream, more);
        relay.until_answering();
        relay
    }

    pub fn until_answering(&self) {
        wait_for("the relay's list", || self.get("/healthz").status() == 200);
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client::on(stream)
    }

    pub fn get(&self, path: &str) -> Message {
        self.client().request(&request(path))
    }

    pub fn list(&self, path: &str) -> Value {
        let message = self.get(path);
        assert_eq!(message.status(), 200, "{path}: {}", text(&message));
        body(&message)
    }

    pub fn status(&self) -> Value {
        body(&self.get("/v1/relay"))
    }

    /// A caller that waits for something newer than a version, once the relay has it waiting.
    pub fn watching(&self, after: u64) -> Client {
        let waiting = || self.status()["waiting"].as_u64().unwrap();
        let before = waiting();
        let mut client = self.client();
        client.send(&request(&format!(
            "/v1/servers?after={after}&wait_ms=60000"
        )));
        wait_for("a caller that waits", || waiting() > before);
        client
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // It may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: relay\r\n\r\n")
}

pub fn body(message: &Message) -> Value {
    serde_json::from_slice(&message.body).unwrap()
}

pub fn text(message: &Message) -> &str {
    std::str::from_utf8(&message.body).unwrap()
}

pub fn health(list: &Value) -> Vec<(&str, &str)> {
    let hosts = list["hosts"].as_array().unwrap().iter();
    hosts
        .map(|host| {
            (
                host["host"].as_str().unwrap(),
                host["health"].as_str().unwrap(),
            )
        })
        .collect()
}

pub fn fails(relay: &Relay, path: &str, why: &str) {
    let message = relay.get(path);
    assert!(
        message.status() == 503 && text(&message).contains(why),
        "{}: {}",
        message.status(),
        text(&message)
    );
}
