//! Helpers that call the multi-get port, through the command or with hand-written requests.

use crate::node_common::{
    command, http_response, wait_for, Client, Message, Node, Reply, WAIT_TIMEOUT,
};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Output};

/// Feature settings that enable the multi-get port on a free port.
pub const MULTI_GET_FEATURES: &str = "[multiget]\nport = 0\n";

/// Returns feature settings that write metrics to a file.
pub fn metrics_file_settings(path: &Path) -> String {
    format!(
        "[figures]\ntarget = \"file:{}\"\nflush_ms = 20\n",
        path.display()
    )
}

/// Waits until the node logs the address of its multi-get port, and returns the address.
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

/// Connects to a multi-get port.
pub fn connect(address: SocketAddr) -> Client {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    Client::from_stream(stream)
}

/// Formats a call with the given body.
pub fn post_request(body: &str, deadline_ms: u64) -> String {
    format!(
        "POST /multi HTTP/1.1\r\nHost: s\r\nReq-Kind: read\r\nReq-Deadline-Ms: {deadline_ms}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns an item of a call's body.
pub fn item(key: &str, request_id: &str) -> Value {
    json!({"key": key, "req_id": request_id})
}

/// Prepares the command that reads the given keys through a multi-get port.
pub fn multi_get_command(address: SocketAddr, deadline_ms: u64, keys: &[String]) -> Command {
    let mut command = command();
    command
        .args(["multi-get", "--node", &address.to_string()])
        .args(["--kind", "read"])
        .args(["--deadline-ms", &deadline_ms.to_string()])
        .args(keys);
    command
}

/// Parses the lines that the command printed.
pub fn printed_lines(output: &Output) -> Vec<Value> {
    let text = std::str::from_utf8(&output.stdout).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// Checks whether every line that the command printed reports status 200.
pub fn all_served(output: &Output) -> bool {
    printed_lines(output)
        .iter()
        .all(|line| line["status"] == 200)
}

/// Returns `count` keys, numbered from 1 in hexadecimal.
pub fn numbered_keys(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{:016x}", i + 1)).collect()
}

/// Replies with the request's target as the body.
pub fn echo_target(request: &Message) -> Reply {
    let target = request.start.split(' ').nth(1).unwrap();
    Reply::Response(http_response("200 OK", "", target))
}
