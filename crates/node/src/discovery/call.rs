//! A single call to discovery over HTTP/1.1: its connection, request and answer.

use crate::list_client::{
    connect, exchange, ClientConnection, DiscoveryError, ListRequest, RequestSender,
};
use slatelink_config::EndpointList;
use slatelink_membership::MessageError;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::task::Poll;

/// Maximum number of alternating polls of the connection and of the work that depends on the
/// connection, within one poll of the task. With several rounds, an answer that has arrived at the
/// socket is read completely by one poll, however busy the node's other tasks are.
const POLL_ROUNDS: usize = 4;

/// Result of a call, and its connection.
pub struct CallOutcome {
    /// The received list, or the error.
    pub result: Result<EndpointList, DiscoveryError>,
    /// The call's connection, for reuse by the next call.
    pub connection: Option<DiscoveryConnection>,
}

impl CallOutcome {
    /// Returns the outcome of a failed call without a connection.
    pub fn failed(error: DiscoveryError) -> Self {
        Self {
            result: Err(error),
            connection: None,
        }
    }
}

type ConnectionDriver = Pin<Box<ClientConnection>>;

/// An open connection to discovery. It is driven by the call that uses the connection, not by a
/// separate task: a separate task would be scheduled behind the tasks of all requests, and answers
/// would be read late.
pub struct DiscoveryConnection {
    sender: RequestSender,
    /// `None` once the connection has ended.
    driver: Option<ConnectionDriver>,
}

/// Calls discovery for a list of at most `max_list_bytes`, on the given connection if it is still open, otherwise on a new connection.
pub async fn call(
    address: SocketAddr,
    request: ListRequest,
    max_list_bytes: usize,
    connection: Option<DiscoveryConnection>,
) -> CallOutcome {
    let mut connection = match reusable(connection).await {
        Some(connection) => connection,
        None => match DiscoveryConnection::open(address).await {
            Ok(connection) => connection,
            Err(error) => return CallOutcome::failed(error),
        },
    };
    let result = connection
        .fetch_list(address, request, max_list_bytes)
        .await;
    CallOutcome {
        result,
        connection: Some(connection),
    }
}

/// Returns the connection unless discovery has closed it since the last call. A closed idle
/// connection does not fail the next call.
async fn reusable(connection: Option<DiscoveryConnection>) -> Option<DiscoveryConnection> {
    let mut connection = connection?;
    let ready = drive_while(&mut connection.driver, connection.sender.ready()).await;
    ready.is_ok().then_some(connection)
}

impl DiscoveryConnection {
    async fn open(address: SocketAddr) -> Result<Self, DiscoveryError> {
        let (sender, connection) = connect(address).await?;
        Ok(Self {
            sender,
            driver: Some(Box::pin(connection)),
        })
    }

    async fn fetch_list(
        &mut self,
        address: SocketAddr,
        request: ListRequest,
        max_list_bytes: usize,
    ) -> Result<EndpointList, DiscoveryError> {
        let exchange = exchange(&mut self.sender, address, request, max_list_bytes);
        let body = drive_while(&mut self.driver, exchange).await?;
        Ok(serde_json::from_slice(&body).map_err(MessageError::from)?)
    }
}

/// Runs `work` to completion while driving the connection. A failure of the connection surfaces as
/// an error of `work`.
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
