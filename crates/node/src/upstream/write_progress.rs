//! Whether a request may start on a connection, and how far it has been written.

use super::pool::EndpointPool;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::Instant;

/// How far the request of a connection has been written.
#[derive(Default)]
pub(super) struct WriteProgress {
    /// Its first byte was written: the endpoint may have read it.
    pub(super) started: Cell<bool>,
    /// Its last byte was written: the endpoint may have carried it out.
    pub(super) complete: Cell<bool>,
    /// The connection has been idle in its pool before, most often after a response.
    pub(super) reused: Cell<bool>,
    /// What must still hold as the first byte is written.
    permit: RefCell<Option<SendPermit>>,
}

impl WriteProgress {
    /// Begins a request, which may be written for as long as its permit is valid.
    pub(super) fn reset(&self, permit: SendPermit) {
        self.started.set(false);
        self.complete.set(false);
        self.permit.replace(Some(permit));
    }

    /// Records that bytes of the request were written.
    pub(super) fn on_written(&self) {
        self.started.set(true);
        // The permit holds the pool, which may hold this connection: kept, neither would ever be dropped.
        self.permit.take();
    }

    /// Whether the request may start, as far as its permit says; without one it may.
    pub(super) fn is_permitted(&self) -> bool {
        self.permit
            .borrow()
            .as_ref()
            .is_none_or(SendPermit::is_valid)
    }
}

/// Permission to start a request. Between the attempt's own check and the first byte the connection's task has to be
/// scheduled, which takes long on a busy node: the endpoint may begin to drain, or the client may leave, meanwhile.
pub(super) struct SendPermit {
    /// The pool of the endpoint that the request goes to.
    pub(super) pool: Rc<EndpointPool>,
    /// The pool's incarnation when the connection was made.
    pub(super) incarnation: u64,
    /// As in [`AttemptLimits`](super::AttemptLimits).
    pub(super) start_deadline: Instant,
    /// As in [`AttemptLimits`](super::AttemptLimits).
    pub(super) canceled: Rc<Cell<bool>>,
}

impl SendPermit {
    /// Whether the request may start now.
    fn is_valid(&self) -> bool {
        self.pool.accepts_requests_at(self.incarnation)
            && !self.canceled.get()
            && Instant::now() < self.start_deadline
    }
}
