//! HTTP/1.1 messages on a socket, parsed with `httparse` without a client or server library in
//! between, so that truncated responses, silent peers and resets reach the lab unchanged.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Maximum size of a message, head and body, in bytes; a longer one is an error.
const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Maximum number of headers of a message; a message with more is malformed.
const MAX_HEADERS: usize = 32;
/// Free space in the buffer before each read, in bytes.
const READ_BYTES: usize = 8 << 10;
/// Pause after a failed accept: an immediate retry would fail again and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Error of reading a message.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The peer closed or reset the connection.
    #[error("the connection ended")]
    Ended {
        /// Whether bytes of the message had arrived.
        partial: bool,
    },
    /// The message is not HTTP.
    #[error("not HTTP: {0}")]
    Malformed(#[from] httparse::Error),
    /// The message is longer than `MAX_MESSAGE_BYTES`.
    #[error("not HTTP: a message too large")]
    TooLarge,
}

/// A connection and its read buffer.
pub struct Conn {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Arrival time of the first byte of the next message.
    first_byte_at: Option<Instant>,
}

/// A received request.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Method: `GET` or `PUT`.
    pub method: String,
    /// Request target.
    pub path: String,
    /// Value of `Req-Id`.
    pub id: Option<String>,
    /// Length of the body in bytes.
    pub body: usize,
    /// Length of the whole message in bytes.
    pub bytes: usize,
    /// Arrival time of the first byte.
    pub started_at: Option<Instant>,
}

/// A received response.
#[derive(Clone, Debug, Default)]
pub struct ReceivedResponse {
    /// Status code.
    pub status: u16,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// Whether the peer closes the connection after the response.
    pub close: bool,
    /// Body of the response.
    pub body: Vec<u8>,
}

impl Conn {
    /// Creates a connection with an empty read buffer on a connected socket.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
            first_byte_at: None,
        })
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Resets the connection, as when a process is killed.
    pub fn reset(self) {
        reset(self.stream);
    }

    /// Checks an idle connection: `Some(true)` if the peer sent unrequested bytes, `Some(false)` if
    /// it closed the connection, `None` if the connection is usable.
    pub fn stale(&mut self) -> Option<bool> {
        if !self.buffer.is_empty() {
            return Some(true);
        }
        let mut byte = [0; 1];
        match self.stream.try_read(&mut byte) {
            Ok(0) => Some(false),
            Ok(_) => Some(true),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
            Err(_) => Some(false),
        }
    }

    /// Waits until the peer ends the connection or sends bytes; returns at once if bytes are
    /// buffered.
    pub async fn closed_or_readable(&mut self) {
        if self.buffer.is_empty() {
            let _ = self.read_more().await;
        }
    }

    /// Reads and discards all bytes until the peer ends the connection.
    pub async fn drain(&mut self) {
        while self.read_more().await.is_ok() {
            self.buffer.clear();
        }
    }

    async fn read_more(&mut self) -> Result<(), ReadError> {
        let had_bytes = !self.buffer.is_empty();
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(ReadError::Ended { partial: had_bytes }),
            Ok(_) if self.buffer.len() > MAX_MESSAGE_BYTES => Err(ReadError::TooLarge),
            Ok(_) => {
                if !had_bytes {
                    self.first_byte_at = Some(Instant::now());
                }
                Ok(())
            }
        }
    }

    /// Reads the next complete request.
    pub async fn request(&mut self) -> Result<ReceivedRequest, ReadError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            let parsed = head.parse(&self.buffer)?;
            if let httparse::Status::Complete(start) = parsed {
                let body = content_length(head.headers);
                if self.buffer.len() >= start + body {
                    let text = |name: &str| header(head.headers, name).map(str::to_owned);
                    let received_request = ReceivedRequest {
                        method: head.method.unwrap_or_default().to_owned(),
                        path: head.path.unwrap_or_default().to_owned(),
                        id: text("req-id"),
                        body,
                        bytes: start + body,
                        started_at: self.first_byte_at.take(),
                    };
                    self.buffer.drain(..start + body);
                    return Ok(received_request);
                }
            }
            self.read_more().await?;
        }
    }

    /// Reads the next complete response.
    pub async fn response(&mut self) -> Result<ReceivedResponse, ReadError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut headers);
            let parsed = head.parse(&self.buffer)?;
            if let httparse::Status::Complete(start) = parsed {
                let body = content_length(head.headers);
                if self.buffer.len() >= start + body {
                    let text = |name| header(head.headers, name);
                    let received_response = ReceivedResponse {
                        status: head.code.unwrap_or_default(),
                        retry_after: text("retry-after").and_then(|text| text.parse().ok()),
                        close: text("connection")
                            .is_some_and(|text| text.eq_ignore_ascii_case("close")),
                        body: self.buffer[start..start + body].to_vec(),
                    };
                    self.buffer.drain(..start + body);
                    self.first_byte_at = None;
                    return Ok(received_response);
                }
            }
            self.read_more().await?;
        }
    }
}

/// Listens on a port chosen by the kernel, in a task of this thread's local set, and passes each
/// accepted connection to `handle`.
pub async fn listen(handle: impl Fn(TcpStream) + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => handle(stream),
                // For example, the lab is out of file descriptors; a later accept may succeed.
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(address)
}

/// Resets a connection.
pub fn reset(stream: TcpStream) {
    // With a linger time of zero, the drop of the stream sends a reset and waits for no unsent
    // bytes. Fails if the connection is already broken.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok()
}

fn content_length(headers: &[httparse::Header<'_>]) -> usize {
    header(headers, "content-length")
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0)
}
