//! Checkout of a connection for an attempt: an idle one of the pool, or a new one.

use super::pool::{EndpointPool, PooledConnection};
use super::socket::EndpointSocket;
use super::write_progress::WriteProgress;
use super::Upstream;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use slatelink_admission::{ConnectionKind, Lease, LeaseError};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Largest head of a response. A larger head is not read to its end, and counts as a broken
/// connection.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of polls for the descriptor of an evicted client connection.
const EVICTION_POLLS: u32 = 10;
/// Interval between two polls for the descriptor of an evicted client connection.
const EVICTION_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Upstream {
    /// Returns an idle connection of the pool, or a new one.
    pub(super) async fn checkout(&self, pool: &EndpointPool) -> io::Result<PooledConnection> {
        if let Some(connection) = self.reuse(pool).await {
            return Ok(connection);
        }
        let lease = self.lease().await?;
        timeout(self.connect_timeout.get(), connect(pool, lease))
            .await
            .unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Returns the most recently used idle connection that is reusable.
    async fn reuse(&self, pool: &EndpointPool) -> Option<PooledConnection> {
        loop {
            let mut connection = pool.take_idle()?;
            if self.is_fresh(&connection) && connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    /// Leases a descriptor for a new connection. If client connections hold the missing descriptor,
    /// an unused client connection is evicted and its descriptor is polled for. Otherwise, and as a
    /// last resort (waiting clients may take every descriptor that is released), the upstream
    /// connection that has been idle the longest is closed.
    async fn lease(&self) -> io::Result<Lease> {
        let mut evicting = false;
        for polls_left in (0..=EVICTION_POLLS).rev() {
            let shortage = match self.budget.lease(ConnectionKind::Upstream) {
                Ok(lease) => return Ok(lease),
                Err(shortage) => shortage,
            };
            let may_wait =
                shortage == LeaseError::OtherKind(ConnectionKind::Client) && polls_left > 1;
            if may_wait && (evicting || self.clients.evict_for_upstream()) {
                evicting = true;
                sleep(EVICTION_POLL_INTERVAL).await;
            } else if !self.close_oldest_idle() {
                break;
            }
        }
        Err(io::ErrorKind::QuotaExceeded.into())
    }
}

/// Connects to the endpoint at its current address.
async fn connect(pool: &EndpointPool, lease: Lease) -> io::Result<PooledConnection> {
    let incarnation = pool.incarnation.get();
    let stream = TcpStream::connect(pool.address.get()).await?;
    stream.set_nodelay(true)?;
    let progress = Rc::new(WriteProgress::default());
    let socket = EndpointSocket {
        stream: TokioIo::new(stream),
        progress: progress.clone(),
    };
    let mut http = http1::Builder::new();
    http.max_buf_size(MAX_HEAD_BYTES);
    let (sender, connection_driver) = http.handshake(socket).await.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // The end of the connection is detected by the attempt on it, or at its next checkout.
        let _ = connection_driver.await;
    });
    Ok(PooledConnection {
        incarnation,
        sender,
        progress,
        task: task.abort_handle(),
        idle_since: Instant::now(),
        _lease: lease,
    })
}
