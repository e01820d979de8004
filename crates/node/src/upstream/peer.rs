//! A cache server as the node knows it, and the connections to it.

use super::socket::Written;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use slatelink_decide::Timestamp;
use slatelink_front::Lease;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A connection. Dropping it closes the socket at once, also with an answer under way: that is how an
/// attempt is given up.
pub(super) struct Connection {
    /// Of its server, when it was made.
    pub(super) life: u64,
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) written: Rc<Written>,
    pub(super) task: AbortHandle,
    pub(super) kept: Instant,
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
    /// Counts the times that it moved or started anew: connections of before lead elsewhere, or nowhere.
    pub(super) life: Cell<u64>,
    pub(super) takes_work: Cell<bool>,
    /// The one used last stands last.
    pub(super) idle: RefCell<Vec<Connection>>,
}

impl Peer {
    /// Keeps a connection for the next request.
    pub(super) fn keep(&self, mut connection: Connection) {
        connection.written.reused.set(true);
        connection.kept = Instant::now();
        self.idle.borrow_mut().push(connection);
    }
}
