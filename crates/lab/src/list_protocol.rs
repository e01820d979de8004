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

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Availability {
    /// It takes requests.
    Ready,
    /// It takes no new requests and finishes those it has.
    Draining,
    /// It is no longer there.
    #[serde(rename = "gone")]
    Removed,
}

/// An endpoint, as it is written in a list.
#[derive(Debug, Serialize)]
pub struct ListedEndpoint<'a> {
    /// Its name, the same at every node.
    #[serde(rename = "host")]
    pub name: &'a str,
    /// Where it listens for this node.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: &'a str,
    /// Its kind of machine.
    pub class: &'a str,
    /// Its group.
    pub block: u64,
    /// Whether it takes requests.
    #[serde(rename = "health")]
    pub availability: Availability,
    /// Its weight.
    #[serde(rename = "share")]
    pub weight: f64,
    /// Its last start, in Unix time milliseconds; 0 for long ago.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
}

/// An endpoint list, as it is written.
#[derive(Debug, Serialize)]
pub struct EndpointListMessage<'a> {
    /// Its version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether an endpoint that it lacks is removed.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// All endpoints, or those that changed.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint<'a>>,
}

impl EndpointListMessage<'_> {
    /// The HTTP message, head and body.
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
