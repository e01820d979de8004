//! The socket of a connection as hyper uses it.

use super::handle::ConnectionHandle;
use super::socket::READ_BYTES;
use hyper::rt::{Read, ReadBufCursor, Write};
use slatelink_admission::Phase;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// The socket of a connection. Passes on one request at a time, and reports reads and writes.
pub struct ReportingSocket(pub Rc<ConnectionHandle>);

impl ReportingSocket {
    /// Passes on held bytes of the current request, in the connection's turn. Returns `false` if
    /// there are none.
    fn poll_pass_held(&self, buf: &mut ReadBufCursor<'_>) -> Poll<bool> {
        if !self.0.socket.inbound.borrow().has_passable_bytes() {
            return Poll::Ready(false);
        }
        ready!(self.0.poll_turn_for_held_bytes());
        let mut inbound = self.0.socket.inbound.borrow_mut();
        Poll::Ready(inbound.pass(buf.remaining(), |bytes| buf.put_slice(bytes)))
    }

    /// Passes on bytes of the current request as they arrive.
    fn poll_pass_arriving(
        &self,
        cx: &mut Context<'_>,
        buf: &mut ReadBufCursor<'_>,
        max: usize,
    ) -> Poll<io::Result<()>> {
        // A cursor does not report how many bytes were read into it, so they pass through a
        // separate buffer.
        let mut bytes = [0; READ_BYTES];
        let max = max.min(buf.remaining()).min(READ_BYTES);
        let count = ready!(self.0.poll_receive_unbuffered(cx, &mut bytes[..max]))?;
        buf.put_slice(&bytes[..count]);
        Poll::Ready(Ok(()))
    }

    /// Ends the connection's turn if the current request was passed on completely.
    fn end_turn_if_complete(&self) {
        if self.0.socket.inbound.borrow().is_request_complete() {
            self.0.end_turn();
        }
    }
}

impl Read for ReportingSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0.socket;
        loop {
            if ready!(self.poll_pass_held(&mut buf)) {
                self.end_turn_if_complete();
                return Poll::Ready(Ok(()));
            }
            let unbuffered = socket.inbound.borrow().unbuffered_bytes();
            if unbuffered > 0 {
                ready!(self.poll_pass_arriving(cx, &mut buf, unbuffered))?;
                self.end_turn_if_complete();
                return Poll::Ready(Ok(()));
            }
            // The whole request was passed on. The end of the stream is detected by `drive`.
            if !socket.inbound.borrow().awaits_head() {
                return Poll::Pending;
            }
            // Reports the end of the stream also if part of the following bytes was discarded.
            if socket.read_closed.get() || socket.inbound.borrow().is_exceeded() {
                return Poll::Ready(Ok(()));
            }
            ready!(self.0.poll_receive(cx))?;
        }
    }
}

impl Write for ReportingSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0.socket;
        socket.poll_write(cx, || socket.stream.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket, which has no buffer of its own, only after a whole response is
        // written.
        if self.0.is_in_phase(Phase::WritingResponse) {
            self.0.socket.inbound.borrow_mut().on_response_written();
            self.0.socket.response_written.set(true);
        }
        self.0.table().on_flushed(self.0.now(), self.0.id);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = &self.0.socket;
        socket.write_shut_down.set(true);
        Poll::Ready(SockRef::from(&socket.stream).shutdown(Shutdown::Write))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0.socket;
        socket.poll_write(cx, || socket.stream.try_write_vectored(bufs))
    }
}
