//! The endpoint list in discovery's JSON format. The `serde(rename)` attributes give the keys.

use serde::Deserialize;
use slatelink_policy::{Availability, Endpoint, Timestamp};
use std::net::SocketAddr;

/// State of an endpoint that accepts new work.
const READY_STATE: &str = "ready";
/// State of an endpoint that finishes its open requests and accepts no new work.
const DRAINING_STATE: &str = "draining";
/// State of an endpoint that was removed.
const REMOVED_STATE: &str = "gone";
/// Weight of an endpoint without a valid weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Response of discovery: all endpoints, or only the changed ones.
#[derive(Debug, Default, Deserialize)]
pub struct EndpointList {
    /// Version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether the list is complete: an endpoint absent from a complete list was removed.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// All endpoints if the list is complete, otherwise the changed ones.
    #[serde(default, rename = "hosts")]
    pub endpoints: Vec<EndpointRecord>,
}

/// One endpoint of the list.
#[derive(Debug, Deserialize)]
pub struct EndpointRecord {
    #[serde(rename = "host")]
    id: String,
    #[serde(rename = "dial")]
    address: Option<SocketAddr>,
    /// Zone of the endpoint, if known.
    #[serde(rename = "site")]
    zone: Option<String>,
    /// Kind of the endpoint, if known. Unrelated to request classes.
    #[serde(rename = "class")]
    kind: Option<String>,
    /// Cell of the endpoint; 0 if absent. The endpoints of a cell share their record of idempotency
    /// keys.
    #[serde(rename = "block")]
    cell: Option<u64>,
    #[serde(rename = "health")]
    state: String,
    /// Share of the load, relative to the weights of other endpoints.
    #[serde(rename = "share")]
    weight: Option<f64>,
    /// Start of the endpoint's process, in milliseconds of Unix time.
    #[serde(rename = "born_ms")]
    started_ms: Option<u64>,
}

impl EndpointRecord {
    /// Returns the endpoint's name, which is the same at every node.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the endpoint's address; a removed endpoint may have none.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Returns the state as discovery names it, even if [`EndpointRecord::availability`] does not
    /// know the name.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Returns the availability of the endpoint for new work.
    pub fn availability(&self) -> Availability {
        match self.state.as_str() {
            READY_STATE => Availability::Ready,
            REMOVED_STATE => Availability::Removed,
            // Draining, or a state unknown to this version: no new work is sent.
            _ => Availability::Draining,
        }
    }

    /// Sets the state to draining, regardless of discovery's state.
    pub fn set_draining(&mut self) {
        DRAINING_STATE.clone_into(&mut self.state);
    }

    /// Returns the start of the endpoint's process in milliseconds of Unix time; `None` if it is
    /// unknown, which means long ago.
    pub fn started_ms(&self) -> Option<u64> {
        self.started_ms.filter(|&at| at > 0)
    }

    /// Converts the record to the decision module's endpoint type.
    pub fn endpoint(&self) -> Endpoint {
        Endpoint {
            id: self.id.as_str().into(),
            zone: self.zone.as_deref().map(Into::into),
            kind: self.kind.as_deref().map(Into::into),
            cell: self.cell.unwrap_or(0),
            availability: self.availability(),
            weight: self.weight(),
            started: self
                .started_ms()
                .map(|ms| Timestamp::from_micros(ms.saturating_mul(1000))),
        }
    }

    /// Returns the weight if it is a finite number of at least 0, otherwise the default.
    fn weight(&self) -> f64 {
        self.weight
            .filter(|weight| weight.is_finite() && *weight >= 0.0)
            .unwrap_or(DEFAULT_WEIGHT)
    }
}
