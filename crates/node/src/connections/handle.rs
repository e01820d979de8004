//! One connection: reports its events to the table and executes the table's directives.

use super::read_delay::ReadDelay;
use super::socket::Socket;
use super::ConnectionManager;
use slatelink_admission::{
    ByteReservation, ConnectionId, ConnectionKind, ConnectionTable, Directive, KeepAlive, Phase,
};
use socket2::SockRef;
use std::cell::RefMut;
use std::future::{pending, poll_fn, Future};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Time after the last write for which a connection stays open, unless its client closes it.
/// Closing a socket with unread received bytes resets the connection, and the client would lose the
/// unread part of the response.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Response to a request for whose handling there is no memory.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n\
    Content-Length: 0\r\n\r\n";

/// A connection in the table of its port; removed from the table when dropped.
pub struct ConnectionHandle {
    /// The connections of the port.
    pub(super) manager: Rc<ConnectionManager>,
    /// Id of the connection in the table.
    pub(super) id: ConnectionId,
    /// Read and written by hyper through a [`ReportingSocket`](super::ReportingSocket).
    pub(super) socket: Socket,
    /// Delay of the next request before the node began to read it.
    pub(super) read_delay: ReadDelay,
}

impl ConnectionHandle {
    /// Returns the table. The borrow must not be held across a wake-up or an await.
    pub(super) fn table(&self) -> RefMut<'_, ConnectionTable> {
        self.manager.table.borrow_mut()
    }

    /// Returns the current time on the table's clock.
    pub(super) fn now(&self) -> Duration {
        self.manager.now()
    }

    /// Registers the task of this context to be woken when the table has a new directive.
    pub(super) fn register_waker(&self, cx: &Context<'_>) {
        if let Some(waker) = self.manager.wakers.borrow_mut().get_mut(self.id as usize) {
            // A task keeps the same waker for its whole run.
            waker.get_or_insert_with(|| cx.waker().clone());
        }
    }

    /// Returns the table's current directive for the connection.
    pub(super) fn directive(&self) -> Directive {
        self.table().directive(self.id)
    }

    /// Returns whether the connection is in this phase according to the table.
    pub(super) fn is_in_phase(&self, phase: Phase) -> bool {
        self.table().phase(self.id) == phase
    }

    /// Reports that the head of a request was read. `body_bytes` is the length of the body that
    /// follows; `None` if the head does not state it.
    pub fn on_request_head(&self, body_bytes: Option<u64>) {
        self.socket.inbound.borrow_mut().on_head_handled(body_bytes);
        if body_bytes == Some(0) {
            self.end_turn();
        } else {
            // hyper may have asked for the body before its length was known here.
            self.manager.wake(self.id);
        }
        self.table().on_request_head(self.now(), self.id);
    }

    /// Returns the time at which the head that was just read had arrived, as far as the node knows:
    /// the time for which it waited for a descriptor, for memory, for the connection's turn or for
    /// the responses to earlier requests counts towards its client's deadline.
    pub fn received_at(&self) -> Instant {
        let arrived_at = self.socket.inbound.borrow().head_arrived_at();
        arrived_at.unwrap_or_else(Instant::now)
    }

    /// Reports that a request of this class was read completely. Returns whether the open requests
    /// of the class exceed its quota.
    pub fn on_request(&self, class: usize) -> bool {
        self.table().on_request(self.now(), self.id, class)
    }

    /// Reserves memory for the body of a request. Returns `None` if the memory is not available.
    pub fn reserve_request_bytes(&self, bytes: usize) -> Option<ByteReservation> {
        self.table().reserve_request_bytes(self.id, bytes)
    }

    /// Reports a request that is to be shed because no memory is left for its response.
    pub fn on_memory_refusal(&self) {
        self.table().on_memory_refusal();
    }

    /// Reports that the response to a request is about to be written.
    pub fn on_response(&self) {
        self.table().on_response(self.now(), self.id);
    }

    /// Returns whether the connection closes after the response that is about to be written. If it
    /// stays open, an idle connection may be evicted in its place.
    pub fn closes_with_response(&self) -> bool {
        let keep_alive = self.table().keep_alive(self.now(), self.id);
        if let KeepAlive::KeepAndEvict(idle) = keep_alive {
            self.manager.wake(idle);
        }
        keep_alive == KeepAlive::Close
    }

    /// Reports that the connection has released everything but its socket and the bytes held.
    pub fn park(&self) {
        let held = self.socket.inbound.borrow().allocated();
        self.table().on_parked(self.id, held);
        self.manager.wake_awaiting_memory();
    }

    /// Returns whether the client has sent more bytes behind a request than are held. No further
    /// request is read then.
    pub fn trailing_bytes_exceeded(&self) -> bool {
        self.socket.inbound.borrow().is_exceeded()
    }

    /// Answers a request for whose handling there was no memory, and shuts down the write half. The
    /// response is short enough for the empty send buffer of a connection without a response in
    /// progress.
    pub fn refuse(&self) {
        // Fails if the client has disconnected.
        let _ = self.socket.stream.try_write(REFUSAL);
        let _ = SockRef::from(&self.socket.stream).shutdown(Shutdown::Write);
        self.socket.last_write_at.set(Some(Instant::now()));
        self.socket.write_shut_down.set(true);
    }

    /// Keeps a connection open after the shutdown of its write half, while its client may still be
    /// reading. Reads no requests: a request that was in transit at the shutdown must be sent again
    /// by the client on another connection.
    pub async fn linger(&self) {
        let Some(last_write_at) = self.socket.last_write_at.get() else {
            return;
        };
        if !self.socket.write_shut_down.get() || self.socket.read_closed.get() {
            return;
        }
        if !self.table().may_linger(self.id) {
            return;
        }
        self.table().on_lingering(self.now(), self.id);
        self.socket.inbound.borrow_mut().clear();
        self.manager.wake_awaiting_memory();
        let deadline = last_write_at + LINGER_TIME;
        tokio::select! {
            () = self.client_closes() => {}
            () = self.is_aborted() => {}
            () = sleep_until(deadline) => {}
        }
    }

    /// Waits until the client closes the connection; forever if it has sent bytes, since an end that
    /// follows them cannot be detected.
    async fn client_closes(&self) {
        // A peek of zero bytes or an error means that the client has closed.
        let peeked = self.socket.stream.peek(&mut [0]).await;
        if matches!(peeked, Ok(bytes) if bytes > 0) {
            pending().await
        }
    }

    /// Waits until the table closes the connection at once.
    async fn is_aborted(&self) {
        poll_fn(|cx| {
            self.register_waker(cx);
            match self.directive() {
                Directive::Abort => Poll::Ready(()),
                _ => Poll::Pending,
            }
        })
        .await;
    }

    /// Drives hyper's part of a connection until it ends or is to be parked.
    ///
    /// When the node closes, requests already read are finished. A connection whose timeout has
    /// expired is dropped, except an idle one, which may be receiving a request at that moment.
    /// `shut_down` makes hyper finish and close.
    pub async fn drive<C>(
        &self,
        http_connection: &mut C,
        shut_down: impl Fn(Pin<&mut C>),
    ) -> DriveOutcome
    where
        C: Future + Unpin,
    {
        let mut shutting_down = false;
        poll_fn(|cx| {
            self.register_waker(cx);
            loop {
                // An error here means that the client disconnected or sent invalid HTTP; hyper has
                // already answered where possible.
                if Pin::new(&mut *http_connection).poll(cx).is_ready() {
                    return Poll::Ready(DriveOutcome::Closed);
                }
                // hyper looks for the next request only when it is polled again.
                if self.socket.response_written.take() {
                    continue;
                }
                if self.client_left_before_processing() {
                    return Poll::Ready(DriveOutcome::Closed);
                }
                // hyper detects the end of the client's stream only while it has read no further
                // bytes.
                if self.is_in_phase(Phase::Processing) && self.poll_client_has_disconnected(cx) {
                    return Poll::Ready(DriveOutcome::Closed);
                }
                match self.directive() {
                    Directive::Abort => return Poll::Ready(DriveOutcome::Closed),
                    Directive::Park => return Poll::Ready(DriveOutcome::Park),
                    // If hyper is shut down while it reads a request, it discards the part already
                    // read. In that phase the response closes the connection instead.
                    Directive::Finish
                        if !shutting_down && !self.is_in_phase(Phase::ReadingRequest) =>
                    {
                        shutting_down = true;
                        shut_down(Pin::new(http_connection));
                    }
                    Directive::Finish | Directive::Continue => {
                        return self.poll_incomplete_head();
                    }
                }
            }
        })
        .await
    }

    /// Parks a client connection that needs no parser for now. On other ports a connection has a
    /// single request, and parking would end it.
    fn poll_incomplete_head(&self) -> Poll<DriveOutcome> {
        if self.manager.kind == ConnectionKind::Client && self.holds_incomplete_head() {
            Poll::Ready(DriveOutcome::Park)
        } else {
            Poll::Pending
        }
    }
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        self.manager.reads.borrow_mut().remove(self.id);
        self.table().remove(self.id);
        if let Some(waker) = self.manager.wakers.borrow_mut().get_mut(self.id as usize) {
            *waker = None;
        }
        self.manager.wake_awaiting_memory();
        self.manager.connection_closed.notify_one();
    }
}

/// How [`ConnectionHandle::drive`] ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriveOutcome {
    /// The connection has ended or is to be dropped.
    Closed,
    /// The connection waits for a request and needs no parser: everything but the socket is to be
    /// released.
    Park,
}
