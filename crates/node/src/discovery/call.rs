//! One call to discovery: its connection, its request and its answer.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
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

/// A connection that has not come up after this is given up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A longer answer is no list.
const LARGEST_LIST: usize = 8 << 20;
/// The connection and what waits for it are polled in turn so often at a time: an answer that lies in the socket is read
/// whole by one poll, however busy the node's other tasks are.
const POLL_ROUNDS: usize = 4;

/// Why a call brought no list.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Uri(#[from] hyper::http::Error),
    #[error("{0}")]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("not a list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("no answer in time")]
    Overdue,
}

/// What a call asks for.
#[derive(Clone, Copy, Debug)]
pub enum Ask {
    /// The whole list.
    Whole,
    /// What came after a version, once there is something or so long has passed.
    After(u64, Duration),
}

impl Ask {
    fn path(self) -> String {
        match self {
            Self::After(seq, wait) => {
                format!("/v1/servers?after={seq}&wait_ms={}", wait.as_millis())
            }
            Self::Whole => "/v1/servers".to_owned(),
        }
    }
}

/// How a call ended, and its connection where that may carry another.
pub type Called = (Result<EndpointList, CallError>, Option<Link>);

type Driving = Option<Pin<Box<http1::Connection<TokioIo<TcpStream>, Empty<Bytes>>>>>;

/// An open connection. It is driven by the call on it and not by a task of its own, which would have to take its turn
/// among those of all requests before a word of discovery's is read.
pub struct Link {
    sender: SendRequest<Empty<Bytes>>,
    connection: Driving,
}

/// Calls on the connection at hand if that is still open, otherwise on a new one.
pub async fn call(address: SocketAddr, ask: Ask, mut link: Option<Link>) -> Called {
    let called = call_on(address, ask, &mut link).await;
    (called, link)
}

async fn call_on(
    address: SocketAddr,
    ask: Ask,
    link: &mut Option<Link>,
) -> Result<EndpointList, CallError> {
    // A kept connection that discovery has closed meanwhile is no failure of the call.
    let usable = match link {
        Some(Link { sender, connection }) => driven(connection, sender.ready()).await.is_ok(),
        None => false,
    };
    if !usable {
        *link = None;
    }
    let Link { sender, connection } = match link {
        Some(link) => link,
        None => link.insert(connect(address).await?),
    };
    let request = Request::get(ask.path())
        .header(HOST, address.to_string())
        .body(Empty::new())?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), LARGEST_LIST)
            .collect()
            .await?
            .to_bytes();
        Ok(serde_json::from_slice(&body)?)
    };
    driven(connection, exchange).await
}

async fn connect(address: SocketAddr) -> Result<Link, CallError> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| CallError::Overdue)??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    Ok(Link {
        sender,
        connection: Some(Box::pin(connection)),
    })
}

/// Does something that needs the connection to be driven meanwhile. How that ends shows at what is done on it.
async fn driven<T>(connection: &mut Driving, work: impl Future<Output = T>) -> T {
    let mut work = pin!(work);
    poll_fn(|context| {
        for _ in 0..POLL_ROUNDS {
            let ended = connection
                .as_mut()
                .is_some_and(|driving| driving.as_mut().poll(context).is_ready());
            if ended {
                *connection = None;
            }
            if let Poll::Ready(done) = work.as_mut().poll(context) {
                return Poll::Ready(done);
            }
        }
        Poll::Pending
    })
    .await
}
