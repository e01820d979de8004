//! The endpoint list in discovery's form: JSON, whose keys the fields' `serde(rename)` state.

use serde::Deserialize;
use slatelink_policy::{Availability, Endpoint, Timestamp};
use std::net::SocketAddr;

/// Discovery's state of an endpoint that takes new work.
const READY_STATE: &str = "ready";
/// Discovery's state of an endpoint that finishes its work and takes no more.
const DRAINING_STATE: &str = "draining";
/// Discovery's state of an endpoint that has left.
const REMOVED_STATE: &str = "gone";
/// The weight of an endpoint where discovery gives none, or one that is no weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Discovery's answer: all endpoints, or those that changed.
#[derive(Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The list's version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether an endpoint that it lacks has left.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The endpoints, or those that changed.
    #[serde(default, rename = "hosts")]
    pub endpoints: Vec<EndpointRecord>,
}

/// One endpoint in the list.
#[derive(Debug, Deserialize)]
pub struct EndpointRecord {
    #[serde(rename = "host")]
    id: String,
    #[serde(rename = "dial")]
    address: Option<SocketAddr>,
    /// The zone it is in, if any.
    #[serde(rename = "site")]
    zone: Option<String>,
    /// What kind of endpoint it is, if that is said; not a class of requests.
    #[serde(rename = "class")]
    kind: Option<String>,
    /// The cell it is in, whose endpoints share their memory of idempotency keys; 0 where none is said.
    #[serde(rename = "block")]
    cell: Option<u64>,
    #[serde(rename = "health")]
    state: String,
    /// Its part of the work in proportion to that of others.
    #[serde(rename = "share")]
    weight: Option<f64>,
    /// In milliseconds of Unix time.
    #[serde(rename = "born_ms")]
    started_ms: Option<u64>,
}

impl EndpointRecord {
    /// The endpoint's name, the same at every node.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Where it listens; one that has left may have no address.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Its state as discovery names it, also where [`EndpointRecord::availability`] does not know that name.
    pub fn state(&self) -> &str {
        &self.state
    }

    /// Whether it takes new work.
    pub fn availability(&self) -> Availability {
        match self.state.as_str() {
            READY_STATE => Availability::Ready,
            REMOVED_STATE => Availability::Removed,
            // Draining, or a state that this version does not know: nothing new is sent there.
            _ => Availability::Draining,
        }
    }

    /// Makes it draining, whatever discovery says.
    pub fn set_draining(&mut self) {
        DRAINING_STATE.clone_into(&mut self.state);
    }

    /// When its process started, in milliseconds of Unix time; `None` where that is not known, and so long ago.
    pub fn started_ms(&self) -> Option<u64> {
        self.started_ms.filter(|&at| at > 0)
    }

    /// The endpoint as the policy knows it.
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

    /// Its weight, where that is a finite number of at least 0; else the default.
    fn weight(&self) -> f64 {
        self.weight
            .filter(|weight| weight.is_finite() && *weight >= 0.0)
            .unwrap_or(DEFAULT_WEIGHT)
    }
}
