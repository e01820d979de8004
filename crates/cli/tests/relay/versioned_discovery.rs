//! Simulated discovery with versions, deltas, long polls and injected faults.

use crate::node_common::{endpoint_entry, http_response, Message};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Initial version of the endpoint list.
const FIRST_VERSION: u64 = 50;

/// Fault of the simulated discovery.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    /// Calls are answered.
    None,
    /// Calls are read but never answered, as behind a network partition.
    Unresponsive,
    /// Calls for a snapshot are never answered.
    NoSnapshots,
    /// Connections are closed without a response, as when the process is dead.
    Down,
}

/// State of the simulated discovery.
pub struct State {
    fault: Fault,
    version: u64,
    /// Entries by endpoint name.
    endpoints: BTreeMap<String, Value>,
    /// Entries changed since the last start, each with the version that introduced the change.
    changes: Vec<(u64, Value)>,
    /// Accepted connections, kept so that a fault can close them.
    connections: Vec<TcpStream>,
    /// Targets of the calls, in order.
    calls: Vec<String>,
}

impl State {
    /// Returns the body of a response: a snapshot, or the delta after a version. After an unknown
    /// version, the response is still a delta, with all changes of higher versions.
    pub fn response_body(&self, after: Option<u64>) -> Value {
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

/// Running simulated discovery; clones share its state.
#[derive(Clone)]
pub struct VersionedDiscovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl VersionedDiscovery {
    /// Starts with the given fault and entries.
    pub fn start(fault: Fault, entries: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = State {
            fault,
            version: FIRST_VERSION,
            endpoints: entries_by_name(entries),
            changes: Vec::new(),
            connections: Vec::new(),
            calls: Vec::new(),
        };
        let discovery = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let acceptor = discovery.clone();
        thread::spawn(move || acceptor.accept_connections(&listener));
        discovery
    }

    /// Locks the state; calls wait while the lock is held.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Sets the fault. [`Fault::Down`] closes all connections.
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

    /// Changes an entry in the next version; the health `gone` removes the entry.
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

    /// Simulates a restart with the given version and entries, and without changes.
    pub fn restart(&self, version: u64, entries: &[Value]) {
        let mut state = self.state();
        (state.version, state.endpoints) = (version, entries_by_name(entries));
        state.changes.clear();
        self.state.1.notify_all();
    }

    /// Returns the number of calls so far whose target contains the given text.
    pub fn count_calls_containing(&self, text: &str) -> usize {
        self.state()
            .calls
            .iter()
            .filter(|target| target.contains(text))
            .count()
    }

    fn accept_connections(&self, listener: &TcpListener) {
        for stream in listener.incoming().map_while(Result::ok) {
            let discovery = self.clone();
            discovery
                .state()
                .connections
                .push(stream.try_clone().unwrap());
            thread::spawn(move || discovery.serve_connection(stream));
        }
    }

    /// Answers the calls of one connection until the client or a fault closes the connection.
    fn serve_connection(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(message)) = Message::read(&mut reader) {
            let target = message.start.split(' ').nth(1).unwrap().to_owned();
            let Some(body) = self.wait_for_response_body(&target) else {
                break;
            };
            let response = http_response("200 OK", "", &body.to_string());
            if stream.write_all(response.as_bytes()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Waits for the body of the response to a call; `None` if a fault closes the connection.
    fn wait_for_response_body(&self, target: &str) -> Option<Value> {
        let after = query_parameter(target, "after");
        let wait = Duration::from_millis(query_parameter(target, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.state();
        state.calls.push(target.to_owned());
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match state.fault {
                Fault::Down => return None,
                Fault::Unresponsive => state = self.state.1.wait(state).unwrap(),
                Fault::NoSnapshots if after.is_none() => state = self.state.1.wait(state).unwrap(),
                _ if after == Some(state.version) && !remaining.is_zero() => {
                    state = self.state.1.wait_timeout(state, remaining).unwrap().0;
                }
                _ => return Some(state.response_body(after)),
            }
        }
    }
}

/// Parses a number from the query of a call's target.
fn query_parameter(target: &str, name: &str) -> Option<u64> {
    let (_, value) = target.split_once(&format!("{name}="))?;
    value.split('&').next()?.parse().ok()
}

fn entries_by_name(entries: &[Value]) -> BTreeMap<String, Value> {
    entries
        .iter()
        .map(|entry| (entry["host"].as_str().unwrap().to_owned(), entry.clone()))
        .collect()
}

/// Returns an endpoint entry whose address receives no connections.
pub fn unused_entry(name: &str, health: &str) -> Value {
    endpoint_entry(name, SocketAddr::from(([127, 0, 0, 1], 9)), health)
}

/// Returns the entries of two ready endpoints, `s-1` and `s-2`.
pub fn two_ready_entries() -> [Value; 2] {
    [unused_entry("s-1", "ready"), unused_entry("s-2", "ready")]
}
