//! Messages to the driver, and its final responses.

use crate::classes::RequestClass;
use crate::upstream::{AttemptResult, ForwardedRequest};
use bytes::Bytes;
use hyper::StatusCode;
use slatelink_config::EndpointList;
use slatelink_policy::{RequestId, Settings};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Subtracted from a client's timeout. The timeout covers the time from sending the request to
/// reading the response, and so includes the network time in both directions.
pub(super) const NETWORK_MARGIN: Duration = Duration::from_millis(5);

/// An event that another part of the node reports to the driver.
#[derive(Debug)]
pub enum DriverEvent {
    /// A client's request was read completely.
    RequestReceived(Box<ClientRequest>),
    /// The client of the request with this number has disconnected.
    ClientDisconnected(u64),
    /// An attempt has ended.
    AttemptEnded {
        /// Id of the attempt's request.
        id: RequestId,
        /// The attempt's number within its request, from zero.
        attempt: u32,
        /// Result of the attempt.
        result: AttemptResult,
    },
    /// The settings have changed; their classes have the positions of the node's class table.
    SettingsChanged(Box<Settings>),
    /// Discovery has sent an endpoint list.
    EndpointListReceived(EndpointList),
    /// A call to discovery has failed.
    DiscoveryFailed,
}

/// A client's request, completely read.
#[derive(Debug)]
pub struct ClientRequest {
    /// Unique within the process, unlike the client's own id, which a later request may reuse.
    pub number: u64,
    /// Time at which the head was read.
    pub received_at: Instant,
    /// Time after `received_at` at which the client stops waiting.
    pub timeout: Duration,
    /// Class of the request, as it was when the request was read.
    pub class: Rc<RequestClass>,
    /// Number by which the key is hashed; `None` for a request without a key.
    pub key: Option<u64>,
    /// Work at an endpoint that the client expects the request to cost.
    pub expected_work: Option<Duration>,
    /// Whether the request changes stored data.
    pub write: bool,
    /// Whether the class exceeds its quota of open requests, or no memory is left for the
    /// bodies of the request or of its response.
    pub over_quota: bool,
    /// Message to forward to an endpoint.
    pub message: ForwardedRequest,
    /// Sender of the final response; its receiver is dropped when the client disconnects.
    pub response_sender: oneshot::Sender<FinalResponse>,
}

impl ClientRequest {
    /// Returns the time after which an endpoint's response no longer reaches the client in time.
    pub fn deadline(&self) -> Instant {
        self.received_at + self.timeout.saturating_sub(NETWORK_MARGIN)
    }
}

/// The final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// The body of the endpoint's 200 response.
    Served(Bytes),
    /// Not executed, or safe to repeat: the client may send the request again.
    Shed {
        /// Time that the client should wait before it sends the request again.
        retry_after: Duration,
    },
    /// Not executed, or with an unknown result.
    Failed,
}

impl FinalResponse {
    /// Returns the status code of the response to the client.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Served(_) => StatusCode::OK,
            Self::Shed { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed => StatusCode::BAD_GATEWAY,
        }
    }
}
