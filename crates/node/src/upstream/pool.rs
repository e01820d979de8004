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

/// After it was returned to the pool a connection is not reused for this long: a duplicate of the last response, some
/// milliseconds late, would be taken for the response to the next request. One that comes in this time closes the
/// connection.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// A connection to an endpoint. Dropping it closes the socket at once, also with a response under way: that is how an
/// attempt is given up.
pub(super) struct PooledConnection {
    /// The pool's incarnation when the connection was made.
    pub(super) incarnation: u64,
    /// Where requests are handed to hyper.
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// How far the present request has been written; shared with the socket.
    pub(super) progress: Rc<WriteProgress>,
    /// The task in which hyper drives the connection.
    pub(super) task: AbortHandle,
    /// When it was made, or returned to the pool last.
    pub(super) idle_since: Instant,
    /// The descriptor that it uses.
    pub(super) _lease: Lease,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An endpoint and its idle connections.
pub(super) struct EndpointPool {
    /// Where connections to it are made.
    pub(super) address: Cell<SocketAddr>,
    /// When its process started, as discovery says; `None` for long ago.
    process_started: Cell<Option<Timestamp>>,
    /// Counts how often the endpoint moved or restarted: connections made before lead elsewhere, or nowhere.
    pub(super) incarnation: Cell<u64>,
    /// Whether new attempts may start: the endpoint is ready.
    pub(super) accepts_requests: Cell<bool>,
    /// Idle connections; the one used last comes last.
    pub(super) idle: RefCell<Vec<PooledConnection>>,
}

impl EndpointPool {
    /// The pool of an endpoint at this address, without connections.
    pub(super) fn new(endpoint: &Endpoint, address: SocketAddr) -> Self {
        Self {
            address: Cell::new(address),
            process_started: Cell::new(endpoint.started),
            incarnation: Cell::default(),
            accepts_requests: Cell::new(endpoint.availability == Availability::Ready),
            idle: RefCell::default(),
        }
    }

    /// Takes in what discovery says of the endpoint; without an address it stays at the one that it has.
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

    /// Starts no more attempts, and closes the idle connections.
    pub(super) fn stop_accepting(&self) {
        self.accepts_requests.set(false);
        self.close_idle();
    }

    /// Whether a connection that was made at this incarnation may carry a request now.
    pub(super) fn accepts_requests_at(&self, incarnation: u64) -> bool {
        self.accepts_requests.get() && self.incarnation.get() == incarnation
    }

    /// Returns a connection to the pool for the next request.
    pub(super) fn put_idle(&self, mut connection: PooledConnection) {
        connection.progress.reused.set(true);
        connection.idle_since = Instant::now();
        self.idle.borrow_mut().push(connection);
    }

    /// Takes the connection used last out of the pool, of those that may be reused already.
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
