//! One connection: reports its events to the table and executes the table's directives.

use super::read_delay::ReadDelay;
use super::socket::Socket;
use super::ConnectionManager;
use bytes::{Bytes, BytesMut};
use slatelink_admission::{
    ByteReservation, ConnectionId, ConnectionTable, Directive, KeepAlive, Phase,
};
use std::cell::RefMut;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Time after the last write for which a connection stays open, unless its client closes it.
/// Closing a socket with unread received bytes resets the connection, and the client would lose the
/// unread part of the response.
const LINGER_TIME: Duration = Duration::from_secs(1);

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
    fn register_waker(&self, cx: &Context<'_>) {
        if let Some(waker) = self.manager.wakers.borrow_mut().get_mut(self.id as usize) {
            // A task keeps the same waker for its whole run.
            waker.get_or_insert_with(|| cx.waker().clone());
        }
    }

    /// Returns the table's current directive for the connection.
    fn directive(&self) -> Directive {
        self.table().directive(self.id)
    }

    /// Returns whether the connection is in this phase according to the table.
    fn is_in_phase(&self, phase: Phase) -> bool {
        self.table().phase(self.id) == phase
    }

    /// Reports that the head of a request was read; its body may follow.
    pub fn on_request_head(&self) {
        self.table().on_request_head(self.now(), self.id);
    }

    /// Returns the time at which the request whose head was just read would have been read without a
    /// shortage of descriptors or memory. Its client's deadline counts from then. Called once for
    /// each request: the delay is then reset.
    pub fn take_received_at(&self) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.read_delay.take()).unwrap_or(now)
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

    /// Reports that the connection has released everything but its socket. `unread` holds bytes
    /// that were already read from the socket but not processed yet.
    pub fn park(&self, unread: &Bytes) {
        self.table().on_parked(self.id);
        self.manager.wake_awaiting_memory();
        let mut read_ahead = self.socket.read_ahead.borrow_mut();
        let following_bytes = read_ahead.split();
        // Copies the bytes to a buffer of exact size: a slice of either old buffer would keep the
        // whole allocation alive.
        *read_ahead = BytesMut::with_capacity(unread.len() + following_bytes.len());
        read_ahead.extend_from_slice(unread);
        read_ahead.extend_from_slice(&following_bytes);
    }

    /// Returns whether the client has sent more bytes ahead of a response than are kept. No further
    /// request is read then.
    pub fn read_ahead_exceeded(&self) -> bool {
        self.socket.read_ahead_exceeded.get()
    }

    /// Returns whether the client has shut down its write half, even if unprocessed bytes precede
    /// the end of the stream.
    pub fn client_has_disconnected(&self) -> bool {
        self.socket.fill_read_ahead();
        self.socket.read_closed.get()
    }

    /// Like [`Self::client_has_disconnected`], but wakes the task when more bytes can be read.
    fn poll_client_has_disconnected(&self, cx: &mut Context<'_>) -> bool {
        while !self.socket.read_closed.get() {
            match self.socket.stream.poll_read_ready(cx) {
                Poll::Pending => return false,
                Poll::Ready(Err(_)) => self.socket.read_closed.set(true),
                Poll::Ready(Ok(())) if self.socket.fill_read_ahead() => {
                    cx.waker().wake_by_ref();
                    return self.socket.read_closed.get();
                }
                Poll::Ready(Ok(())) => {}
            }
        }
        true
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
        *self.socket.read_ahead.borrow_mut() = BytesMut::new();
        self.manager.wake_awaiting_memory();
        let deadline = last_write_at + LINGER_TIME;
        let mut first_byte = [0];
        tokio::select! {
            // A peek of zero bytes or an error means that the client has closed. If there are
            // bytes, an end that follows them cannot be detected.
            peeked = self.socket.stream.peek(&mut first_byte) => if matches!(peeked, Ok(bytes) if bytes > 0) {
                sleep_until(deadline).await;
            },
            () = sleep_until(deadline) => {}
        }
    }

    /// Waits until bytes arrive on a parked connection and there is memory to read them. Returns
    /// `false` if the node closes the connection first or the connection is broken.
    pub fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<bool> {
        self.register_waker(cx);
        // Bytes that have already arrived are read before the connection is closed.
        let readable = if self.socket.read_ahead.borrow().is_empty() {
            self.socket.stream.poll_read_ready(cx)
        } else {
            Poll::Ready(Ok(()))
        };
        match (readable, self.directive()) {
            (_, Directive::Abort) | (Poll::Ready(Err(_)), _) => Poll::Ready(false),
            (Poll::Ready(Ok(())), _) => self.poll_memory(),
            (Poll::Pending, Directive::Finish) => Poll::Ready(false),
            (Poll::Pending, Directive::Continue | Directive::Park) => {
                self.read_delay.reset();
                Poll::Pending
            }
        }
    }

    /// Returns ready once there is memory to read the bytes that have arrived.
    fn poll_memory(&self) -> Poll<bool> {
        let reserved = self.table().on_readable(self.now(), self.id);
        match reserved {
            Ok(()) => {
                self.read_delay.end_wait(Instant::now());
                // The released memory may suffice for more than one connection.
                self.manager.wake_awaiting_memory();
                Poll::Ready(true)
            }
            Err(shortage) => {
                self.read_delay.begin_wait(Instant::now());
                self.manager.wake_if_any(shortage.parking);
                Poll::Pending
            }
        }
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
                if self.is_in_phase(Phase::AwaitingFirstByte) {
                    self.read_delay.reset();
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
                    Directive::Finish | Directive::Continue => return Poll::Pending,
                }
            }
        })
        .await
    }
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
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
    /// The connection has been idle for a while: everything but the socket is to be released.
    Park,
}
