//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read};
use std::net::TcpStream;

/// A message: its first line, its headers (names in lower case) and its body.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: a request's target, a response's status.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    pub fn wants_close(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads one message with a stated length. `rest` keeps the bytes that follow it. `None` if the
/// connection ends before the first byte of a message.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        if !read_more(stream, rest)? {
            return if rest.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or("").to_owned();
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        first_line,
        headers,
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    while rest.len() < length {
        if !read_more(stream, rest)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = rest.drain(..length).collect();
    Ok(Some(message))
}

fn read_more(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<bool> {
    let mut buffer = [0; 65536];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(false),
            Ok(read) => {
                rest.extend_from_slice(&buffer[..read]);
                return Ok(true);
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}
