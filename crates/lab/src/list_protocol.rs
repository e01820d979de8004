//! Discovery's protocol as its stand-ins speak it: a call read from its target, entries and answers as they are written.

use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest wait that a watch may ask for.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// The path of calls for the list.
const LIST_PATH: &str = "/v1/servers";

/// The answer to a call that is turned away.
pub const REFUSED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// The answer to a call for something else.
pub const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// A call for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListCall {
    /// The version that the caller has; `None` where it asks for the whole list.
    pub after: Option<u64>,
    /// How long it waits for something newer.
    pub wait: Option<Duration>,
}

impl ListCall {
    /// Reads a request's target; `None` where that is no call for the list.
    pub fn parse(target: &str) -> Option<Self> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if path != LIST_PATH {
            return None;
        }
        let figure = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|pair| pair.0 == name)
                .and_then(|pair| pair.1.parse::<u64>().ok())
        };
        let wait = figure("wait_ms").map(|wait| Duration::from_millis(wait).min(MAX_WATCH_WAIT));
        Some(Self {
            after: figure("after"),
            wait,
        })
    }
}

/// An entry, as it is written.
#[derive(Debug, Serialize)]
pub struct ListedHost<'a> {
    /// The server's name, alike at every node.
    pub host: &'a str,
    /// Where it listens for this node.
    pub dial: SocketAddr,
    /// Its zone.
    pub site: &'a str,
    /// Its kind of machine.
    pub class: &'a str,
    /// Its group.
    pub block: u64,
    /// `ready`, `draining` or `gone`.
    pub health: &'a str,
    /// Its weight.
    pub share: f64,
    /// Its last start, in Unix time milliseconds; 0 for long ago.
    pub born_ms: u64,
}

/// A list, as it is written.
#[derive(Debug, Serialize)]
pub struct ListAnswer<'a> {
    /// Its version.
    pub seq: u64,
    /// Whether what it lacks is gone.
    pub whole: bool,
    /// The entries, or those that changed.
    pub hosts: Vec<ListedHost<'a>>,
}

impl ListAnswer<'_> {
    /// The whole message.
    pub fn message(&self) -> serde_json::Result<Vec<u8>> {
        let body = serde_json::to_vec(self)?;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        Ok([head.into_bytes(), body].concat())
    }
}

#[cfg(test)]
mod tests;
