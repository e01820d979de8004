//! The client side of discovery's protocol, as far as the node and a relay share it: connecting, a call for the endpoint list
//! and its answer, and the errors of both.
//!
//! How a connection is driven differs and stays with each of them. A node drives it by the call on it, because a task of its
//! own would have to take its turn among those of all requests before an answer is read. A relay has no such tasks, and
//! drives it by one of its own.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
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

/// Sends calls on a connection.
pub type CallSender = SendRequest<Empty<Bytes>>;
/// The connection behind a [`CallSender`]; calls make progress only while it is polled.
pub type CallConnection = Connection<TokioIo<TcpStream>, Empty<Bytes>>;

/// Why a call brought no endpoint list.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be established.
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed, or its peer broke HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The body is longer than any list.
    #[error("the answer is longer than {MAX_BODY_BYTES} bytes")]
    BodyTooLong,
    /// The answer has another status than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The body is not an update of the list.
    #[error("{0}")]
    Message(#[from] MessageError),
    /// There was no connection, or no answer, in time.
    #[error("no answer in time")]
    TimedOut,
}

/// A call for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListCall {
    /// For a snapshot.
    Snapshot,
    /// For what is newer than a version.
    After {
        /// The version.
        version: u64,
        /// How long the answer may wait for something newer; a watch if it is not zero.
        wait: Duration,
    },
}

impl ListCall {
    /// Path and query of the request.
    fn target(self) -> String {
        match self {
            Self::Snapshot => LIST_PATH.to_owned(),
            Self::After { version, wait } => {
                format!("{LIST_PATH}?after={version}&wait_ms={}", wait.as_millis())
            }
        }
    }
}

/// Connects to a discovery or a relay, for at most [`CONNECT_TIMEOUT`].
pub async fn connect(address: SocketAddr) -> Result<(CallSender, CallConnection), CallError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| CallError::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(http1::handshake(TokioIo::new(stream)).await?)
}

/// Makes a call on the connection to this address and reads the answer's body. It sets no timeout.
pub async fn exchange(
    sender: &mut CallSender,
    address: SocketAddr,
    call: ListCall,
) -> Result<Bytes, CallError> {
    let request = Request::get(call.target())
        .header(HOST, address.to_string())
        .body(Empty::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != StatusCode::OK {
        return Err(CallError::Status(response.status()));
    }
    read_body(response.into_body()).await
}

async fn read_body(body: Incoming) -> Result<Bytes, CallError> {
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(error
            .downcast::<hyper::Error>()
            .map_or(CallError::BodyTooLong, |error| CallError::Http(*error))),
    }
}
