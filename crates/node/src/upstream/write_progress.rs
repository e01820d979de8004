//! Write progress of the request on a connection, and the permission to start it.

use super::pool::EndpointPool;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::time::Instant;

/// Write progress of a connection's current request.
#[derive(Default)]
pub(super) struct WriteProgress {
    /// Whether the first byte was written: the endpoint may have read it.
    pub(super) started: Cell<bool>,
    /// Whether the last byte was written: the endpoint may have executed the request.
    pub(super) complete: Cell<bool>,
    /// Whether the connection has been idle in its pool before, most often after a response.
    pub(super) reused: Cell<bool>,
    /// Conditions that must still hold when the first byte is written.
    permit: RefCell<Option<SendPermit>>,
}

impl WriteProgress {
    /// Begins a request, which may start as long as its permit is valid.
    pub(super) fn reset(&self, permit: SendPermit) {
        self.started.set(false);
        self.complete.set(false);
        self.permit.replace(Some(permit));
    }

    /// Records that bytes of the request were written.
    pub(super) fn on_written(&self) {
        self.started.set(true);
        // The permit holds the pool, which may hold this connection. Dropping the permit breaks
        // this reference cycle; otherwise neither would ever be freed.
        self.permit.take();
    }

    /// Checks whether the permit allows the request to start; without a permit it may start.
    pub(super) fn is_permitted(&self) -> bool {
        self.permit
            .borrow()
            .as_ref()
            .is_none_or(SendPermit::is_valid)
    }
}

/// Permission to start a request. Between the attempt's own check and the first byte, the
/// connection's task has to be scheduled, which takes long on a busy node. Meanwhile the endpoint
/// may begin to drain, or the client may disconnect.
pub(super) struct SendPermit {
    /// Pool of the request's endpoint.
    pub(super) pool: Rc<EndpointPool>,
    /// Incarnation of the pool when the connection was made.
    pub(super) incarnation: u64,
    /// See [`AttemptLimits`](super::AttemptLimits).
    pub(super) start_deadline: Instant,
    /// See [`AttemptLimits`](super::AttemptLimits).
    pub(super) canceled: Rc<Cell<bool>>,
}

impl SendPermit {
    /// Checks whether the request may start now.
    fn is_valid(&self) -> bool {
        self.pool.accepts_requests_at(self.incarnation)
            && !self.canceled.get()
            && Instant::now() < self.start_deadline
    }
}
