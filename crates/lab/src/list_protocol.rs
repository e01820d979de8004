//! Discovery protocol of the stand-ins: parsing of calls, and serialisation of endpoint lists.

use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum wait of a watch; longer ones are capped.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Path of calls for the endpoint list.
const LIST_PATH: &str = "/v1/servers";

/// Response to a call that is refused.
pub const REFUSED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Response to a call with any other path.
pub const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// A call for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListCall {
    /// Version that the caller holds; `None` for a call for the complete list.
    pub after: Option<u64>,
    /// Maximum wait for a newer version.
    pub wait: Option<Duration>,
}

impl ListCall {
    /// Parses a request target; returns `None` if it is not a call for the endpoint list.
    pub fn parse(target: &str) -> Option<Self> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if path != LIST_PATH {
            return None;
        }
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|pair| pair.0 == name)
                .and_then(|pair| pair.1.parse::<u64>().ok())
        };
        let wait = number("wait_ms").map(|wait| Duration::from_millis(wait).min(MAX_WATCH_WAIT));
        Some(Self {
            after: number("after"),
            wait,
        })
    }
}

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Availability {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint accepts no new requests and completes the running ones.
    Draining,
    /// The endpoint has left the fleet.
    #[serde(rename = "gone")]
    Removed,
}

/// An endpoint in the format of a list.
#[derive(Debug, Serialize)]
pub struct ListedEndpoint<'a> {
    /// Name of the endpoint, the same for every node.
    #[serde(rename = "host")]
    pub name: &'a str,
    /// Address at which the endpoint listens for this node.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Zone of the endpoint.
    #[serde(rename = "site")]
    pub zone: &'a str,
    /// Machine class of the endpoint.
    pub class: &'a str,
    /// Group of the endpoint.
    pub block: u64,
    /// Whether the endpoint accepts requests.
    #[serde(rename = "health")]
    pub availability: Availability,
    /// Weight of the endpoint.
    #[serde(rename = "share")]
    pub weight: f64,
    /// Last start as Unix time in milliseconds; 0 for a start long ago.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
}

/// An endpoint list in the format of a response body.
#[derive(Debug, Serialize)]
pub struct EndpointListMessage<'a> {
    /// Version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether endpoints missing from the list are removed.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// All endpoints of a complete list, or the changed ones.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<ListedEndpoint<'a>>,
}

impl EndpointListMessage<'_> {
    /// Returns the HTTP response, head and body.
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
