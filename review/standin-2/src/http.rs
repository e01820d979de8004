//! The part of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A message as read from a connection, without its body.
#[derive(Debug)]
pub struct Message {
    /// First line: the request line or the status line.
    pub start: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// When the first byte was read.
    pub first_byte: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with the bytes that were read but not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; an end of the stream is an error.
    fn fill(&mut self, until: Option<Instant>) -> io::Result<()> {
        let timeout = match until {
            None => None,
            Some(until) => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(left.max(Duration::from_millis(1)))
            }
        };
        self.stream.set_read_timeout(timeout)?;
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Err(io::ErrorKind::TimedOut.into())
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Reads a message whose body has a stated length, or none.
    pub fn read(&mut self, until: Option<Instant>) -> io::Result<Message> {
        while self.buffer.is_empty() {
            self.fill(until)?;
        }
        let first_byte = Instant::now();
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            self.fill(until)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers: Vec<_> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length = headers
            .iter()
            .find(|(name, _)| name == "content-length")
            .and_then(|(_, value)| value.parse::<usize>().ok())
            .unwrap_or(0);
        while self.buffer.len() < length {
            self.fill(until)?;
        }
        self.buffer.drain(..length);
        Ok(Message {
            start,
            headers,
            first_byte,
        })
    }

    /// Returns whether the peer has closed the connection, or sent something.
    pub fn peer_has_acted(&self) -> bool {
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(5)));
        match self.stream.peek(&mut [0]) {
            Ok(_) => true,
            Err(error) => !matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
            ),
        }
    }
}

/// Returns a whole answer with this status line and body.
pub fn answer(status: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
