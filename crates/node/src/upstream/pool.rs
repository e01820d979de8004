//! The connection pool of one endpoint.

use super::write_progress::WriteProgress;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use slatelink_admission::Lease;
use slatelink_policy::{Availability, Endpoint, Timestamp};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time after its return to the pool for which a connection is not reused. A duplicate of the last
/// response that arrives some milliseconds late would be taken for the response to the next
/// request. A duplicate that arrives within this time closes the connection.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// A connection to an endpoint. Dropping it closes the socket at once, even while a response is
/// being received; an attempt is abandoned in this way.
pub(super) struct PooledConnection {
    /// Incarnation of the pool when the connection was made.
    pub(super) incarnation: u64,
    /// Sender through which requests are passed to hyper.
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Write progress of the current request; shared with the socket.
    pub(super) progress: Rc<WriteProgress>,
    /// Task in which hyper drives the connection.
    pub(super) task: AbortHandle,
    /// Time at which the connection was made or last returned to the pool.
    pub(super) idle_since: Instant,
    /// Lease of the connection's descriptor.
    pub(super) _lease: Lease,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An endpoint and its idle connections.
pub(super) struct EndpointPool {
    /// Address for new connections.
    pub(super) address: Cell<SocketAddr>,
    /// Start of the endpoint's process as stated by discovery; `None` for long ago.
    process_started: Cell<Option<Timestamp>>,
    /// Number of times that the endpoint moved or restarted. Connections of an earlier incarnation
    /// lead to another process, or to none.
    pub(super) incarnation: Cell<u64>,
    /// Whether new attempts may start, which requires that the endpoint is ready.
    pub(super) accepts_requests: Cell<bool>,
    /// Idle connections, the most recently used one last.
    pub(super) idle: RefCell<Vec<PooledConnection>>,
}

impl EndpointPool {
    /// Creates the pool of an endpoint at this address, without connections.
    pub(super) fn new(endpoint: &Endpoint, address: SocketAddr) -> Self {
        Self {
            address: Cell::new(address),
            process_started: Cell::new(endpoint.started),
            incarnation: Cell::default(),
            accepts_requests: Cell::new(endpoint.availability == Availability::Ready),
            idle: RefCell::default(),
        }
    }

    /// Applies discovery's record of the endpoint. Without an address, the pool keeps its current
    /// one.
    pub(super) fn update(&self, endpoint: &Endpoint, address: Option<SocketAddr>) {
        let moved = address.is_some_and(|address| self.address.replace(address) != address);
        let restarted = self.process_started.replace(endpoint.started) != endpoint.started;
        let ready = endpoint.availability == Availability::Ready;
        self.accepts_requests.set(ready);
        if moved || restarted {
            self.incarnation.set(self.incarnation.get() + 1);
        }
        if moved || restarted || !ready {
            self.close_idle();
        }
    }

    /// Stops new attempts, and closes the idle connections.
    pub(super) fn stop_accepting(&self) {
        self.accepts_requests.set(false);
        self.close_idle();
    }

    /// Checks whether a connection of this incarnation may carry a request now.
    pub(super) fn accepts_requests_at(&self, incarnation: u64) -> bool {
        self.accepts_requests.get() && self.incarnation.get() == incarnation
    }

    /// Returns a connection to the pool for the next request.
    pub(super) fn put_idle(&self, mut connection: PooledConnection) {
        connection.progress.reused.set(true);
        connection.idle_since = Instant::now();
        self.idle.borrow_mut().push(connection);
    }

    /// Removes and returns the most recently used connection that may already be reused.
    pub(super) fn take_idle(&self) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let index = idle
            .iter()
            .rposition(|connection| connection.idle_since.elapsed() >= REUSE_DELAY)?;
        Some(idle.remove(index))
    }

    /// Closes the idle connections.
    pub(super) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}
