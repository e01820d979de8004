//! The client side of discovery's protocol, as far as the node and a relay share it: connecting, a call for the endpoint list
//! and its answer, and the errors of both.
//!
//! How a connection is driven differs and stays with each of them. A node drives it by the call on it, because a task of its
//! own would have to take its turn among those of all requests before an answer is read. A relay drives it by a task
//! of its own.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
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
/// How long a connection may take to be established.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper bound of an answer's body, in bytes; a longer one is no list.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Sends requests on a connection.
pub type RequestSender = SendRequest<Empty<Bytes>>;
/// The connection behind a [`RequestSender`]; requests make progress only while it is polled.
pub type ClientConnection = Connection<TokioIo<TcpStream>, Empty<Bytes>>;

/// Why a call brought no endpoint list.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection could not be established or set up.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection was not established within [`CONNECT_TIMEOUT`].
    #[error("not connected within {CONNECT_TIMEOUT:?}")]
    ConnectTimedOut,
    /// The connection failed, or its other end does not speak HTTP/1.1.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("cannot build the request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The answer has another status than 200; 503 says that discovery's queue is full, or that a relay has no list.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The body of the answer exceeds its bound.
    #[error("answer of more than {MAX_BODY_BYTES} bytes")]
    TooLarge,
    /// The body of the answer is not an endpoint list.
    #[error("cannot read the answer: {0}")]
    Malformed(#[from] MessageError),
    /// No answer came within the time that the caller allows.
    #[error("no answer in time")]
    AnswerTimedOut,
}

/// A request for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// For the complete list.
    Complete,
    /// For what changed after a version.
    ChangesAfter {
        /// The version that the client holds.
        version: u64,
        /// How long the answer may wait for a change; a long poll if it is not zero.
        wait: Duration,
    },
}

impl ListRequest {
    /// Path and query of the request.
    fn target(self) -> String {
        match self {
            Self::Complete => LIST_PATH.to_owned(),
            Self::ChangesAfter { version, wait } => {
                format!("{LIST_PATH}?after={version}&wait_ms={}", wait.as_millis())
            }
        }
    }
}

/// Connects to a discovery or a relay, for at most [`CONNECT_TIMEOUT`].
pub async fn connect(
    address: SocketAddr,
) -> Result<(RequestSender, ClientConnection), DiscoveryError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting
        .await
        .map_err(|_| DiscoveryError::ConnectTimedOut)??;
    stream.set_nodelay(true)?;
    Ok(http1::handshake(TokioIo::new(stream)).await?)
}

/// Makes a call on the connection to this address and reads the answer's body. It sets no timeout.
pub async fn exchange(
    sender: &mut RequestSender,
    address: SocketAddr,
    request: ListRequest,
) -> Result<Vec<u8>, DiscoveryError> {
    let request = Request::get(request.target())
        .header(HOST, address.to_string())
        .body(Empty::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(DiscoveryError::Status(response.status()));
    }
    read_body(response.into_body()).await
}

async fn read_body(mut body: Incoming) -> Result<Vec<u8>, DiscoveryError> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        // Trailers are not read.
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > MAX_BODY_BYTES {
            return Err(DiscoveryError::TooLarge);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}
