//! Counters of the messages exchanged with clients, and of the bytes on a connection.

use super::status::DownstreamCounts;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counters of the messages exchanged with all clients.
#[derive(Debug, Default)]
pub struct DownstreamCounters(Cell<DownstreamCounts>);

impl DownstreamCounters {
    /// Returns the current counts.
    pub fn get(&self) -> DownstreamCounts {
        self.0.get()
    }

    /// Applies a change to the counts.
    pub fn add(&self, change: impl FnOnce(&mut DownstreamCounts)) {
        let mut counts = self.0.get();
        change(&mut counts);
        self.0.set(counts);
    }
}

/// Attributes the bytes on one connection to its calls for the list. Bytes of other requests are
/// not counted.
#[derive(Debug)]
pub struct ConnectionByteCounter {
    counters: Rc<DownstreamCounters>,
    /// Number of bytes read but not yet attributed to a request.
    unattributed: Cell<u64>,
    /// Whether bytes written now belong to the answer to a call for the list.
    answers_list_call: Cell<bool>,
    /// Whether a call for the list has been read on the connection.
    has_list_call: Cell<bool>,
}

impl ConnectionByteCounter {
    /// Creates the counter of a new connection.
    pub fn new(counters: Rc<DownstreamCounters>) -> Self {
        Self {
            counters,
            unattributed: Cell::new(0),
            answers_list_call: Cell::new(false),
            has_list_call: Cell::new(false),
        }
    }

    /// Records that a request was read, and attributes all unattributed bytes to that request.
    pub fn begin_request(&self, is_list_call: bool) {
        let bytes = self.unattributed.take();
        self.answers_list_call.set(is_list_call);
        if is_list_call {
            let is_first = !self.has_list_call.replace(true);
            self.counters.add(|counts| {
                counts.call_bytes += bytes;
                counts.connections += u64::from(is_first);
            });
        }
    }

    fn add_read(&self, bytes: usize) {
        self.unattributed
            .set(self.unattributed.get() + bytes as u64);
    }

    fn add_written(&self, bytes: usize) {
        if self.answers_list_call.get() {
            self.counters
                .add(|counts| counts.answer_bytes += bytes as u64);
        }
    }
}

/// A TCP stream that reports the number of bytes read and written.
pub struct CountingStream {
    stream: TcpStream,
    byte_counter: Rc<ConnectionByteCounter>,
}

impl CountingStream {
    /// Wraps the stream of a connection.
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
        self.byte_counter.add_read(buffer.filled().len() - before);
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
        self.byte_counter.add_written(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, parts))?;
        self.byte_counter.add_written(written);
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
