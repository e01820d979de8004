//! A connection to upstream.

use crate::list_client::{connect, exchange, CallError, CallSender, ListCall};
use slatelink_membership::ListUpdate;
use std::net::SocketAddr;
use tokio::task::JoinSet;

/// An open connection, closed when dropped. A task of its own drives it.
pub struct UpstreamConnection {
    address: SocketAddr,
    sender: CallSender,
    /// The task that drives the connection; dropping the set ends it.
    _driver: JoinSet<hyper::Result<()>>,
}

impl UpstreamConnection {
    /// Connects to this address.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let (sender, connection) = connect(address).await?;
        let mut driver = JoinSet::new();
        driver.spawn_local(connection);
        Ok(Self {
            address,
            sender,
            _driver: driver,
        })
    }

    /// Makes a call and reads its answer. It sets no timeout.
    pub async fn call(&mut self, call: ListCall) -> Result<ListUpdate, CallError> {
        let body = exchange(&mut self.sender, self.address, call).await?;
        Ok(ListUpdate::parse(&body)?)
    }
}
