//! The socket of a client and the bytes received from it.

use super::inbound::Inbound;
use std::cell::{Cell, RefCell};
use std::io;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Largest size of one read.
pub(super) const READ_BYTES: usize = 8 << 10;

/// A client's socket and its state, shared by hyper's part of the connection and the handle.
pub(super) struct Socket {
    /// The socket itself. Read only by [`Self::try_read`], which records the end of the stream.
    pub(super) stream: TcpStream,
    /// Bytes that were received and not passed to hyper yet.
    pub(super) inbound: RefCell<Inbound>,
    /// Set when the client has shut down its write half or the connection is broken.
    pub(super) read_closed: Cell<bool>,
    /// Time of the last write.
    pub(super) last_write_at: Cell<Option<Instant>>,
    /// Set when the node has shut down its write half: the connection is half-closed until the
    /// client shuts down its own.
    pub(super) write_shut_down: Cell<bool>,
    /// Set when a whole response was written, until hyper was polled for the next request.
    pub(super) response_written: Cell<bool>,
}

impl Socket {
    /// Wraps a newly accepted socket.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            inbound: RefCell::new(Inbound::new()),
            read_closed: Cell::default(),
            last_write_at: Cell::default(),
            write_shut_down: Cell::default(),
            response_written: Cell::default(),
        }
    }

    /// Reads the available bytes without waiting. Unlike the runtime's read, it reads until the
    /// socket is empty, so an end of stream that arrives with the last bytes is detected without
    /// another event.
    pub(super) fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let read = self.stream.try_read(buffer);
        match &read {
            Ok(0) => self.read_closed.set(true),
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => self.read_closed.set(true),
            _ => {}
        }
        read
    }

    /// Writes as soon as the socket is ready. `write` fails with `WouldBlock` if the socket accepts
    /// no bytes after all.
    pub(super) fn poll_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    self.last_write_at.set(Some(Instant::now()));
                    return Poll::Ready(written);
                }
            }
        }
    }
}
