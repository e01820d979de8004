//! The relay under test: a process of this package's binary, and calls to the relay.

use crate::node_common::{command, wait_for, Client, Message, WAIT_TIMEOUT};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;

/// Running relay process, killed on drop.
pub struct RelayProcess {
    pub address: SocketAddr,
    pub child: Child,
}

impl RelayProcess {
    /// Starts a relay on a free port and waits until it listens. `arguments` are appended to the
    /// command line.
    pub fn start(upstream: &[SocketAddr], arguments: &[&str]) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), upstream, arguments)
    }

    /// Starts a relay at the given address and waits until it listens.
    pub fn start_at(listen: SocketAddr, upstream: &[SocketAddr], arguments: &[&str]) -> Self {
        let mut command = command();
        command
            .args(["relay", "--listen", &listen.to_string(), "--upstream"])
            .args(upstream.iter().map(SocketAddr::to_string))
            .args(arguments);
        Self::spawn(&mut command)
    }

    /// Runs the command of a relay and waits until the relay listens.
    pub fn spawn(command: &mut Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let address = line.trim_end().rsplit(' ').next().unwrap().parse();
        let address = address.unwrap_or_else(|_| {
            panic!("the relay's first log line does not end with its address: {line}")
        });
        // Reads the remaining log, which would otherwise fill the pipe.
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(drop));
        Self { address, child }
    }

    /// Starts a relay and waits until it holds an endpoint list.
    pub fn ready(upstream: &[SocketAddr], arguments: &[&str]) -> Self {
        let relay = Self::start(upstream, arguments);
        relay.wait_until_healthy();
        relay
    }

    /// Waits until the health check succeeds: the relay then holds an endpoint list under a valid
    /// lease.
    pub fn wait_until_healthy(&self) {
        wait_for("a successful health check of the relay", || {
            self.get("/healthz").status() == 200
        });
    }

    /// Opens a connection to the relay.
    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client::from_stream(stream)
    }

    /// Sends one GET request on a new connection.
    pub fn get(&self, target: &str) -> Message {
        self.client().request(&get_request(target))
    }

    /// Sends one GET request, asserts status 200 and returns the JSON body.
    pub fn get_json(&self, target: &str) -> Value {
        let message = self.get(target);
        assert_eq!(message.status(), 200, "{target}: {}", text_body(&message));
        json_body(&message)
    }

    /// Returns the relay's status document.
    pub fn status(&self) -> Value {
        json_body(&self.get("/v1/relay"))
    }

    /// Sends a watch for changes after a version on a new connection, and waits until the relay
    /// counts the watch as waiting.
    pub fn watch(&self, after: u64) -> Client {
        let waiting_count = || self.status()["waiting"].as_u64().unwrap();
        let initial_count = waiting_count();
        let mut client = self.client();
        client.send(&get_request(&format!(
            "/v1/servers?after={after}&wait_ms=60000"
        )));
        wait_for("the waiting watch", || waiting_count() > initial_count);
        client
    }

    /// Asserts that a call is rejected with status 503 and the given reason.
    pub fn assert_unavailable(&self, target: &str, reason: &str) {
        let message = self.get(target);
        assert!(
            message.status() == 503 && text_body(&message).contains(reason),
            "{}: {}",
            message.status(),
            text_body(&message)
        );
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Formats a GET request.
pub fn get_request(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: relay\r\n\r\n")
}

/// Parses the body of a message as JSON.
pub fn json_body(message: &Message) -> Value {
    serde_json::from_slice(&message.body).unwrap()
}

/// Returns the body of a message as text.
pub fn text_body(message: &Message) -> &str {
    std::str::from_utf8(&message.body).unwrap()
}

/// Returns the name and health of each entry of an endpoint list.
pub fn health_by_name(list: &Value) -> Vec<(&str, &str)> {
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
