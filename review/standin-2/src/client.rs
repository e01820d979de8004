//! A client of the node.

use crate::http::Connection;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// Returns a number that differs from all earlier ones.
pub fn unique() -> u64 {
    let clock = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as u64;
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    // A 64-bit mix (splitmix64).
    let mut mixed = clock ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// How a request ended for its client.
#[derive(Clone, Debug)]
pub enum Ending {
    Answered(u16),
    /// The connection could not be made.
    NotConnected,
    /// The node closed or reset the connection without a whole answer.
    Closed,
    /// Nothing came while the client listened.
    Nothing,
}

/// A request and how it ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// When the last byte of the request was written.
    pub sent: Instant,
    pub ended: Instant,
    pub ending: Ending,
}

impl Outcome {
    pub fn seconds(&self) -> f64 {
        self.ended
            .saturating_duration_since(self.sent)
            .as_secs_f64()
    }
}

/// Sends a read on a new connection, and listens for `listen` after it was sent.
pub fn read_key(node: SocketAddr, kind: &str, deadline_ms: u64, listen: Duration) -> Outcome {
    let id = format!("{:016x}", unique());
    let key = unique();
    let request = format!(
        "GET /api/{key:016x} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n\r\n"
    );
    send(node, &id, request.as_bytes(), listen)
}

/// Sends these bytes as one request on a new connection.
pub fn send(node: SocketAddr, id: &str, request: &[u8], listen: Duration) -> Outcome {
    let mut sent = Instant::now();
    let ending = (|| {
        let Ok(stream) = TcpStream::connect_timeout(&node, Duration::from_secs(3)) else {
            return Ending::NotConnected;
        };
        let mut connection = Connection::new(stream);
        if connection.send(request).is_err() {
            return Ending::Closed;
        }
        sent = Instant::now();
        match connection.read(Some(sent + listen)) {
            Ok(message) => Ending::Answered(message.status()),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => Ending::Nothing,
            Err(_) => Ending::Closed,
        }
    })();
    Outcome {
        id: id.to_owned(),
        sent,
        ended: Instant::now(),
        ending,
    }
}
