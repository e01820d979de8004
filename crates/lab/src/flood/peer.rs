//! One peer of a flood.

use super::{Flood, FloodCounts, FloodPacing};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Bytes that a pipelining peer hands to its socket at once.
const BATCH_BYTES: usize = 32 << 10;
/// Size of the pieces of a slow peer, in bytes.
const PIECE_BYTES: usize = 1 << 10;
/// Pause of a slow peer after each piece.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Bytes that a leaving peer sends behind its message.
const TRAILING_BYTES: usize = 400_000;
/// Longest time for which a leaving peer writes.
const LEAVING_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a failed connection attempt.
const CONNECT_PAUSE: Duration = Duration::from_millis(5);

/// Counts of all peers of a flood.
#[derive(Default)]
pub(super) struct PeerCounts {
    connections: Cell<u64>,
    bytes_written: Cell<u64>,
    bytes_read: Cell<u64>,
    /// Messages that peers have begun.
    messages: Cell<u64>,
}

impl PeerCounts {
    /// Returns the counts so far.
    pub(super) fn total(&self) -> FloodCounts {
        FloodCounts {
            connections: self.connections.get(),
            bytes_written: self.bytes_written.get(),
            bytes_read: self.bytes_read.get(),
        }
    }
}

/// Connects again and again, and sends the flood's messages on each connection.
pub(super) async fn run_peer(flood: Flood, peer: usize, node: SocketAddr, counts: Rc<PeerCounts>) {
    // Peers that start together would stay in step.
    sleep(Duration::from_micros(peer as u64 * 100)).await;
    loop {
        let Ok(stream) = TcpStream::connect(node).await else {
            sleep(CONNECT_PAUSE).await;
            continue;
        };
        add(&counts.connections, 1);
        let mut connection = Connection {
            stream,
            flood: &flood,
            counts: &counts,
        };
        // The node may close the connection at any time; the peer then connects again.
        let _ = connection.send_messages().await;
        drop(connection);
        yield_now().await;
    }
}

fn add(count: &Cell<u64>, more: u64) {
    count.set(count.get() + more);
}

/// A connection of a peer.
struct Connection<'a> {
    stream: TcpStream,
    flood: &'a Flood,
    counts: &'a PeerCounts,
}

impl Connection<'_> {
    async fn send_messages(&mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        match self.flood.pacing {
            FloodPacing::Pipelined => self.pipeline().await,
            FloodPacing::ClosedLoop => self.request_in_turn().await,
            FloodPacing::Slow => self.send_slowly().await,
            FloodPacing::Stopped => self.stop_half_way().await,
            FloodPacing::Leaving => self.leave().await,
            FloodPacing::ConnectOnly => Ok(()),
        }
    }

    /// Returns a message that no peer of the flood has sent yet.
    fn next_message(&self) -> Vec<u8> {
        let number = self.counts.messages.get();
        self.counts.messages.set(number + 1);
        self.flood.message(self.flood.first_number + number)
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        add(&self.counts.bytes_written, bytes.len() as u64);
        Ok(())
    }

    /// Reads bytes of responses, at least one.
    async fn read(&mut self) -> io::Result<()> {
        let mut buffer = [0; 8 << 10];
        let read = self.stream.read(&mut buffer).await?;
        add(&self.counts.bytes_read, read as u64);
        match read {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Writes messages while there is space, and discards the responses.
    async fn pipeline(&mut self) -> io::Result<()> {
        let (mut reader, mut writer) = self.stream.split();
        let counts = self.counts;
        let flood = self.flood;
        let write = async {
            loop {
                let mut batch = Vec::with_capacity(BATCH_BYTES);
                while batch.len() < BATCH_BYTES {
                    let number = counts.messages.get();
                    counts.messages.set(number + 1);
                    batch.extend_from_slice(&flood.message(flood.first_number + number));
                }
                writer.write_all(&batch).await?;
                add(&counts.bytes_written, batch.len() as u64);
            }
        };
        let read = async {
            let mut buffer = vec![0; BATCH_BYTES];
            loop {
                let read = reader.read(&mut buffer).await?;
                add(&counts.bytes_read, read as u64);
                if read == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        };
        tokio::select! {
            written = write => written,
            ended = read => ended,
        }
    }

    /// Sends a message and waits for the start of its response, again and again. The responses to
    /// the messages of a flood are small enough to arrive at once.
    async fn request_in_turn(&mut self) -> io::Result<()> {
        loop {
            let message = self.next_message();
            self.write(&message).await?;
            self.read().await?;
        }
    }

    async fn send_slowly(&mut self) -> io::Result<()> {
        loop {
            for piece in self.next_message().chunks(PIECE_BYTES) {
                self.write(piece).await?;
                sleep(PIECE_PAUSE).await;
            }
            self.read().await?;
        }
    }

    async fn stop_half_way(&mut self) -> io::Result<()> {
        let message = self.next_message();
        self.write(&message[..message.len() / 2]).await?;
        loop {
            self.read().await?;
        }
    }

    async fn leave(&mut self) -> io::Result<()> {
        let mut bytes = self.next_message();
        bytes.resize(bytes.len() + TRAILING_BYTES, b'x');
        // A node that does not read in time gets what its socket and this one hold.
        timeout(LEAVING_PAUSE, self.write(&bytes)).await?
    }
}
