//! Counts the bytes of a connection by what its request was for.

use super::status::DownstreamCounts;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The counts of all callers, changed in place.
#[derive(Debug, Default)]
pub struct DownstreamCounters(Cell<DownstreamCounts>);

impl DownstreamCounters {
    /// What was counted so far.
    pub fn get(&self) -> DownstreamCounts {
        self.0.get()
    }

    /// Counts something.
    pub fn add(&self, with: impl FnOnce(&mut DownstreamCounts)) {
        let mut counts = self.0.get();
        with(&mut counts);
        self.0.set(counts);
    }
}

/// The bytes of one connection.
#[derive(Debug)]
pub struct ConnectionByteCounter {
    counts: Rc<DownstreamCounters>,
    /// Bytes that were read and belong to no request yet.
    unclaimed: Cell<u64>,
    /// Whether what is written now answers a call for the list.
    counted: Cell<bool>,
    /// Whether a list was asked for.
    is_caller: Cell<bool>,
}

impl ConnectionByteCounter {
    pub fn new(counts: Rc<DownstreamCounters>) -> Self {
        Self {
            counts,
            unclaimed: Cell::new(0),
            counted: Cell::new(false),
            is_caller: Cell::new(false),
        }
    }

    /// A request was read; `counted` if it is one for the list.
    pub fn request(&self, counted: bool) {
        let bytes = self.unclaimed.take();
        self.counted.set(counted);
        if counted {
            let is_first = !self.is_caller.replace(true);
            self.counts.add(|counts| {
                counts.call_bytes += bytes;
                counts.connections += u64::from(is_first);
            });
        }
    }

    fn read(&self, bytes: usize) {
        self.unclaimed.set(self.unclaimed.get() + bytes as u64);
    }

    fn written(&self, bytes: usize) {
        if self.counted.get() {
            self.counts
                .add(|counts| counts.answer_bytes += bytes as u64);
        }
    }
}

/// A connection whose bytes are counted.
pub struct CountingStream {
    stream: TcpStream,
    byte_counter: Rc<ConnectionByteCounter>,
}

impl CountingStream {
    pub fn new(stream: TcpStream, byte_counter: Rc<ConnectionByteCounter>) -> Self {
        Self {
            stream,
            byte_counter,
        }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.byte_counter.read(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.byte_counter.written(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, parts))?;
        self.byte_counter.written(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
