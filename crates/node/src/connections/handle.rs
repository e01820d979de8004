//! One connection: its events go to the table, and the table's directives are carried out.

use super::socket::Socket;
use super::ConnectionManager;
use bytes::{Bytes, BytesMut};
use slatelink_admission::{ConnectionId, ConnectionTable, Directive, KeepAlive, Phase};
use std::cell::RefMut;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::sleep_until;

/// For so long after its last write a connection stays open, unless its client closes it: closed with received bytes that
/// nobody has read, it would be reset, and the client would lose what it has not read of the response yet.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// A connection in the table of its port, which it leaves when dropped.
pub struct ConnectionHandle {
    /// The connections of the port.
    pub(super) manager: Rc<ConnectionManager>,
    /// Its id in the table.
    pub(super) id: ConnectionId,
    /// Read and written by hyper through a [`ReportingSocket`](super::ReportingSocket).
    pub(super) socket: Socket,
}

impl ConnectionHandle {
    /// The table. Not to be held over a wake-up or an await.
    pub(super) fn table(&self) -> RefMut<'_, ConnectionTable> {
        self.manager.table.borrow_mut()
    }

    /// The present on the table's clock.
    pub(super) fn now(&self) -> Duration {
        self.manager.now()
    }

    /// Has the task of this context woken when the table has a new directive for the connection.
    fn register_waker(&self, cx: &Context<'_>) {
        if let Some(waker) = self.manager.wakers.borrow_mut().get_mut(self.id as usize) {
            // A task's waker stays the same for as long as it runs.
            waker.get_or_insert_with(|| cx.waker().clone());
        }
    }

    /// What the table wants the connection to do.
    fn directive(&self) -> Directive {
        self.table().directive(self.id)
    }

    /// Whether the table has the connection in this phase.
    fn is_in_phase(&self, phase: Phase) -> bool {
        self.table().phase(self.id) == phase
    }

    /// Reports that the head of a request was read; its body may follow.
    pub fn on_request_head(&self) {
        self.table().on_request_head(self.now(), self.id);
    }

    /// Reports that a request of this class was read completely. Whether its class has more of them open than its quota.
    pub fn on_request(&self, class: usize) -> bool {
        self.table().on_request(self.now(), self.id, class)
    }

    /// Reserves memory for the body of a request, until its response. `false` where there is none.
    pub fn reserve_request_bytes(&self, bytes: usize) -> bool {
        self.table().reserve_request_bytes(self.id, bytes)
    }

    /// Reports that the response to a request is about to be written.
    pub fn on_response(&self) {
        self.table().on_response(self.now(), self.id);
    }

    /// Whether the connection closes with the response that it is about to write. Another may be evicted in its place.
    pub fn closes_with_response(&self) -> bool {
        let keep_alive = self.table().keep_alive(self.now(), self.id);
        if let KeepAlive::KeepAndEvict(idle) = keep_alive {
            self.manager.wake(idle);
        }
        keep_alive == KeepAlive::Close
    }

    /// Reports that the connection has released all but its socket. `unread` was read from that before, and not used yet.
    pub fn park(&self, unread: &Bytes) {
        self.table().on_parked(self.id);
        self.manager.wake_awaiting_memory();
        let mut read_ahead = self.socket.read_ahead.borrow_mut();
        let later = read_ahead.split();
        // A buffer of its own size: either of them would keep all of the buffer that it was read into.
        *read_ahead = BytesMut::with_capacity(unread.len() + later.len());
        read_ahead.extend_from_slice(unread);
        read_ahead.extend_from_slice(&later);
    }

    /// Whether the client has sent more ahead of a response than is kept: no further request is read.
    pub fn read_ahead_exceeded(&self) -> bool {
        self.socket.read_ahead_exceeded.get()
    }

    /// Whether the client has closed its side, also where that stands behind bytes that nobody has asked for.
    pub fn client_has_disconnected(&self) -> bool {
        self.socket.fill_read_ahead();
        self.socket.read_closed.get()
    }

    /// The same; the task is woken when there is more to be read.
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

    /// Keeps a connection whose write side is shut down open for as long as its client may still be reading, and reads
    /// nothing from it: a request that crossed the end is the client's to send again, elsewhere.
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
        let deadline = last_write_at + LINGER_TIME;
        let mut first_byte = [0];
        tokio::select! {
            // Closed by the client, unless there are bytes: nothing tells what stands behind those.
            peeked = self.socket.stream.peek(&mut first_byte) => if matches!(peeked, Ok(bytes) if bytes > 0) {
                sleep_until(deadline).await;
            },
            () = sleep_until(deadline) => {}
        }
    }

    /// Waits until bytes arrive on a parked connection and there is memory to read them. `false` where the node closes it
    /// first, or it is broken.
    pub fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<bool> {
        self.register_waker(cx);
        // What has arrived by then is read: it goes before the end.
        let readable = if self.socket.read_ahead.borrow().is_empty() {
            self.socket.stream.poll_read_ready(cx)
        } else {
            Poll::Ready(Ok(()))
        };
        match (readable, self.directive()) {
            (_, Directive::Abort) | (Poll::Ready(Err(_)), _) => Poll::Ready(false),
            (Poll::Ready(Ok(())), _) => self.poll_memory(),
            (Poll::Pending, Directive::Finish) => Poll::Ready(false),
            (Poll::Pending, Directive::Continue | Directive::Park) => Poll::Pending,
        }
    }

    /// Ready once there is memory to read the bytes that have arrived.
    fn poll_memory(&self) -> Poll<bool> {
        let reserved = self.table().on_readable(self.now(), self.id);
        match reserved {
            Ok(()) => Poll::Ready(true),
            Err(shortage) => {
                self.manager.wake_if_any(shortage.parking);
                Poll::Pending
            }
        }
    }

    /// Drives hyper's part of a connection to its end, or until it is to be parked. What was read is finished when the node
    /// closes; a connection whose time is up is dropped, but for an idle one, which may receive a request just then.
    /// `shut_down` has hyper finish and close.
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
                // An error here is a client that disconnected or spoke no HTTP: hyper has answered what can be.
                if Pin::new(&mut *http_connection).poll(cx).is_ready() {
                    return Poll::Ready(DriveOutcome::Closed);
                }
                // hyper looks for the client's end only while it has read nothing more of it.
                if self.is_in_phase(Phase::Processing) && self.poll_client_has_disconnected(cx) {
                    return Poll::Ready(DriveOutcome::Closed);
                }
                match self.directive() {
                    Directive::Abort => return Poll::Ready(DriveOutcome::Closed),
                    Directive::Park => return Poll::Ready(DriveOutcome::Park),
                    // Shut down while it reads a request, hyper would drop what it has of it: there the response closes
                    // the connection.
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

/// How hyper's part of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriveOutcome {
    /// The connection has ended, or is to be dropped.
    Closed,
    /// It has been idle for a while: all but the socket is to be released.
    Park,
}
