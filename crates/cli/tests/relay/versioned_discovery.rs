//! A stand-in for discovery with versions, deltas, long polls and faults.

use crate::node_common::{answer, endpoint_entry, Message};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Version of the endpoint list at the start.
const FIRST_VERSION: u64 = 50;

/// The fault that discovery has.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    /// Calls are answered.
    None,
    /// Calls are read and never answered, as behind a network partition.
    Unresponsive,
    /// Calls for a snapshot are never answered.
    NoSnapshots,
    /// Connections are closed without an answer, as where the process is dead.
    Down,
}

/// What discovery holds.
pub struct State {
    fault: Fault,
    version: u64,
    /// Entries by the endpoint's name.
    endpoints: BTreeMap<String, Value>,
    /// Changed entries since the last start, each with the version that has it first.
    changes: Vec<(u64, Value)>,
    /// Connections that were accepted, so that they can be closed.
    connections: Vec<TcpStream>,
    /// Targets of the calls, in order.
    calls: Vec<String>,
}

impl State {
    /// The body of an answer: a snapshot, or the delta after a version. To a version that it does not know discovery answers
    /// with a delta of its own changes.
    pub fn body(&self, after: Option<u64>) -> Value {
        let hosts: Vec<_> = match after {
            None => self.endpoints.values().cloned().collect(),
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

/// A running discovery; clones share its state.
#[derive(Clone)]
pub struct VersionedDiscovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl VersionedDiscovery {
    /// Starts one with these entries.
    pub fn start(fault: Fault, entries: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State {
            fault,
            version: FIRST_VERSION,
            endpoints: by_name(entries),
            changes: Vec::new(),
            connections: Vec::new(),
            calls: Vec::new(),
        };
        let discovery = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let accepting = discovery.clone();
        thread::spawn(move || accepting.accept(&listener));
        discovery
    }

    /// Its state; calls wait while it is locked.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Replaces its fault.
    pub fn set_fault(&self, fault: Fault) {
        let mut state = self.state();
        state.fault = fault;
        if fault == Fault::Down {
            for stream in state.connections.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.state.1.notify_all();
    }

    /// Changes an entry, in the next version; the health `gone` removes it.
    pub fn publish(&self, entry: Value) {
        let mut state = self.state();
        state.version += 1;
        let change = (state.version, entry.clone());
        state.changes.push(change);
        let name = entry["host"].as_str().unwrap().to_owned();
        match entry["health"] == "gone" {
            true => state.endpoints.remove(&name),
            false => state.endpoints.insert(name, entry),
        };
        self.state.1.notify_all();
    }

    /// Starts anew, with another version, other entries and no changes.
    pub fn restart(&self, version: u64, entries: &[Value]) {
        let mut state = self.state();
        (state.version, state.endpoints) = (version, by_name(entries));
        state.changes.clear();
        self.state.1.notify_all();
    }

    /// Number of calls so far whose target contains this text.
    pub fn calls_with(&self, text: &str) -> usize {
        self.state()
            .calls
            .iter()
            .filter(|target| target.contains(text))
            .count()
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().map_while(Result::ok) {
            let discovery = self.clone();
            discovery
                .state()
                .connections
                .push(stream.try_clone().unwrap());
            thread::spawn(move || discovery.serve(stream));
        }
    }

    /// Answers the calls of one connection until it ends or a fault ends it.
    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(message)) = Message::read(&mut reader) {
            let target = message.start.split(' ').nth(1).unwrap().to_owned();
            let Some(body) = self.wait_for_body(&target) else {
                break;
            };
            let answer = answer("200 OK", "", &body.to_string());
            if stream.write_all(answer.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// The body of a call's answer, once there is one; `None` where the fault closes the connection.
    fn wait_for_body(&self, target: &str) -> Option<Value> {
        let after = parameter(target, "after");
        let wait = Duration::from_millis(parameter(target, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.state();
        state.calls.push(target.to_owned());
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match state.fault {
                Fault::Down => return None,
                Fault::Unresponsive => state = self.state.1.wait(state).unwrap(),
                Fault::NoSnapshots if after.is_none() => state = self.state.1.wait(state).unwrap(),
                _ if after == Some(state.version) && !left.is_zero() => {
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
                _ => return Some(state.body(after)),
            }
        }
    }
}

/// A number in the query of a call's target.
fn parameter(target: &str, name: &str) -> Option<u64> {
    let (_, rest) = target.split_once(&format!("{name}="))?;
    rest.split('&').next()?.parse().ok()
}

fn by_name(entries: &[Value]) -> BTreeMap<String, Value> {
    entries
        .iter()
        .map(|entry| (entry["host"].as_str().unwrap().to_owned(), entry.clone()))
        .collect()
}

/// An entry of the endpoint list that nothing connects to.
pub fn unused_entry(name: &str, health: &str) -> Value {
    endpoint_entry(name, SocketAddr::from(([127, 0, 0, 1], 9)), health)
}

/// The entries of two endpoints that are ready, `s-1` and `s-2`.
pub fn two_ready_entries() -> [Value; 2] {
    [unused_entry("s-1", "ready"), unused_entry("s-2", "ready")]
}
