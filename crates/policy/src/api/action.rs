//! Output of a balancer: actions for the node.

use super::{EndpointId, Name, RequestId};
use std::fmt;
use std::time::Duration;

/// The requests that a circuit breaker guards.
///
/// The `Display` text is the log line for the breaker's opening.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakerScope {
    /// All requests to one endpoint.
    Endpoint(EndpointId),
    /// The requests of one class to one endpoint.
    EndpointClass {
        /// The endpoint.
        endpoint: EndpointId,
        /// Position of the class in [`Settings::classes`](crate::Settings::classes); the number of
        /// classes for requests without a class.
        class: usize,
    },
    /// All requests to the endpoints of one zone; `None` for endpoints without a zone.
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

/// An operation that the node must perform. Actions are performed in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointId,
        /// Timeout of the attempt; never later than the request's deadline.
        timeout: Duration,
        /// Time within which the node must begin to write the request. A request that is not begun
        /// within this time must not be written: while the connection was being established,
        /// endpoints may have ceased to discard repeats of the request.
        begin_within: Duration,
    },
    /// Final response: shed. The request never ran, or is safe to repeat.
    Shed {
        /// The request.
        id: RequestId,
        /// Retry-After: the client's delay before it sends the request again; zero if none is
        /// recommended.
        retry_after: Duration,
    },
    /// Final response: failed. The request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) after this time.
    Wake {
        /// Time from now.
        after: Duration,
    },
    /// Close the idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Poll discovery for the endpoint list.
    PollDiscovery,
    /// A circuit breaker has opened. Only for logs and metrics; requires no operation.
    BreakerOpened(BreakerScope),
}
