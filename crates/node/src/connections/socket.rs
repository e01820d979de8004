//! The socket of a client and the bytes read from it ahead of the open request.

use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::io;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Largest size of one read.
pub(super) const READ_BYTES: usize = 8 << 10;
/// Largest number of bytes read ahead while a request is open, to detect that the client has
/// closed. A client that sends more gets the response to the open request and no further one: the
/// remaining bytes are read and discarded.
pub const MAX_READ_AHEAD_BYTES: usize = 8 << 10;
/// Maximum number of consecutive reads before the task yields to other connections.
const MAX_READS: usize = 8;

/// A client's socket and its state, shared by hyper's part of the connection and the handle.
pub(super) struct Socket {
    /// The socket itself. Read only by [`Self::try_read`], which records the end of the stream.
    pub(super) stream: TcpStream,
    /// Bytes that were read but not processed yet.
    pub(super) read_ahead: RefCell<BytesMut>,
    /// Set when the client has shut down its write half or the connection is broken.
    pub(super) read_closed: Cell<bool>,
    /// Set when the client has sent more than [`MAX_READ_AHEAD_BYTES`]. Further bytes are not read
    /// as requests.
    pub(super) read_ahead_exceeded: Cell<bool>,
    /// Time of the last write.
    pub(super) last_write_at: Cell<Option<Instant>>,
    /// Set when the node has shut down its write half: the connection is half-closed until the
    /// client shuts down its own.
    pub(super) write_shut_down: Cell<bool>,
}

impl Socket {
    /// Wraps a newly accepted socket.
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            read_ahead: RefCell::default(),
            read_closed: Cell::default(),
            read_ahead_exceeded: Cell::default(),
            last_write_at: Cell::default(),
            write_shut_down: Cell::default(),
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

    /// Reads available bytes ahead. Returns whether more bytes may be left.
    pub(super) fn fill_read_ahead(&self) -> bool {
        let mut buffer = [0; READ_BYTES];
        for _ in 0..MAX_READS {
            match self.try_read(&mut buffer) {
                Ok(read) if read > 0 => self.keep_read_ahead(&buffer[..read]),
                _ => return false,
            }
        }
        true
    }

    /// Appends bytes to the read-ahead buffer, or discards them if the limit is exceeded.
    fn keep_read_ahead(&self, bytes: &[u8]) {
        let mut read_ahead = self.read_ahead.borrow_mut();
        if self.read_ahead_exceeded.get() || read_ahead.len() + bytes.len() > MAX_READ_AHEAD_BYTES {
            self.read_ahead_exceeded.set(true);
        } else {
            read_ahead.extend_from_slice(bytes);
        }
    }
}
