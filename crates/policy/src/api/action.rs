//! What comes out of a balancer.

use super::{EndpointId, Name, RequestId};
use std::fmt;
use std::time::Duration;

/// What a circuit breaker guards.
///
/// Displays itself as the line for the log that tells of the breaker's opening.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakerScope {
    /// All requests to one endpoint.
    Endpoint(EndpointId),
    /// The requests of one class to one endpoint.
    EndpointClass {
        /// The endpoint.
        endpoint: EndpointId,
        /// Position of the class in [`Settings::classes`](crate::Settings::classes); the number of
        /// classes for requests of none.
        class: usize,
    },
    /// All requests to the endpoints of one zone; `None` for those that name no zone.
    Zone(Option<Name>),
    /// Requests that the origin has to serve.
    Origin,
}

impl fmt::Display for BreakerScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(endpoint) => write!(f, "breaker of {endpoint} tripped"),
            Self::EndpointClass { endpoint, class } => {
                write!(f, "breaker of {endpoint} tripped for class {class}")
            }
            Self::Zone(zone) => {
                let zone = zone.as_ref().map_or("", Name::as_str);
                write!(f, "breaker of zone {zone} tripped")
            }
            Self::Origin => f.write_str("breaker of the origin tripped"),
        }
    }
}

/// Something the node must do, in the order of the actions.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Time-out of the attempt, never past the request's deadline.
        timeout: Duration,
        /// Nothing of the attempt may be written after this time: while its connection is
        /// established, endpoints may stop to discard repeats of the request.
        begin_within: Duration,
    },
    /// Final answer: shed. It was never done, or is safe to repeat.
    Shed {
        /// The request.
        id: RequestId,
        /// Retry-After: how long the client should wait before it sends the request again; zero for
        /// no advice.
        retry_after: Duration,
    },
    /// Final answer: failed. It may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) after this time.
    Wake {
        /// From now.
        after: Duration,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Poll discovery for the endpoint list.
    PollDiscovery,
    /// A circuit breaker has opened: for the log and for metrics, nothing has to be done.
    BreakerOpened(BreakerScope),
}
