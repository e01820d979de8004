//! Descriptors for the connections of a port.

use crate::connections::{ConnectionHandle, ConnectionManager};
use crate::upstream::Upstream;
use slatelink_admission::{ConnectionKind, Lease};
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Source of the descriptors for a port's connections.
pub struct DescriptorSource {
    /// Connections of the port.
    pub connections: Rc<ConnectionManager>,
    /// Connections to endpoints, which share the budget; idle connections to endpoints are closed
    /// to free descriptors for this port.
    pub upstream: Rc<Upstream>,
}

impl DescriptorSource {
    /// Closes a connection of another kind. Returns `false` if none can be closed.
    fn evict_other_kind(&self, kind: ConnectionKind) -> bool {
        kind == ConnectionKind::Upstream && self.upstream.close_oldest_idle()
    }

    /// Waits for a descriptor and leases it for a multi-get item, which counts as a client
    /// connection.
    pub async fn lease(&self) -> Lease {
        self.connections
            .lease(|kind| self.evict_other_kind(kind))
            .await
    }

    /// Waits for a descriptor for an accepted connection, which arrived at `arrived_at`. Returns
    /// `None` if the address already has its maximum number of connections.
    pub(super) async fn admit(
        &self,
        stream: TcpStream,
        address: IpAddr,
        arrived_at: Instant,
    ) -> io::Result<Option<ConnectionHandle>> {
        stream.set_nodelay(true)?;
        let admitted = self.connections.admit(stream, address, arrived_at, |kind| {
            self.evict_other_kind(kind)
        });
        Ok(admitted.await)
    }
}
