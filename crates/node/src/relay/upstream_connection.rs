//! A connection to upstream.

use crate::list_client::{
    connect, exchange, DiscoveryError, ListRequest, RequestSender, MAX_LIST_BYTES,
};
use slatelink_membership::ListUpdate;
use std::net::SocketAddr;
use tokio::task::JoinSet;

/// An open connection, driven by its own task and closed on drop.
pub struct UpstreamConnection {
    address: SocketAddr,
    sender: RequestSender,
    /// Task that drives the connection; dropping the set aborts the task.
    _driver: JoinSet<hyper::Result<()>>,
}

impl UpstreamConnection {
    /// Connects to this address.
    pub async fn open(address: SocketAddr) -> Result<Self, DiscoveryError> {
        let (sender, connection) = connect(address).await?;
        let mut driver = JoinSet::new();
        driver.spawn_local(connection);
        Ok(Self {
            address,
            sender,
            _driver: driver,
        })
    }

    /// Sends a request and reads its answer, without a timeout.
    pub async fn fetch(&mut self, request: ListRequest) -> Result<ListUpdate, DiscoveryError> {
        let body = exchange(&mut self.sender, self.address, request, MAX_LIST_BYTES).await?;
        Ok(ListUpdate::parse(&body)?)
    }
}
