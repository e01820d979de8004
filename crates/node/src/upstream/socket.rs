//! The socket of a connection to an endpoint, as hyper uses it.

use super::write_progress::WriteProgress;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// A socket that checks whether a request may start before it writes its first byte, and records
/// when the first and last bytes are written. hyper puts a head and an available body into one
/// buffer, and flushes the socket only when that buffer is empty: a flush after a write marks the
/// end of the request.
pub(super) struct EndpointSocket {
    /// The socket itself.
    pub(super) stream: TokioIo<TcpStream>,
    /// Write progress, shared with the pooled connection.
    pub(super) progress: Rc<WriteProgress>,
}

impl EndpointSocket {
    /// Fails if the request must not start, because it is no longer permitted or because a reused
    /// connection has data to read. hyper also checks for such data, but only as far as the runtime
    /// has polled, and would take data left in the socket (a duplicate of the last response, noise)
    /// for the response to this request.
    fn check_start(&self) -> io::Result<()> {
        if self.progress.started.get() {
            return Ok(());
        }
        if !self.progress.is_permitted() {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        if !self.progress.reused.get() {
            return Ok(());
        }
        match SockRef::from(self.stream.inner()).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Records the result of a write.
    fn record_write(&self, write_result: &Poll<io::Result<usize>>) {
        if matches!(write_result, Poll::Ready(Ok(bytes)) if *bytes > 0) {
            self.progress.on_written();
        }
    }
}

impl Read for EndpointSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for EndpointSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_start()?;
        let write_result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&write_result);
        write_result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flush_result = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flush_result, Poll::Ready(Ok(()))) && self.progress.started.get() {
            self.progress.complete.set(true);
        }
        flush_result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_start()?;
        let write_result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&write_result);
        write_result
    }
}
