//! Endpoints, as listed by discovery.

use super::{EndpointId, Name, Timestamp};
use std::sync::Arc;

/// Whether an endpoint accepts requests, as reported by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its current requests and must receive no new requests.
    Draining,
    /// The endpoint is no longer listed.
    Removed,
}

/// One cache server, or the origin of a cache-aside fleet, as listed by discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifier.
    pub id: EndpointId,
    /// Availability zone.
    pub zone: Option<Name>,
    /// Machine type.
    pub kind: Option<Name>,
    /// Cell: a small group of endpoints that discard repeats of each other's requests.
    pub cell: u64,
    /// Whether the endpoint accepts requests.
    pub availability: Availability,
    /// Full capacity relative to other endpoints.
    pub weight: f64,
    /// Start of the current incarnation; `None` if it started long ago.
    pub started: Option<Timestamp>,
}

impl Endpoint {
    /// Returns a ready endpoint of weight 1 that started long ago.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            zone: None,
            kind: None,
            cell: 0,
            availability: Availability::Ready,
            weight: 1.0,
            started: None,
        }
    }
}

/// An update of the endpoint list from discovery, or the failure to get one.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The complete endpoint list; endpoints missing from it are removed.
    Snapshot(Arc<[Endpoint]>),
    /// The endpoints that changed.
    Delta(Arc<[Endpoint]>),
    /// A call or the watch failed; the last known list stays in use.
    Unavailable,
}
