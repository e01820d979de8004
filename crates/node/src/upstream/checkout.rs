//! Where the connection of an attempt comes from: an idle one of the pool, or a new one.

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

/// The longest head of a response: a longer one is read no further, and counts as a connection that broke.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// After the eviction of a client's connection its descriptor is polled for at most this often.
const EVICTION_POLLS: u32 = 10;
/// The time between two of these polls.
const EVICTION_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Upstream {
    /// An idle connection of the pool, or a new one.
    pub(super) async fn checkout(&self, pool: &EndpointPool) -> io::Result<PooledConnection> {
        if let Some(connection) = self.reuse(pool).await {
            return Ok(connection);
        }
        let lease = self.lease().await?;
        timeout(self.connect_timeout, connect(pool, lease))
            .await
            .unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// The connection used last of those that may be reused.
    async fn reuse(&self, pool: &EndpointPool) -> Option<PooledConnection> {
        loop {
            let mut connection = pool.take_idle()?;
            if self.is_fresh(&connection) && connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    /// A descriptor for a new connection. Where clients hold the one that is missing, an unused client connection is evicted
    /// and its descriptor polled for. Otherwise, and as a last resort (clients that wait may take every descriptor that is
    /// released), the upstream connection that has been idle for longest closes.
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

/// Connects to the endpoint, at the address that it has now.
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
    let (sender, driving) = http.handshake(socket).await.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        // How the connection ends shows at the attempt on it, or when it is taken from the pool.
        let _ = driving.await;
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
