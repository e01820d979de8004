//! A client's socket, and what was read from it ahead of the request that is open.

use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::io;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The most bytes of one read.
pub(super) const READ_BYTES: usize = 8 << 10;
/// The bytes read ahead, at most, while a request is open, to find out whether the client has closed. A client that sends
/// more gets the response to that request and no further one: the rest is read and discarded.
pub const MAX_READ_AHEAD_BYTES: usize = 8 << 10;
/// Reads in a row before other connections have their turn.
const MAX_READS: usize = 8;

/// A client's socket and its state, shared by hyper's part of the connection and the handle.
pub(super) struct Socket {
    /// The socket itself; read by [`Self::try_read`] alone, so that an end is noticed.
    pub(super) stream: TcpStream,
    /// Bytes that were read and not used yet.
    pub(super) read_ahead: RefCell<BytesMut>,
    /// The client has closed its side, or the connection is broken.
    pub(super) read_closed: Cell<bool>,
    /// The client has sent more than [`MAX_READ_AHEAD_BYTES`]: what follows is not read as requests.
    pub(super) read_ahead_exceeded: Cell<bool>,
    /// When something was written last.
    pub(super) last_write_at: Cell<Option<Instant>>,
    /// The node has closed its side: the connection is half-closed until the client has closed the other.
    pub(super) write_shut_down: Cell<bool>,
}

impl Socket {
    /// A socket that was just accepted.
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

    /// Reads what there is, without a wait. Unlike a runtime's read this goes on until the socket is empty, so that an end
    /// which came together with the last bytes is seen without another event.
    pub(super) fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let read = self.stream.try_read(buffer);
        match &read {
            Ok(0) => self.read_closed.set(true),
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => self.read_closed.set(true),
            _ => {}
        }
        read
    }

    /// Writes once the socket takes bytes; `write` fails with `WouldBlock` where it takes none after all.
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

    /// Reads ahead what there is. Whether bytes may be left.
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

    /// Keeps bytes for later, or discards them where they are too many.
    fn keep_read_ahead(&self, bytes: &[u8]) {
        let mut read_ahead = self.read_ahead.borrow_mut();
        if self.read_ahead_exceeded.get() || read_ahead.len() + bytes.len() > MAX_READ_AHEAD_BYTES {
            self.read_ahead_exceeded.set(true);
        } else {
            read_ahead.extend_from_slice(bytes);
        }
    }
}
