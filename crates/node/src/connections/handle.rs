//! A connection's place in the table: its events, and how its directives are carried out.

use super::socket::Socket;
use super::ConnectionManager;
use bytes::{Bytes, BytesMut};
use slatelink_admission::{ConnectionId, Directive, KeepAlive, Phase};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::sleep_until;

/// For so long after its last write to a client a connection stays open unless that closes it: closed over bytes that
/// nobody has read, it would be reset, and take with it what the client has not read yet.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// A connection's place in the table.
pub struct ConnectionHandle {
    pub(super) table: Rc<ConnectionManager>,
    pub(super) id: ConnectionId,
    pub(super) socket: Socket,
}

impl ConnectionHandle {
    /// What is polled with this context is woken where the table has something to tell it.
    fn follow(&self, cx: &Context<'_>) {
        if let Some(waker) = self.table.wakers.borrow_mut().get_mut(self.id as usize) {
            // A task's waker stays the same for as long as it runs.
            waker.get_or_insert_with(|| cx.waker().clone());
        }
    }

    fn directive(&self) -> Directive {
        self.table.connections.borrow_mut().directive(self.id)
    }

    /// Whether the connection closes with the response that it is about to write.
    pub fn closes_with_response(&self) -> bool {
        let keep_alive = self
            .table
            .connections
            .borrow_mut()
            .keep_alive(self.table.now(), self.id);
        if let KeepAlive::KeepAndEvict(idle) = keep_alive {
            self.table.wake(idle);
        }
        keep_alive == KeepAlive::Close
    }

    /// A request's head has come; its body may follow.
    pub fn on_request_head(&self) {
        self.table
            .connections
            .borrow_mut()
            .on_request_head(self.table.now(), self.id);
    }

    /// A request of this class has come whole. Whether its class has more of them open than its share.
    pub fn on_request(&self, class: usize) -> bool {
        self.table
            .connections
            .borrow_mut()
            .on_request(self.table.now(), self.id, class)
    }

    /// So many more bytes are held for its request, until the answer. `false` where there is no memory for them.
    pub fn reserve_request_bytes(&self, bytes: usize) -> bool {
        self.table
            .connections
            .borrow_mut()
            .reserve_request_bytes(self.id, bytes)
    }

    /// Its answer is at hand.
    pub fn on_response(&self) {
        self.table
            .connections
            .borrow_mut()
            .on_response(self.table.now(), self.id);
    }

    /// The connection gives up all but its socket; `before` was read from that and not used.
    pub fn park(&self, before: &Bytes) {
        self.table.connections.borrow_mut().on_parked(self.id);
        self.table.wake_starved();
        let mut ahead = self.socket.ahead.borrow_mut();
        let behind = ahead.split();
        // A buffer of its own size: as it comes each would keep all of what it was read into.
        *ahead = BytesMut::with_capacity(before.len() + behind.len());
        ahead.extend_from_slice(before);
        ahead.extend_from_slice(&behind);
    }

    /// Whether what the client sends is not read as requests any more, since it sent too much at once.
    pub fn overrun(&self) -> bool {
        self.socket.overrun.get()
    }

    /// Whether the client has gone, also where its end stands behind bytes that nobody has asked for.
    pub fn client_has_left(&self) -> bool {
        self.socket.read_ahead();
        self.socket.ended.get()
    }

    /// The same, polled again whenever there is more to look at.
    fn poll_client_has_left(&self, cx: &mut Context<'_>) -> bool {
        while !self.socket.ended.get() {
            match self.socket.stream.poll_read_ready(cx) {
                Poll::Pending => return false,
                Poll::Ready(Err(_)) => self.socket.ended.set(true),
                Poll::Ready(Ok(())) if self.socket.read_ahead() => {
                    cx.waker().wake_by_ref();
                    return self.socket.ended.get();
                }
                Poll::Ready(Ok(())) => {}
            }
        }
        true
    }

    fn is_at(&self, phase: Phase) -> bool {
        self.table.connections.borrow().phase(self.id) == phase
    }

    /// Keeps a connection that was shut for as long as its client may still be reading, and reads nothing from it: what
    /// crossed the end is its client's to send again, elsewhere.
    pub async fn linger(&self) {
        let Some(wrote) = self.socket.wrote.get().filter(|_| self.socket.shut.get()) else {
            return;
        };
        if self.socket.ended.get() || !self.table.connections.borrow().may_linger(self.id) {
            return;
        }
        let until = wrote + LINGER_TIME;
        let mut seen = [0];
        tokio::select! {
            // Closed by the client, unless there are bytes: nothing tells what stands behind those.
            seen = self.socket.stream.peek(&mut seen) => if matches!(seen, Ok(n) if n > 0) {
                sleep_until(until).await;
            },
            () = sleep_until(until) => {}
        }
    }

    /// Waits until bytes arrive on a parked connection and there is memory to read them. `false` where
    /// the node ends it first, or it is broken.
    pub fn poll_spoken(&self, cx: &mut Context<'_>) -> Poll<bool> {
        self.follow(cx);
        // What has come by then is taken: it goes before the end.
        let spoken = match self.socket.ahead.borrow().is_empty() {
            true => self.socket.stream.poll_read_ready(cx),
            false => Poll::Ready(Ok(())),
        };
        let directive = self.directive();
        if matches!(spoken, Poll::Ready(Err(_))) || directive == Directive::Abort {
            return Poll::Ready(false);
        }
        if spoken.is_ready() {
            let reserved = self
                .table
                .connections
                .borrow_mut()
                .on_readable(self.table.now(), self.id);
            let Err(shortage) = reserved else {
                return Poll::Ready(true);
            };
            self.table.wake_one(shortage.parking);
            return Poll::Pending;
        }
        match directive {
            Directive::Finish => Poll::Ready(false),
            _ => Poll::Pending,
        }
    }

    /// Drives a connection to its end, or until it is to be parked: what was taken is finished when the node closes; a
    /// connection whose time is up is dropped, but for an idle one, which may be met by a request just then.
    pub async fn drive<C>(&self, serving: &mut C, close: impl Fn(Pin<&mut C>)) -> DriveOutcome
    where
        C: Future + Unpin,
    {
        let mut closed = false;
        poll_fn(|cx| {
            self.follow(cx);
            loop {
                // An error here is a client that left or spoke no HTTP: hyper has answered what can be.
                if Pin::new(&mut *serving).poll(cx).is_ready() {
                    return Poll::Ready(DriveOutcome::Over);
                }
                // hyper looks for the client's end only while it has read nothing more of it.
                if self.is_at(Phase::Processing) && self.poll_client_has_left(cx) {
                    return Poll::Ready(DriveOutcome::Over);
                }
                match self.directive() {
                    Directive::Abort => return Poll::Ready(DriveOutcome::Over),
                    Directive::Park => return Poll::Ready(DriveOutcome::Park),
                    // Closed now, hyper would drop the half of a request that it has: its answer closes the connection.
                    Directive::Finish if !closed && !self.is_at(Phase::ReadingRequest) => {
                        closed = true;
                        close(Pin::new(serving));
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
        self.table.connections.borrow_mut().remove(self.id);
        if let Some(waker) = self.table.wakers.borrow_mut().get_mut(self.id as usize) {
            *waker = None;
        }
        self.table.wake_starved();
        self.table.freed.notify_one();
    }
}

/// What a connection came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriveOutcome {
    /// It has ended, or is to be dropped.
    Over,
    /// It has been idle for a while.
    Park,
}
