//! The socket of a connection as hyper uses it.

use super::handle::ConnectionHandle;
use super::socket::READ_BYTES;
use bytes::Buf;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// The socket of a connection. Reports reads and writes to the table.
pub struct ReportingSocket(pub Rc<ConnectionHandle>);

impl ReportingSocket {
    /// Reports to the table that bytes were handed to hyper.
    fn report_read(&self) {
        self.0.table().on_bytes_read(self.0.now(), self.0.id);
    }

    /// Copies bytes that were read ahead to `buf`. Returns `false` if there are none.
    fn take_read_ahead(&self, buf: &mut ReadBufCursor<'_>) -> bool {
        let mut read_ahead = self.0.socket.read_ahead.borrow_mut();
        if read_ahead.is_empty() {
            return false;
        }
        let taken = read_ahead.len().min(buf.remaining());
        buf.put_slice(&read_ahead[..taken]);
        read_ahead.advance(taken);
        true
    }
}

impl Read for ReportingSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.take_read_ahead(&mut buf) {
            self.report_read();
            return Poll::Ready(Ok(()));
        }
        let socket = &self.0.socket;
        // Reports the end of the stream, because part of the following bytes was discarded.
        if socket.read_ahead_exceeded.get() {
            return Poll::Ready(Ok(()));
        }
        // A cursor does not report how many bytes were read into it, so they pass through a
        // separate buffer.
        let mut bytes = [0; READ_BYTES];
        let capacity = buf.remaining().min(READ_BYTES);
        loop {
            ready!(socket.stream.poll_read_ready(cx))?;
            match socket.try_read(&mut bytes[..capacity]) {
                Ok(read) => {
                    buf.put_slice(&bytes[..read]);
                    if read > 0 {
                        self.report_read();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
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
