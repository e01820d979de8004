//! A cache server as the node knows it, and the connections to it.

use super::socket::WriteProgress;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use slatelink_admission::Lease;
use slatelink_policy::Timestamp;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A connection. Dropping it closes the socket at once, also with an answer under way: that is how an
/// attempt is given up.
pub(super) struct Connection {
    /// The server's incarnation when it was made.
    pub(super) incarnation: u64,
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) progress: Rc<WriteProgress>,
    pub(super) task: AbortHandle,
    pub(super) idle_since: Instant,
    pub(super) _lease: Lease,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A cache server.
pub(super) struct Peer {
    pub(super) dial: Cell<SocketAddr>,
    pub(super) started: Cell<Option<Timestamp>>,
    /// Counts how often it moved or restarted: connections made before lead elsewhere, or nowhere.
    pub(super) incarnation: Cell<u64>,
    pub(super) accepts_requests: Cell<bool>,
    /// Idle connections; the one used last comes last.
    pub(super) idle: RefCell<Vec<Connection>>,
}

impl Peer {
    /// Keeps a connection for the next request.
    pub(super) fn keep(&self, mut connection: Connection) {
        connection.progress.reused.set(true);
        connection.idle_since = Instant::now();
        self.idle.borrow_mut().push(connection);
    }
}
