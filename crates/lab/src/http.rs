//! HTTP/1.1 messages on a socket, read with `httparse` and nothing between the bytes and the lab: half answers, silent
//! peers and resets must stay what they are.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Bytes of a message, head and body, at most; reading a longer one is an error.
const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Headers of a message, at most; more are malformed.
const MAX_HEADERS: usize = 32;
/// Bytes that the buffer has room for before each read.
const READ_BYTES: usize = 8 << 10;
/// Pause after a failed accept: tried again at once, it would fail and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Why there is no message.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The peer ended or broke the connection; whether bytes of a message had come.
    #[error("the connection ended")]
    Ended {
        /// Bytes of the message had come.
        begun: bool,
    },
    /// It is no HTTP.
    #[error("not HTTP: {0}")]
    Malformed(#[from] httparse::Error),
    /// It is longer than `MAX_MESSAGE_BYTES`.
    #[error("not HTTP: a message too large")]
    TooLarge,
}

/// A connection and what was read ahead on it.
pub struct Conn {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// When the first byte of the next message came.
    first: Option<Instant>,
}

/// A request, as it came.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// `GET` or `PUT`.
    pub method: String,
    /// The target.
    pub path: String,
    /// `Req-Id`.
    pub id: Option<String>,
    /// Bytes of the body.
    pub body: usize,
    /// Bytes of the whole message.
    pub bytes: usize,
    /// When its first byte came.
    pub first: Option<Instant>,
}

/// An answer, as it came.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    /// The status.
    pub status: u16,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<f64>,
    /// Whether the connection ends with it.
    pub close: bool,
    /// The body.
    pub body: Vec<u8>,
}

impl Conn {
    /// A connection as it begins.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
            first: None,
        })
    }

    /// Writes all of it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends it with a reset, as a process that dies does.
    pub fn reset(self) {
        reset(self.stream);
    }

    /// Whether the peer has sent what nobody asked for, or has closed: then `Some` with whether bytes came.
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

    /// Waits until the peer ends the connection or sends more.
    pub async fn gone(&mut self) {
        if self.buffer.is_empty() {
            let _ = self.more().await;
        }
    }

    /// Reads and drops whatever comes, until the peer ends the connection.
    pub async fn drain(&mut self) {
        while self.more().await.is_ok() {
            self.buffer.clear();
        }
    }

    async fn more(&mut self) -> Result<(), ReadError> {
        let had = !self.buffer.is_empty();
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(ReadError::Ended { begun: had }),
            Ok(_) if self.buffer.len() > MAX_MESSAGE_BYTES => Err(ReadError::TooLarge),
            Ok(_) => {
                if !had {
                    self.first = Some(Instant::now());
                }
                Ok(())
            }
        }
    }

    /// The next request, whole.
    pub async fn request(&mut self) -> Result<Asked, ReadError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            let parsed = head.parse(&self.buffer)?;
            if let httparse::Status::Complete(start) = parsed {
                let body = length(head.headers);
                if self.buffer.len() >= start + body {
                    let text = |name: &str| header(head.headers, name).map(str::to_owned);
                    let asked = Asked {
                        method: head.method.unwrap_or_default().to_owned(),
                        path: head.path.unwrap_or_default().to_owned(),
                        id: text("req-id"),
                        body,
                        bytes: start + body,
                        first: self.first.take(),
                    };
                    self.buffer.drain(..start + body);
                    return Ok(asked);
                }
            }
            self.more().await?;
        }
    }

    /// The next answer, whole.
    pub async fn answer(&mut self) -> Result<Answered, ReadError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut headers);
            let parsed = head.parse(&self.buffer)?;
            if let httparse::Status::Complete(start) = parsed {
                let body = length(head.headers);
                if self.buffer.len() >= start + body {
                    let text = |name| header(head.headers, name);
                    let answered = Answered {
                        status: head.code.unwrap_or_default(),
                        retry_after: text("retry-after").and_then(|text| text.parse().ok()),
                        close: text("connection")
                            .is_some_and(|text| text.eq_ignore_ascii_case("close")),
                        body: self.buffer[start..start + body].to_vec(),
                    };
                    self.buffer.drain(..start + body);
                    self.first = None;
                    return Ok(answered);
                }
            }
            self.more().await?;
        }
    }
}

/// Listens on a port of the kernel's choice, on this thread's local set, and hands each connection over as it comes.
pub async fn listen(on: impl Fn(TcpStream) + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => on(stream),
                // Out of descriptors, say: the rig's own want, and the next one may have room.
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(address)
}

/// Ends a connection with a reset.
pub fn reset(stream: TcpStream) {
    // Without waiting for anything to drain: what follows is a reset. It may be broken already.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok()
}

fn length(headers: &[httparse::Header<'_>]) -> usize {
    header(headers, "content-length")
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0)
}
