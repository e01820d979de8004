//! The node under test: a process of this package's binary, with its configuration and signals.

use super::http::{api_request, Client, Message};
use super::waiting::{wait_for, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// A running node; killed when dropped.
pub struct Node {
    pub address: SocketAddr,
    pub child: Child,
    /// Log lines after the first.
    pub log: Arc<Mutex<Vec<String>>>,
    config_path: std::path::PathBuf,
    features_path: Option<std::path::PathBuf>,
}

/// Returns a configuration with an empty initial list: the node receives its endpoints from
/// discovery.
pub fn config(discovery: SocketAddr) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "dedup_scope": "all", "promise_us": 5_000_000,
               "hard_limit_us": 20_000_000, "repeat_window_us": 20_000_000, "worth": 1.0, "late_value": 0.5})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {
            "az": "a", "zones": ["a", "b"], "balancers": 1, "membership_mode": "subscribe", "orgs": [],
            "lanes": [class("read", "safe"), class("once", "unsafe"), class("keyed", "keyed")],
            "limits": {"connect_timeout_us": 5_000_000, "keepalive_us": 60_000_000, "most_tries": 3,
                       "cancelling": true, "retry_after": true, "max_retry_after_us": 2_000_000,
                       "second_copies": true, "probing": false},
        },
    })
}

/// Number of files written by this test binary; makes their names unique.
static FILES_WRITTEN: AtomicU32 = AtomicU32::new(0);

/// Writes a configuration or features to a new temporary file and returns its path.
pub fn write_temporary_file(text: &str) -> std::path::PathBuf {
    let number = FILES_WRITTEN.fetch_add(1, Ordering::SeqCst);
    let path = std::env::temp_dir().join(format!("slatelink-{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Returns a path in the temporary folder that is unique to this test process.
pub fn temporary_path(name: &str) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("slatelink-{}-{name}", std::process::id()))
}

/// Returns the command of the node, without the platform's environment variables that the test
/// process may have inherited.
pub fn command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatelink"));
    for variable in ["LB_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(variable);
    }
    command
}

impl Node {
    /// Returns the peak resident memory of the node's process so far, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let value = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap()
            .trim();
        value.split(' ').next().unwrap().parse().unwrap()
    }

    /// Starts a node and waits until the node listens.
    pub fn start(config: &Value) -> Self {
        Self::start_with(config, None)
    }

    /// Starts a node with this text as its features file and waits until it is ready for clients.
    pub fn with_features(config: &Value, features: &str) -> Self {
        Self::start_with(config, Some(features)).wait_until_ready()
    }

    fn start_with(config: &Value, features: Option<&str>) -> Self {
        let path = write_temporary_file(&config.to_string());
        // The platform sets LB_DISCOVERY in addition to the configuration.
        let discovery = config["discovery"].as_str().unwrap();
        let mut command = command();
        command
            .env("LB_CONFIG", &path)
            .env("LB_DISCOVERY", discovery);
        let features_path = features.map(write_temporary_file);
        if let Some(features_path) = &features_path {
            command.arg("--features").arg(features_path);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        // Drained continuously, so that the log does not fill the pipe.
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let shared_lines = lines.clone();
        thread::spawn(move || {
            log.lines()
                .map_while(Result::ok)
                .for_each(|log_line| shared_lines.lock().unwrap().push(log_line))
        });
        Self {
            address: listening_address(&line),
            child,
            log: lines,
            config_path: path,
            features_path,
        }
    }

    /// Starts a node and waits until the node is ready for clients.
    pub fn ready(config: &Value) -> Self {
        Self::start(config).wait_until_ready()
    }

    /// Starts a node with this standard error and waits until the node is ready for clients.
    /// `first_line` returns the first log line.
    pub fn with_stderr(config: &Value, stderr: Stdio, first_line: impl FnOnce() -> String) -> Self {
        let path = write_temporary_file(&config.to_string());
        let child = command()
            .env("LB_CONFIG", &path)
            .stderr(stderr)
            .spawn()
            .unwrap();
        let node = Self {
            address: listening_address(&first_line()),
            child,
            log: Arc::default(),
            config_path: path,
            features_path: None,
        };
        node.wait_until_ready()
    }

    /// Waits until the node is ready for clients.
    fn wait_until_ready(self) -> Self {
        wait_for("the node's readiness", || {
            self.get("/healthz").status() == 200
        });
        self
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Client::from_stream(stream)
    }

    pub fn get(&self, path: &str) -> Message {
        self.client()
            .request(&format!("GET {path} HTTP/1.1\r\nHost: s\r\n\r\n"))
    }

    /// Sends one read on a new connection.
    pub fn read(&self, class: &str, key: u64) -> Message {
        self.client().request(&api_request(class, key, 20_000))
    }

    pub fn config_path(&self) -> &std::path::Path {
        &self.config_path
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    pub fn signal(&self, name: &str) {
        let kill_status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(kill_status.success());
    }

    /// Replaces the configuration file with this text and sends SIGHUP to the node.
    pub fn reload(&self, text: &str) {
        let new_file = write_temporary_file(text);
        std::fs::rename(new_file, &self.config_path).unwrap();
        self.signal("-HUP");
    }

    pub fn wait_for_exit(mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the node's exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

/// Parses the address at the end of the node's first log line.
fn listening_address(line: &str) -> SocketAddr {
    let address = line.trim_end().rsplit(' ').next().unwrap().parse();
    address.unwrap_or_else(|_| panic!("the node's first log line has no address: {line}"))
}

impl Drop for Node {
    fn drop(&mut self) {
        // Fails if the node has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
        if let Some(features_path) = &self.features_path {
            let _ = std::fs::remove_file(features_path);
        }
    }
}
