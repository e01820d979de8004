//! Reading from a connection: in turns, with the time that bytes have waited unread.

use super::handle::ConnectionHandle;
use super::socket::READ_BYTES;
use slatelink_admission::{Directive, Phase};
use std::io;
use std::task::{ready, Context, Poll};
use tokio::task::yield_now;
use tokio::time::Instant;

/// Largest number of bytes behind a request that are read to find out whether its client is still
/// there: a further request of the maximum length, and as much again for its head. A client that
/// sends more does not use the connection for one request at a time.
const MAX_TRAILING_BYTES: usize = 96 << 10;
/// Maximum number of consecutive reads before the task yields to other connections.
const MAX_READS: usize = 8;

/// What is known about the client of a request that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPresence {
    /// Nothing shows that the client has left.
    Present,
    /// The client has shut down its write half, or the connection is broken.
    Disconnected,
    /// The client has sent so much behind its request that its end may stand behind it unread.
    Unknown,
}

/// What to do with a connection that waits for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextRequest {
    /// A whole head has arrived, and there is memory to handle its request.
    Serve,
    /// A whole head has arrived, and there was no memory for its request in time.
    Refuse,
    /// The connection is broken or to be closed.
    Close,
}

impl ConnectionHandle {
    /// Waits until the head of a request was received completely and there is memory to handle the
    /// request, or the connection is to end.
    pub fn poll_next_request(&self, cx: &mut Context<'_>) -> Poll<NextRequest> {
        self.register_waker(cx);
        loop {
            if !self.socket.inbound.borrow().awaits_head() {
                return self.poll_memory();
            }
            if self.directive() == Directive::Abort || self.socket.read_closed.get() {
                return Poll::Ready(NextRequest::Close);
            }
            match self.poll_receive(cx) {
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(_)) => return Poll::Ready(NextRequest::Close),
                Poll::Pending => return self.poll_unfinished_request(),
            }
        }
    }

    /// Decides whether a connection without unread bytes goes on waiting. A request that has begun
    /// is awaited until its timeout.
    fn poll_unfinished_request(&self) -> Poll<NextRequest> {
        let begun = self.socket.inbound.borrow().len() > 0;
        match self.directive() {
            Directive::Abort => Poll::Ready(NextRequest::Close),
            Directive::Finish if !begun && !self.waits_for_turn() => {
                Poll::Ready(NextRequest::Close)
            }
            _ => Poll::Pending,
        }
    }

    /// Returns ready once there is memory to handle the request whose head was received.
    fn poll_memory(&self) -> Poll<NextRequest> {
        let reserved = self.table().on_readable(self.now(), self.id);
        match reserved {
            Ok(()) => {
                // The released memory may suffice for more than one connection.
                self.manager.wake_awaiting_memory();
                Poll::Ready(NextRequest::Serve)
            }
            Err(shortage) => {
                self.manager.wake_if_any(shortage.parking);
                match self.directive() {
                    Directive::Abort => Poll::Ready(NextRequest::Refuse),
                    _ => Poll::Pending,
                }
            }
        }
    }

    /// Receives bytes of the next request in the connection's turn. Returns the number of bytes; 0
    /// at the end of the stream.
    pub(super) fn poll_receive(&self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BYTES];
        let room = self.socket.inbound.borrow().room().min(READ_BYTES);
        let read = ready!(self.poll_read_in_turn(cx, &mut bytes[..room]))?;
        self.hold(&bytes[..read.count], read.arrived_at);
        Poll::Ready(Ok(read.count))
    }

    /// Reads bytes of the current request in the connection's turn, without holding them.
    pub(super) fn poll_receive_unbuffered(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(self.poll_read_in_turn(cx, buffer))?;
        self.socket.inbound.borrow_mut().on_passed(read.count);
        self.table().on_bytes_read(self.now(), self.id);
        Poll::Ready(Ok(read.count))
    }

    /// Adds received bytes to those held.
    fn hold(&self, bytes: &[u8], arrived_at: Instant) {
        if bytes.is_empty() {
            return;
        }
        let allocated = {
            let mut inbound = self.socket.inbound.borrow_mut();
            inbound.push(bytes, arrived_at);
            inbound.allocated()
        };
        let mut table = self.table();
        table.on_bytes_read(self.now(), self.id);
        table.on_bytes_held(self.id, allocated);
    }

    fn poll_read_in_turn(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<ReceivedBytes>> {
        loop {
            // A connection that waits for its turn is woken by it, and by nothing on its socket.
            if self.waits_for_turn() {
                return Poll::Pending;
            }
            let Poll::Ready(readiness) = self.socket.stream.poll_read_ready(cx) else {
                // What has waited so far was read.
                self.read_delay.reset();
                return Poll::Pending;
            };
            readiness?;
            let allowed = ready!(self.poll_turn());
            let count = buffer.len().min(allowed);
            match self.socket.try_read(&mut buffer[..count]) {
                Ok(count) => {
                    let arrived_at = self.read_delay.arrival_before(Instant::now());
                    self.manager
                        .reads
                        .borrow_mut()
                        .on_bytes_read(self.id, count);
                    return Poll::Ready(Ok(ReceivedBytes { count, arrived_at }));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.manager.reads.borrow_mut().return_turn(self.id);
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Waits for the connection's turn to pass on bytes that were read before.
    pub(super) fn poll_turn_for_held_bytes(&self) -> Poll<()> {
        match self.manager.request_turn(self.id) {
            Some(_) => Poll::Ready(()),
            None => Poll::Pending,
        }
    }

    /// Returns the number of bytes that the connection may read now. Waits for its turn while others
    /// read.
    fn poll_turn(&self) -> Poll<usize> {
        let now = Instant::now();
        let turn = self.manager.request_turn(self.id);
        match turn {
            Some(bytes) => {
                self.read_delay.end_wait(now);
                self.read_delay.at_least(self.manager.stall(now));
                Poll::Ready(bytes)
            }
            None => {
                self.read_delay.at_least(self.manager.stall(now));
                self.read_delay.begin_wait(now);
                Poll::Pending
            }
        }
    }

    /// Returns whether the connection is in the queue of those that have bytes to read.
    fn waits_for_turn(&self) -> bool {
        self.manager.reads.borrow().is_waiting(self.id)
    }

    /// Ends the connection's turn: the current request was received completely.
    pub(super) fn end_turn(&self) {
        self.manager.reads.borrow_mut().end_turn(self.id);
    }

    /// Finds out whether the client of a request that was read is still there. Its end may stand
    /// behind other bytes, which are read for that, up to 96 KiB. More bytes may be
    /// on their way until a read after the other tasks finds none.
    pub async fn client_presence(&self) -> ClientPresence {
        let mut trailing_bytes = 0;
        loop {
            let read = self.read_ahead();
            if self.socket.read_closed.get() {
                return ClientPresence::Disconnected;
            }
            if read == 0 {
                return ClientPresence::Present;
            }
            trailing_bytes += read;
            if trailing_bytes > MAX_TRAILING_BYTES {
                self.table().on_trailing_bytes_refusal();
                return ClientPresence::Unknown;
            }
            yield_now().await;
        }
    }

    /// Reads the bytes that have arrived behind the current request, in a bounded number of reads.
    /// Returns their number.
    fn read_ahead(&self) -> usize {
        let mut bytes = [0; READ_BYTES];
        let mut total = 0;
        for _ in 0..MAX_READS {
            match self.socket.try_read(&mut bytes) {
                Ok(count) if count > 0 => {
                    total += count;
                    self.manager
                        .reads
                        .borrow_mut()
                        .on_bytes_read(self.id, count);
                    self.hold(&bytes[..count], Instant::now());
                }
                _ => break,
            }
        }
        total
    }

    /// Returns whether the client has disconnected; wakes the task when that may have changed.
    pub(super) fn poll_client_has_disconnected(&self, cx: &mut Context<'_>) -> bool {
        while !self.socket.read_closed.get() {
            if self.waits_for_turn() {
                return false;
            }
            match self.socket.stream.poll_read_ready(cx) {
                Poll::Pending => return false,
                Poll::Ready(Err(_)) => self.socket.read_closed.set(true),
                Poll::Ready(Ok(())) if self.poll_turn().is_pending() => return false,
                Poll::Ready(Ok(())) => {
                    if self.read_ahead() == 0 {
                        self.manager.reads.borrow_mut().return_turn(self.id);
                    } else {
                        self.end_turn();
                    }
                }
            }
        }
        true
    }

    /// Returns whether the client has left before its request, which was read completely, is
    /// processed.
    pub(super) fn client_left_before_processing(&self) -> bool {
        let complete = self.socket.inbound.borrow().is_body_complete();
        complete && self.socket.read_closed.get() && self.is_in_phase(Phase::ReadingRequest)
    }

    /// Returns whether the connection needs no parser: it waits for the rest of a head, and no
    /// request is in progress.
    pub(super) fn holds_incomplete_head(&self) -> bool {
        let inbound = self.socket.inbound.borrow();
        let incomplete = inbound.awaits_head() && inbound.len() > 0 && !inbound.is_exceeded();
        incomplete && self.is_in_phase(Phase::ReadingRequest) && !self.socket.read_closed.get()
    }
}

/// Bytes that were read from the socket.
struct ReceivedBytes {
    count: usize,
    /// Time at which they would have been read without a wait.
    arrived_at: Instant,
}
