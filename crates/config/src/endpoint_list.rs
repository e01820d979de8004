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
    #[serde(default)]
    pub hosts: Vec<EndpointRecord>,
}

/// One cache server in it.
#[derive(Debug, Deserialize)]
pub struct EndpointRecord {
    host: String,
    dial: Option<SocketAddr>,
    site: Option<String>,
    class: Option<String>,
    block: Option<u64>,
    health: String,
    share: Option<f64>,
    born_ms: Option<u64>,
}

impl EndpointRecord {
    /// Where it listens; one that is gone may have no address.
    pub fn dial(&self) -> Option<SocketAddr> {
        self.dial
    }

    /// Discovery's own word for whether it takes work.
    pub fn health(&self) -> &str {
        &self.health
    }

    /// Its name, alike at every node.
    pub fn id(&self) -> &str {
        &self.host
    }

    /// Its process's start in milliseconds of Unix time; `None` for long ago.
    pub fn started_ms(&self) -> Option<u64> {
        self.born_ms.filter(|&at| at > 0)
    }

    /// Whether it takes work.
    pub fn availability(&self) -> Availability {
        match self.health.as_str() {
            "ready" => Availability::Ready,
            "gone" => Availability::Removed,
            // Draining, or a state that this version does not know: keep away from that server.
            _ => Availability::Draining,
        }
    }

    /// Has it left alone, whatever the list says.
    pub fn set_draining(&mut self) {
        DRAINING.clone_into(&mut self.health);
    }

    /// The entry as the module knows it.
    pub fn entry(&self) -> Endpoint {
        let started = self.started_ms();
        Endpoint {
            id: self.host.as_str().into(),
            zone: self.site.as_deref().map(Into::into),
            kind: self.class.as_deref().map(Into::into),
            cell: self.block.unwrap_or(0),
            availability: self.availability(),
            weight: self
                .share
                .filter(|share| share.is_finite() && *share >= 0.0)
                .unwrap_or(1.0),
            started: started.map(|ms| Timestamp::from_micros(ms.saturating_mul(1000))),
        }
    }
}
