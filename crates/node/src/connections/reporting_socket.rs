//! The socket of a connection as hyper uses it.

use super::handle::ConnectionHandle;
use super::socket::{Socket, READ_BYTES};
use bytes::Buf;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// The socket of a connection, which reports to the table what is read and written on it.
pub struct ReportingSocket(pub Rc<ConnectionHandle>);

impl Read for ReportingSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let ConnectionHandle { table, id, socket } = &*self.0;
        let note_read = || {
            table
                .connections
                .borrow_mut()
                .on_bytes_read(table.now(), *id)
        };
        let mut ahead = socket.ahead.borrow_mut();
        if !ahead.is_empty() {
            let part = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..part]);
            ahead.advance(part);
            note_read();
            return Poll::Ready(Ok(()));
        }
        // What would follow was dropped in part.
        if socket.overrun.get() {
            return Poll::Ready(Ok(()));
        }
        // A cursor does not tell what was read into it: the bytes pass through a buffer that does.
        let mut bytes = [0; READ_BYTES];
        let room = buf.remaining().min(READ_BYTES);
        loop {
            ready!(socket.stream.poll_read_ready(cx))?;
            match socket.try_read(&mut bytes[..room]) {
                Ok(read) => {
                    buf.put_slice(&bytes[..read]);
                    if read > 0 {
                        note_read();
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
        // hyper flushes the socket, which itself holds nothing back, only once all of an answer is written.
        let ConnectionHandle { table, id, .. } = &*self.0;
        table.connections.borrow_mut().on_flushed(table.now(), *id);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Socket { stream, shut, .. } = &self.0.socket;
        shut.set(true);
        Poll::Ready(SockRef::from(stream).shutdown(Shutdown::Write))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0.socket;
        socket.poll_write(cx, || socket.stream.try_write_vectored(bufs))
    }
}
