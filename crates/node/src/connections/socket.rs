//! A client's socket, and what was read from it ahead of the request that is open.

use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::io;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The bytes of one read.
pub(super) const READ_BYTES: usize = 8 << 10;
/// The bytes read ahead, at most, while a request is open, to find out whether the client has closed. A client that sends
/// more gets this answer and no further one: the rest is read and discarded.
pub const MAX_READ_AHEAD_BYTES: usize = 8 << 10;
/// Reads in a row before other connections have their turn.
const MAX_READS: usize = 8;

/// A client's socket, read by whoever holds it.
pub(super) struct Socket {
    pub(super) stream: TcpStream,
    /// Read, and not used yet.
    pub(super) ahead: RefCell<BytesMut>,
    /// The client sends no more: it has gone.
    pub(super) ended: Cell<bool>,
    /// It has sent more than is kept: what follows is not read as requests.
    pub(super) overrun: Cell<bool>,
    /// When something was written last.
    pub(super) wrote: Cell<Option<Instant>>,
    /// The client was told that nothing more comes.
    pub(super) shut: Cell<bool>,
}

impl Socket {
    pub(super) fn new(stream: TcpStream) -> Self {
        let (ended, overrun, shut) = (Cell::default(), Cell::default(), Cell::default());
        Self {
            stream,
            ahead: RefCell::default(),
            ended,
            overrun,
            wrote: Cell::default(),
            shut,
        }
    }

    /// What there is to be read, without a wait. Unlike a runtime's read this goes on until the socket is empty, so that
    /// an end which came together with the last bytes is seen without another event.
    pub(super) fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let read = self.stream.try_read(buffer);
        match &read {
            Ok(0) => self.ended.set(true),
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => self.ended.set(true),
            _ => {}
        }
        read
    }

    pub(super) fn poll_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                wrote => {
                    self.wrote.set(Some(Instant::now()));
                    return Poll::Ready(wrote);
                }
            }
        }
    }

    /// Reads ahead what there is. Whether bytes may be left.
    pub(super) fn read_ahead(&self) -> bool {
        let mut part = [0; READ_BYTES];
        for _ in 0..MAX_READS {
            match self.try_read(&mut part) {
                Ok(n) if n > 0 => {
                    let mut ahead = self.ahead.borrow_mut();
                    if self.overrun.get() || ahead.len() + n > MAX_READ_AHEAD_BYTES {
                        self.overrun.set(true);
                    } else {
                        ahead.extend_from_slice(&part[..n]);
                    }
                }
                _ => return false,
            }
        }
        true
    }
}
