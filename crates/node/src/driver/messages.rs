//! Messages to the driver, and its final responses.

use crate::upstream::{AttemptResult, ForwardedRequest};
use bytes::Bytes;
use hyper::StatusCode;
use slatelink_config::EndpointList;
use slatelink_policy::{ClassId, RequestId};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Taken off a client's timeout, which runs from when the client sent its request until it has read the response: the
/// request's way here and the response's way back are part of it.
pub(super) const NETWORK_MARGIN: Duration = Duration::from_millis(5);

/// What the node's other parts report to the driver.
#[derive(Debug)]
pub enum DriverEvent {
    /// A client's request was read whole.
    RequestReceived(Box<ClientRequest>),
    /// The client of the request of this number has disconnected.
    ClientDisconnected(u64),
    /// An attempt that the driver started has ended.
    AttemptEnded {
        /// The attempt's request.
        id: RequestId,
        /// The attempt's number within its request, from zero.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
    },
    /// Discovery has sent an endpoint list.
    EndpointListReceived(EndpointList),
    /// A call to discovery has failed.
    DiscoveryFailed,
}

/// A client's request, read whole.
#[derive(Debug)]
pub struct ClientRequest {
    /// Unique within the process; the client's own id may be used again for a later request.
    pub number: u64,
    /// When its head was read.
    pub received_at: Instant,
    /// Time from `received_at` after which the client gives up.
    pub timeout: Duration,
    /// Its class.
    pub class: ClassId,
    /// The number that its key is hashed by; `None` for a request without a key.
    pub key: Option<u64>,
    /// What the client expects it to cost at an endpoint.
    pub expected_work: Option<Duration>,
    /// Whether it changes what is stored.
    pub write: bool,
    /// Whether its class, or all requests, already use their whole quota.
    pub over_quota: bool,
    /// What is forwarded to an endpoint.
    pub message: ForwardedRequest,
    /// Takes its final response; its receiver is dropped when the client disconnects.
    pub response_sender: oneshot::Sender<FinalResponse>,
}

impl ClientRequest {
    /// Point in time after which no endpoint's answer reaches the client in time.
    pub fn deadline(&self) -> Instant {
        self.received_at + self.timeout.saturating_sub(NETWORK_MARGIN)
    }
}

/// The final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// The body of the endpoint's 200 response.
    Served(Bytes),
    /// Never done, and safe to send again.
    Shed {
        /// The client should wait this long before it does.
        retry_after: Duration,
    },
    /// Not done, or not known to be.
    Failed,
}

impl FinalResponse {
    /// The status code that the client reads.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Served(_) => StatusCode::OK,
            Self::Shed { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed => StatusCode::BAD_GATEWAY,
        }
    }
}
