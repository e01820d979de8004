//! The client side of discovery's protocol that the node and a relay share: connecting, calls for
//! the endpoint list with their answers, and errors.
//!
//! Driving a connection is left to the caller. The node drives a connection within the call that
//! uses it, because a separate task would be scheduled behind the tasks of all requests, and
//! answers would be read late. A relay drives each connection by a separate task.

#[cfg(test)]
mod tests;

use crate::body::{read_to_end, BodyError};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use slatelink_membership::MessageError;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Path of the endpoint list.
pub const LIST_PATH: &str = "/v1/servers";
/// Timeout for establishing a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest limit on the length of an answer's body, in bytes.
pub const MAX_LIST_BYTES: usize = 8 << 20;
/// Maximum size of a connection's read buffer and of an answer's head, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

/// Handle that sends requests on a connection.
pub type RequestSender = SendRequest<Empty<Bytes>>;
/// The connection behind a [`RequestSender`]; requests make progress only while it is polled.
pub type ClientConnection = Connection<TokioIo<TcpStream>, Empty<Bytes>>;

/// Reason why a call returned no endpoint list.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection could not be established or set up.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection was not established within [`CONNECT_TIMEOUT`].
    #[error("connection not established within {CONNECT_TIMEOUT:?}")]
    ConnectTimedOut,
    /// The connection failed, or the peer does not use HTTP/1.1.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("cannot build the request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The status of the answer is not 200. Status 503 means that discovery's queue is full, or
    /// that a relay has no list.
    #[error("unexpected status of the answer: {0}")]
    Status(StatusCode),
    /// The body of the answer is longer than the limit.
    #[error("answer exceeds {max_bytes} bytes")]
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// The body of the answer is not an endpoint list.
    #[error("cannot read the answer: {0}")]
    Malformed(#[from] MessageError),
    /// No answer was received within the caller's timeout.
    #[error("answer timed out")]
    AnswerTimedOut,
}

/// A request for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// Request for the complete list.
    Complete,
    /// Request for the changes after a version.
    ChangesAfter {
        /// The version that the client holds.
        version: u64,
        /// Maximum time that discovery waits for a change before it answers. A non-zero wait makes
        /// the call a long poll.
        wait: Duration,
    },
}

impl ListRequest {
    /// Returns the path and query of the request.
    fn target(self) -> String {
        match self {
            Self::Complete => LIST_PATH.to_owned(),
            Self::ChangesAfter { version, wait } => {
                format!("{LIST_PATH}?after={version}&wait_ms={}", wait.as_millis())
            }
        }
    }
}

/// Connects to a discovery or a relay within [`CONNECT_TIMEOUT`].
pub async fn connect(
    address: SocketAddr,
) -> Result<(RequestSender, ClientConnection), DiscoveryError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| DiscoveryError::ConnectTimedOut)??;
    stream.set_nodelay(true)?;
    let mut http = http1::Builder::new();
    http.max_buf_size(MAX_READ_BUFFER_BYTES);
    Ok(http.handshake(TokioIo::new(stream)).await?)
}

/// Sends a request on a connection to this address and returns the body of the answer, which may
/// have up to `max_bytes`. Sets no timeout.
pub async fn exchange(
    sender: &mut RequestSender,
    address: SocketAddr,
    request: ListRequest,
    max_bytes: usize,
) -> Result<Vec<u8>, DiscoveryError> {
    let request = Request::get(request.target())
        .header(HOST, address.to_string())
        .body(Empty::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(DiscoveryError::Status(response.status()));
    }
    match read_to_end(response.into_body(), max_bytes).await {
        Ok(body) => Ok(body),
        Err(BodyError::TooLarge) => Err(DiscoveryError::TooLarge { max_bytes }),
        Err(BodyError::Incomplete(error)) => Err(error.into()),
    }
}
