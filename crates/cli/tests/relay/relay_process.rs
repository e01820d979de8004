//! The relay under test: a process of this package's binary, and calls to it.

use crate::node_common::{command, wait_for, Client, Message, WAIT_TIMEOUT};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;

/// A running relay; it is killed when dropped.
pub struct RelayProcess {
    pub address: SocketAddr,
    pub child: Child,
}

impl RelayProcess {
    /// Starts a relay at a free port and waits until it listens; the further arguments come last.
    pub fn start(upstream: &[SocketAddr], arguments: &[&str]) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), upstream, arguments)
    }

    /// Starts a relay at an address and waits until it listens.
    pub fn start_at(listen: SocketAddr, upstream: &[SocketAddr], arguments: &[&str]) -> Self {
        let mut command = command();
        command
            .args(["relay", "--listen", &listen.to_string(), "--upstream"])
            .args(upstream.iter().map(SocketAddr::to_string))
            .args(arguments);
        Self::spawn(&mut command)
    }

    /// Runs a relay's command and waits until it listens.
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

    /// Starts a relay and waits until it holds an endpoint list.
    pub fn ready(upstream: &[SocketAddr], arguments: &[&str]) -> Self {
        let relay = Self::start(upstream, arguments);
        relay.wait_until_healthy();
        relay
    }

    /// Waits until its health check succeeds, as it does while it holds an endpoint list under a lease.
    pub fn wait_until_healthy(&self) {
        wait_for("the relay's list", || self.get("/healthz").status() == 200);
    }

    /// A new connection to it.
    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client::from_stream(stream)
    }

    /// Sends one GET on a connection of its own.
    pub fn get(&self, target: &str) -> Message {
        self.client().request(&get_request(target))
    }

    /// The JSON body of a call that must succeed.
    pub fn list(&self, target: &str) -> Value {
        let message = self.get(target);
        assert_eq!(message.status(), 200, "{target}: {}", text(&message));
        json_body(&message)
    }

    /// Its status document.
    pub fn status(&self) -> Value {
        json_body(&self.get("/v1/relay"))
    }

    /// A connection with a watch for what comes after a version, once the relay counts it as waiting.
    pub fn watch(&self, after: u64) -> Client {
        let waiting = || self.status()["waiting"].as_u64().unwrap();
        let before = waiting();
        let mut client = self.client();
        client.send(&get_request(&format!(
            "/v1/servers?after={after}&wait_ms=60000"
        )));
        wait_for("a caller that waits", || waiting() > before);
        client
    }

    /// Asserts that a call is rejected with 503 for this reason.
    pub fn assert_unavailable(&self, target: &str, reason: &str) {
        let message = self.get(target);
        assert!(
            message.status() == 503 && text(&message).contains(reason),
            "{}: {}",
            message.status(),
            text(&message)
        );
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        // It may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The text of a GET request.
pub fn get_request(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: relay\r\n\r\n")
}

/// A message's body as JSON.
pub fn json_body(message: &Message) -> Value {
    serde_json::from_slice(&message.body).unwrap()
}

/// A message's body as text.
pub fn text(message: &Message) -> &str {
    std::str::from_utf8(&message.body).unwrap()
}

/// Name and health of each entry of an endpoint list.
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
