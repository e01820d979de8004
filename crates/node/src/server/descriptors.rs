//! The descriptors of a port's connections.

use crate::connections::{ConnectionHandle, ConnectionManager};
use crate::upstream::Upstream;
use slatelink_admission::{ConnectionKind, Lease};
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::net::TcpStream;

/// Where a port takes the descriptors of its connections from.
pub struct DescriptorSource {
    /// The connections of the port.
    pub connections: Rc<ConnectionManager>,
    /// The connections to endpoints, which share the budget: idle ones are closed for connections of this port.
    pub upstream: Rc<Upstream>,
}

impl DescriptorSource {
    /// Has a connection of another kind close. `false` where none can.
    fn evict_other_kind(&self, kind: ConnectionKind) -> bool {
        kind == ConnectionKind::Upstream && self.upstream.close_oldest_idle()
    }

    /// Waits for a descriptor and leases it for a multi-get item, which counts as a client connection.
    pub async fn lease(&self) -> Lease {
        self.connections
            .lease(|kind| self.evict_other_kind(kind))
            .await
    }

    /// Waits for a descriptor for an accepted connection. `None` where its address has as many connections as it may.
    pub(super) async fn admit(
        &self,
        stream: TcpStream,
        address: IpAddr,
    ) -> io::Result<Option<ConnectionHandle>> {
        stream.set_nodelay(true)?;
        let admitted = self
            .connections
            .admit(stream, address, |kind| self.evict_other_kind(kind));
        Ok(admitted.await)
    }
}
