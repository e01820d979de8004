//! A socket to a cache server: whether a request may begin on it, and how far it has been written.

use super::peer::Peer;
use hyper::rt::ReadBufCursor;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How far the request of a connection has been written.
#[derive(Default)]
pub(super) struct WriteProgress {
    pub(super) begun: Cell<bool>,
    pub(super) whole: Cell<bool>,
    /// The connection has stood idle before, most often after an answer.
    pub(super) reused: Cell<bool>,
    /// What must still hold as the first byte is written.
    permit: RefCell<Option<SendPermit>>,
}

impl WriteProgress {
    pub(super) fn reset(&self, permit: SendPermit) {
        self.begun.set(false);
        self.whole.set(false);
        self.permit.replace(Some(permit));
    }

    pub(super) fn permitted(&self) -> bool {
        self.permit.borrow().as_ref().is_none_or(SendPermit::holds)
    }
}

/// Permission to begin a request. Between the attempt's own check and the first byte the connection's task has to be
/// scheduled, which takes long on a busy node: the server may begin to drain, or the client may leave, meanwhile.
pub(super) struct SendPermit {
    pub(super) peer: Rc<Peer>,
    /// The server's incarnation when the connection was made.
    pub(super) incarnation: u64,
    pub(super) start_deadline: Instant,
    pub(super) canceled: Rc<Cell<bool>>,
}

impl SendPermit {
    fn holds(&self) -> bool {
        let server_takes_it =
            self.peer.accepts_requests.get() && self.peer.incarnation.get() == self.incarnation;
        server_takes_it && !self.canceled.get() && Instant::now() < self.start_deadline
    }
}

/// A socket that records when a request's first and last byte are written. hyper puts a head and a body that is at hand
/// into one buffer and flushes the socket only when that is empty: a flush after a write is the end of it.
pub(super) struct WatchedSocket {
    pub(super) stream: TokioIo<TcpStream>,
    pub(super) progress: Rc<WriteProgress>,
}

impl WatchedSocket {
    /// Before the first byte of a request: it must still be permitted, and on a kept connection nothing may stand there to
    /// be read. hyper looks as well, but only as far as the runtime has polled, and would take what lies in the socket
    /// (a second copy of the last answer, noise) for the answer to this request.
    fn check(&self) -> io::Result<()> {
        if self.progress.begun.get() {
            return Ok(());
        }
        if !self.progress.permitted() {
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

    fn record(&self, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(wrote, Poll::Ready(Ok(n)) if n > 0) {
            self.progress.begun.set(true);
            // It would keep the server's record alive, which keeps this connection.
            self.progress.permit.take();
        }
        wrote
    }
}

impl hyper::rt::Read for WatchedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl hyper::rt::Write for WatchedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record(wrote)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) && self.progress.begun.get() {
            self.progress.whole.set(true);
        }
        flushed
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
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let wrote = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record(wrote)
    }
}
