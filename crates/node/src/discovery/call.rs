//! One call to discovery over HTTP/1.1: its connection, its request and its answer.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use slatelink_config::EndpointList;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::task::Poll;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A connection that isn't established within this time has failed.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bound on the body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// The connection and what waits for it are polled in turn so often at a time: an answer that has arrived at the socket is
/// read completely by one poll, however busy the node's other tasks are.
const POLL_ROUNDS: usize = 4;

/// Why a call brought no endpoint list.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection could not be established or set up.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection wasn't established within `CONNECT_TIMEOUT`.
    #[error("not connected within {CONNECT_TIMEOUT:?}")]
    ConnectTimedOut,
    /// The connection failed, or its other end doesn't speak HTTP/1.1.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("cannot build the request: {0}")]
    Request(#[from] hyper::http::Error),
    /// Discovery answered with another status than 200; 503 says that its queue is full.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The body of the answer exceeds the bound.
    #[error("answer of more than {MAX_BODY_BYTES} bytes")]
    TooLarge,
    /// The body of the answer isn't an endpoint list.
    #[error("answer is not an endpoint list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// No answer came within the time that the caller allows.
    #[error("no answer in time")]
    AnswerTimedOut,
}

/// The request of a call.
#[derive(Clone, Copy, Debug)]
pub enum ListRequest {
    /// The complete list.
    Complete,
    /// A long poll for what changed after a version.
    ChangesAfter {
        /// The version that the node holds.
        version: u64,
        /// How long discovery waits for a change before it answers without one.
        wait: Duration,
    },
}

impl ListRequest {
    fn path(self) -> String {
        match self {
            Self::Complete => "/v1/servers".to_owned(),
            Self::ChangesAfter { version, wait } => {
                format!("/v1/servers?after={version}&wait_ms={}", wait.as_millis())
            }
        }
    }
}

/// How a call ended.
pub struct CallOutcome {
    /// The list that it brought.
    pub result: Result<EndpointList, DiscoveryError>,
    /// Its connection, for the next call.
    pub connection: Option<DiscoveryConnection>,
}

impl CallOutcome {
    /// A failure that leaves no connection.
    pub fn failed(error: DiscoveryError) -> Self {
        Self {
            result: Err(error),
            connection: None,
        }
    }
}

type ConnectionDriver = Pin<Box<http1::Connection<TokioIo<TcpStream>, Empty<Bytes>>>>;

/// An open connection to discovery. The call that uses it drives it, not a task of its own: such a task would have to wait
/// for its turn among those of all requests before an answer is read.
pub struct DiscoveryConnection {
    sender: SendRequest<Empty<Bytes>>,
    /// `None` once the connection has ended.
    driver: Option<ConnectionDriver>,
}

/// Calls discovery, on the given connection if that is still open, otherwise on a new one.
pub async fn call(
    address: SocketAddr,
    request: ListRequest,
    connection: Option<DiscoveryConnection>,
) -> CallOutcome {
    let mut connection = match reusable(connection).await {
        Some(connection) => connection,
        None => match DiscoveryConnection::open(address).await {
            Ok(connection) => connection,
            Err(error) => return CallOutcome::failed(error),
        },
    };
    let result = connection.fetch_list(address, request).await;
    CallOutcome {
        result,
        connection: Some(connection),
    }
}

/// The connection, unless discovery has closed it since its last call. That is no failure of the next one.
async fn reusable(connection: Option<DiscoveryConnection>) -> Option<DiscoveryConnection> {
    let mut connection = connection?;
    let ready = drive_while(&mut connection.driver, connection.sender.ready()).await;
    ready.is_ok().then_some(connection)
}

impl DiscoveryConnection {
    async fn open(address: SocketAddr) -> Result<Self, DiscoveryError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| DiscoveryError::ConnectTimedOut)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        Ok(Self {
            sender,
            driver: Some(Box::pin(connection)),
        })
    }

    async fn fetch_list(
        &mut self,
        address: SocketAddr,
        request: ListRequest,
    ) -> Result<EndpointList, DiscoveryError> {
        let request = Request::get(request.path())
            .header(HOST, address.to_string())
            .body(Empty::new())?;
        let sender = &mut self.sender;
        let exchange = async {
            let response = sender.send_request(request).await?;
            if response.status() != StatusCode::OK {
                return Err(DiscoveryError::Status(response.status()));
            }
            let body = read_body(response.into_body()).await?;
            Ok(serde_json::from_slice(&body)?)
        };
        drive_while(&mut self.driver, exchange).await
    }
}

async fn read_body(mut body: Incoming) -> Result<Vec<u8>, DiscoveryError> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
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

/// Completes work that needs the connection to be driven meanwhile. A failure of the connection shows in the work.
async fn drive_while<T>(driver: &mut Option<ConnectionDriver>, work: impl Future<Output = T>) -> T {
    let mut work = pin!(work);
    poll_fn(|context| {
        for _ in 0..POLL_ROUNDS {
            let ended = driver
                .as_mut()
                .is_some_and(|driver| driver.as_mut().poll(context).is_ready());
            if ended {
                *driver = None;
            }
            if let Poll::Ready(done) = work.as_mut().poll(context) {
                return Poll::Ready(done);
            }
        }
        Poll::Pending
    })
    .await
}
