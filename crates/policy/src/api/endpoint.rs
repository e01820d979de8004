//! Endpoints, as discovery lists them.

use super::{EndpointId, Name, Timestamp};
use std::sync::Arc;

/// Whether an endpoint may be sent requests, as discovery says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes requests.
    Ready,
    /// It finishes its requests and must be sent no more.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// One cache server, or the origin of a cache-aside fleet, as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its identifier.
    pub id: EndpointId,
    /// Its availability zone.
    pub zone: Option<Name>,
    /// The kind of machine it is.
    pub kind: Option<Name>,
    /// The small group of endpoints that discard repeats of each other's requests.
    pub cell: u64,
    /// Whether it may be sent requests.
    pub availability: Availability,
    /// Its full capacity in comparison with other endpoints.
    pub weight: f64,
    /// When its present incarnation started; `None` for long ago.
    pub started: Option<Timestamp>,
}

impl Endpoint {
    /// A ready endpoint of weight 1 that started long ago.
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

/// An answer of discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The complete endpoint list: what it lacks is removed.
    Snapshot(Arc<[Endpoint]>),
    /// The endpoints that changed.
    Delta(Arc<[Endpoint]>),
    /// A call failed or the watch broke; the last known list stays in use.
    Unavailable,
}
