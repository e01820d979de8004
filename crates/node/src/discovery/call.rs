//! One call to discovery over HTTP/1.1: its connection, its request and its answer.

use crate::list_client::{
    connect, exchange, ClientConnection, DiscoveryError, ListRequest, RequestSender,
};
use slatelink_config::EndpointList;
use slatelink_membership::MessageError;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::task::Poll;

/// The connection and what waits for it are polled in turn so often at a time: an answer that has arrived at the socket is
/// read completely by one poll, however busy the node's other tasks are.
const POLL_ROUNDS: usize = 4;

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

type ConnectionDriver = Pin<Box<ClientConnection>>;

/// An open connection to discovery. The call that uses it drives it, not a task of its own: such a task would have to wait
/// for its turn among those of all requests before an answer is read.
pub struct DiscoveryConnection {
    sender: RequestSender,
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
    ) -> Result<EndpointList, DiscoveryError> {
        let exchange = exchange(&mut self.sender, address, request);
        let body = drive_while(&mut self.driver, exchange).await?;
        Ok(serde_json::from_slice(&body).map_err(MessageError::from)?)
    }
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
