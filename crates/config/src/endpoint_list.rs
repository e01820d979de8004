//! The list of cache servers in discovery's form.

use serde::Deserialize;
use slatelink_policy::{Availability, Endpoint, Timestamp};
use std::net::SocketAddr;

/// Discovery's word for a server that finishes its work and wants no more.
const DRAINING: &str = "draining";

/// Discovery's answer: the whole list, or what changed.
#[derive(Debug, Default, Deserialize)]
pub struct EndpointList {
    /// Its version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether what it lacks is gone.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The entries, or those that changed.
    #[serde(default, rename = "hosts")]
    pub endpoints: Vec<EndpointRecord>,
}

/// One cache server in it.
#[derive(Debug, Deserialize)]
pub struct EndpointRecord {
    #[serde(rename = "host")]
    id: String,
    #[serde(rename = "dial")]
    address: Option<SocketAddr>,
    #[serde(rename = "site")]
    zone: Option<String>,
    #[serde(rename = "class")]
    kind: Option<String>,
    #[serde(rename = "block")]
    cell: Option<u64>,
    #[serde(rename = "health")]
    state: String,
    #[serde(rename = "share")]
    weight: Option<f64>,
    #[serde(rename = "born_ms")]
    started_ms: Option<u64>,
}

impl EndpointRecord {
    /// Where it listens; one that is gone may have no address.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Discovery's own word for whether it takes work.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Its name, alike at every node.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Its process's start in milliseconds of Unix time; `None` for long ago.
    pub fn started_ms(&self) -> Option<u64> {
        self.started_ms.filter(|&at| at > 0)
    }

    /// Whether it takes work.
    pub fn availability(&self) -> Availability {
        match self.state.as_str() {
            "ready" => Availability::Ready,
            "gone" => Availability::Removed,
            // Draining, or a state that this version does not know: keep away from that server.
            _ => Availability::Draining,
        }
    }

    /// Has it left alone, whatever the list says.
    pub fn set_draining(&mut self) {
        DRAINING.clone_into(&mut self.state);
    }

    /// The entry as the module knows it.
    pub fn endpoint(&self) -> Endpoint {
        let started = self.started_ms();
        Endpoint {
            id: self.id.as_str().into(),
            zone: self.zone.as_deref().map(Into::into),
            kind: self.kind.as_deref().map(Into::into),
            cell: self.cell.unwrap_or(0),
            availability: self.availability(),
            weight: self
                .weight
                .filter(|weight| weight.is_finite() && *weight >= 0.0)
                .unwrap_or(1.0),
            started: started.map(|ms| Timestamp::from_micros(ms.saturating_mul(1000))),
        }
    }
}
