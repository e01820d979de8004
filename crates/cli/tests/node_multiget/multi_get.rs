//! Calls to the multi-get port, by the command and by hand.

use crate::node_common::{answer, command, wait_for, Client, Message, Node, Reply, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Output};

/// Features that turn the multi-get port on, at a free port.
pub const MULTI_GET: &str = "[multiget]\nport = 0\n";

/// Settings for metrics that are written to a file.
pub fn metrics_to(path: &Path) -> String {
    format!(
        "[figures]\ntarget = \"file:{}\"\nflush_ms = 20\n",
        path.display()
    )
}

/// The address of a node's multi-get port, once the node's log states it.
pub fn multi_get_address(node: &Node) -> SocketAddr {
    let address = || {
        let log = node.log.lock().unwrap();
        log.iter()
            .find_map(|line| line.strip_prefix("multi-get listens on "))
            .map(|text| text.parse().unwrap())
    };
    wait_for("the multi-get port", || address().is_some());
    address().unwrap()
}

/// A connection to a multi-get port.
pub fn connect(address: SocketAddr) -> Client {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    Client::from_stream(stream)
}

/// The text of a call with this body.
pub fn post(body: &str, deadline_ms: u64) -> String {
    format!(
        "POST /multi HTTP/1.1\r\nHost: s\r\nReq-Kind: read\r\nReq-Deadline-Ms: {deadline_ms}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An item of a call's body.
pub fn item(key: &str, request_id: &str) -> Value {
    json!({"key": key, "req_id": request_id})
}

/// The command that reads these keys through a multi-get port.
pub fn multi_get(address: SocketAddr, deadline_ms: u64, keys: &[String]) -> Command {
    let mut command = command();
    command
        .args(["multi-get", "--node", &address.to_string()])
        .args(["--kind", "read"])
        .args(["--deadline-ms", &deadline_ms.to_string()])
        .args(keys);
    command
}

/// The lines that the command has printed.
pub fn printed_lines(output: &Output) -> Vec<Value> {
    let text = std::str::from_utf8(&output.stdout).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// Whether all lines that the command has printed are of served items.
pub fn all_served(output: &Output) -> bool {
    printed_lines(output)
        .iter()
        .all(|line| line["status"] == 200)
}

/// So many keys, which count up from 1 in hexadecimal.
pub fn keys(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{:016x}", i + 1)).collect()
}

/// A cache server's reply whose body is the request's target.
pub fn echo(request: &Message) -> Reply {
    let target = request.start.split(' ').nth(1).unwrap();
    Reply::Answer(answer("200 OK", "", target))
}
