//! Bytes received from a client, divided into requests.
//!
//! hyper gets the bytes of one request at a time, and its head only as a whole. So a connection
//! whose head is incomplete needs no parser, a head is parsed once however many pieces it comes
//! in, and requests sent behind the current one wait here, where their waiting time is known.

use super::head_scanner::HeadScanner;
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use tokio::time::Instant;

/// Largest number of bytes held: a request head of the maximum length, or what the client sent
/// behind the current request. A client that sends more behind a request gets its response and no
/// further one: the remaining bytes are discarded.
pub const MAX_INBOUND_BYTES: usize = 16 << 10;
/// Maximum number of arrivals that are told apart; later ones are counted with the last.
const MAX_ARRIVALS: usize = 16;

/// The part of the current request that was not passed on yet.
#[derive(Debug)]
enum RequestPart {
    /// The head is being received.
    IncompleteHead(HeadScanner),
    /// The rest of a complete head, in bytes.
    Head { left: usize },
    /// The head was passed on and has not been handled yet.
    Unhandled,
    /// The rest of the body, in bytes.
    Body { left: u64 },
    /// The end of the request is not known: everything is passed on.
    Unknown,
}

/// Bytes that arrived together.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    bytes: usize,
    at: Instant,
}

/// Bytes of a connection that were received and not passed to hyper yet.
#[derive(Debug)]
pub(super) struct Inbound {
    bytes: BytesMut,
    /// Arrivals of `bytes`, the earliest first.
    arrivals: VecDeque<Arrival>,
    part: RequestPart,
    /// Arrival of the bytes that were passed on last.
    last_passed_at: Option<Instant>,
    exceeded: bool,
}

impl Inbound {
    /// Creates the state of a connection that has received nothing.
    pub(super) fn new() -> Self {
        Self {
            bytes: BytesMut::new(),
            arrivals: VecDeque::new(),
            part: RequestPart::IncompleteHead(HeadScanner::default()),
            last_passed_at: None,
            exceeded: false,
        }
    }

    /// Returns the number of bytes held.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the memory of the bytes held, in bytes.
    pub(super) fn allocated(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns whether the client has sent more bytes behind a request than are held.
    pub(super) fn is_exceeded(&self) -> bool {
        self.exceeded
    }

    /// Returns the number of bytes that may be held in addition.
    pub(super) fn room(&self) -> usize {
        MAX_INBOUND_BYTES - self.bytes.len()
    }

    /// Adds bytes that arrived at this time, or discards them if there is no room for them.
    pub(super) fn push(&mut self, bytes: &[u8], at: Instant) {
        if self.exceeded || bytes.len() > self.room() {
            self.exceeded = true;
            return;
        }
        self.bytes.extend_from_slice(bytes);
        self.add_arrival(bytes.len(), at);
        self.scan_head();
    }

    fn add_arrival(&mut self, bytes: usize, at: Instant) {
        let full = self.arrivals.len() == MAX_ARRIVALS;
        match self.arrivals.back_mut() {
            Some(last) if full || last.at == at => last.bytes += bytes,
            _ => self.arrivals.push_back(Arrival { bytes, at }),
        }
    }

    /// Searches for the end of the head in the bytes that were not searched yet.
    fn scan_head(&mut self) {
        let RequestPart::IncompleteHead(scanner) = &mut self.part else {
            return;
        };
        if let Some(left) = scanner.find_end(&self.bytes) {
            self.part = RequestPart::Head { left };
        } else if self.bytes.len() >= MAX_INBOUND_BYTES {
            // hyper answers a head that is too large.
            self.part = RequestPart::Unknown;
        }
    }

    /// Returns whether the current request is one whose head was not received completely.
    pub(super) fn awaits_head(&self) -> bool {
        matches!(self.part, RequestPart::IncompleteHead(_))
    }

    /// Returns the maximum number of bytes that may be passed on as they arrive: bytes of the body,
    /// or of a request without a known end, with none held before them.
    pub(super) fn unbuffered_bytes(&self) -> usize {
        if !self.bytes.is_empty() {
            return 0;
        }
        match self.part {
            RequestPart::Body { left } => usize::try_from(left).unwrap_or(usize::MAX),
            RequestPart::Unknown => usize::MAX,
            _ => 0,
        }
    }

    /// Returns whether the current request was received completely and passed on.
    pub(super) fn is_request_complete(&self) -> bool {
        matches!(
            self.part,
            RequestPart::Unhandled | RequestPart::Body { left: 0 }
        )
    }

    /// Returns whether the body of the current request was passed on completely.
    pub(super) fn is_body_complete(&self) -> bool {
        matches!(self.part, RequestPart::Body { left: 0 })
    }

    /// Returns the number of held bytes that belong to the current request.
    fn passable_bytes(&self) -> usize {
        match self.part {
            RequestPart::IncompleteHead(_) | RequestPart::Unhandled => 0,
            RequestPart::Head { left } => left,
            RequestPart::Body { left } => {
                usize::try_from(left).map_or(self.bytes.len(), |left| left.min(self.bytes.len()))
            }
            RequestPart::Unknown => self.bytes.len(),
        }
    }

    /// Returns whether held bytes belong to the current request and may be passed on.
    pub(super) fn has_passable_bytes(&self) -> bool {
        self.passable_bytes() > 0
    }

    /// Passes on at most `max` held bytes of the current request. Returns whether there were any.
    pub(super) fn pass(&mut self, max: usize, take: impl FnOnce(&[u8])) -> bool {
        let count = self.passable_bytes().min(max);
        if count == 0 {
            return false;
        }
        take(&self.bytes[..count]);
        self.bytes.advance(count);
        self.remove_arrivals(count);
        self.on_passed(count);
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
        true
    }

    /// Records that bytes of the current request were passed on.
    pub(super) fn on_passed(&mut self, count: usize) {
        match &mut self.part {
            RequestPart::Head { left } => {
                *left -= count;
                if *left == 0 {
                    self.part = RequestPart::Unhandled;
                }
            }
            RequestPart::Body { left } => *left -= count as u64,
            _ => {}
        }
    }

    fn remove_arrivals(&mut self, mut count: usize) {
        while count > 0 {
            let Some(first) = self.arrivals.front_mut() else {
                return;
            };
            self.last_passed_at = Some(first.at);
            let removed = first.bytes.min(count);
            first.bytes -= removed;
            count -= removed;
            if first.bytes == 0 {
                self.arrivals.pop_front();
            }
        }
    }

    /// Records that the head that was passed on is handled. `body_bytes` is the length of the body;
    /// `None` if the head does not state it.
    pub(super) fn on_head_handled(&mut self, body_bytes: Option<u64>) {
        self.part = match body_bytes {
            Some(left) => RequestPart::Body { left },
            None => RequestPart::Unknown,
        };
    }

    /// Returns the arrival of the last bytes of the head that was passed on.
    pub(super) fn head_arrived_at(&self) -> Option<Instant> {
        self.last_passed_at
    }

    /// Records that the response to the current request was written. The bytes held belong to the
    /// next one.
    pub(super) fn on_response_written(&mut self) {
        self.part = RequestPart::IncompleteHead(HeadScanner::default());
        self.scan_head();
    }

    /// Discards the held bytes.
    pub(super) fn clear(&mut self) {
        self.bytes = BytesMut::new();
        self.arrivals.clear();
    }
}

#[cfg(test)]
mod tests;
