//! One exchange of a try with a node: a connection, the request as HTTP/1.1, and what its answer comes to.

use super::{Clients, Link};
use crate::http::{Answered, ReadError};
use crate::plan::Arrival;
use crate::record::{End, Try, TryId};
use crate::scenario::Class;
use std::time::Instant;
use tokio::time::timeout_at;

/// The body of a write: what it says is never read.
const WRITE_BODY: [u8; 32] = [b'v'; 32];
/// `Retry-After` of this many seconds or more is taken for none.
const MAX_RETRY_AFTER_S: f64 = 1e6;

/// A try to be sent.
pub(super) struct Exchange<'a> {
    /// Which try.
    pub(super) id: TryId,
    /// Its request.
    pub(super) arrival: &'a Arrival,
    /// The class of its request.
    pub(super) class: &'a Class,
    /// When it should be sent.
    pub(super) due: Instant,
    /// When its client stops waiting for the answer.
    pub(super) give_up_at: Instant,
}

/// What the answer to a try comes to.
struct Outcome {
    end: End,
    /// The connection may carry another request.
    reusable: bool,
}

impl Exchange<'_> {
    /// The request, head and body.
    fn request(&self) -> Vec<u8> {
        let remaining_ms = self
            .give_up_at
            .saturating_duration_since(Instant::now())
            .as_millis();
        let (method, extra, body) = match self.class.write {
            true => (
                "PUT",
                format!(
                    "Idempotency-Key: {:x}\r\nContent-Length: {}\r\n",
                    self.id.arrival,
                    WRITE_BODY.len()
                ),
                WRITE_BODY.as_slice(),
            ),
            false => ("GET", String::new(), [].as_slice()),
        };
        let retry = if self.id.number > 0 {
            "Req-Retry: 1\r\n"
        } else {
            ""
        };
        let head = format!(
            "{method} /api/{:016x} HTTP/1.1\r\nHost: lab\r\nReq-Id: {}\r\nReq-Kind: {}\r\n\
             Req-Deadline-Ms: {remaining_ms}\r\n{retry}{extra}\r\n",
            self.arrival.key,
            self.id.text(),
            self.class.name
        );
        [head.as_bytes(), body].concat()
    }

    /// What an answer comes to for this try.
    fn outcome(&self, answer: Result<Answered, ReadError>) -> Outcome {
        match answer {
            Ok(answer) => Outcome {
                end: self.end_of(&answer),
                reusable: !answer.close,
            },
            Err(ReadError::Ended { begun }) => Outcome {
                end: End::ConnectionLost { begun },
                reusable: false,
            },
            Err(ReadError::Malformed(_) | ReadError::TooLarge) => Outcome {
                end: End::Failed(0),
                reusable: false,
            },
        }
    }

    fn end_of(&self, answer: &Answered) -> End {
        match answer.status {
            200 if self.is_made_for_this(&answer.body) => End::Served,
            200 => End::UnmatchedBody,
            429 | 503 => End::Refused {
                retry_after: answer
                    .retry_after
                    .filter(|seconds| (0.0..MAX_RETRY_AFTER_S).contains(seconds))
                    .map(|seconds| (seconds * 1e3) as u32),
            },
            status => End::Failed(status),
        }
    }

    /// Whether a server made this body for this try: it begins with the try's id.
    fn is_made_for_this(&self, body: &[u8]) -> bool {
        body.strip_prefix(self.id.text().as_bytes())
            .is_some_and(|rest| rest.starts_with(b" "))
    }
}

impl Clients {
    /// Sends a try on an idle connection, or on a new one, and waits for its answer.
    pub(super) async fn exchange(&self, exchange: &Exchange<'_>, new_connection: bool) -> Try {
        let due = exchange.due.saturating_duration_since(self.start);
        let mut tried = Try {
            id: exchange.id,
            node: 0,
            due: due.as_micros() as u64,
            sent: self.now(),
            ended: 0,
            first_on_connection: true,
            end: End::NotSent,
        };
        let link = self.link(&mut tried, exchange.give_up_at, new_connection);
        let Some(mut link) = link.await else {
            tried.ended = self.now();
            return tried;
        };
        tried.node = link.node;
        if link.conn.write(&exchange.request()).await.is_err() {
            // Nothing of it may have been read.
            tried.ended = self.now();
            if !tried.first_on_connection {
                tried.end = End::ConnectionLost { begun: false };
            }
            return tried;
        }
        tried.sent = self.now();
        let answer = timeout_at(exchange.give_up_at.into(), link.conn.answer()).await;
        tried.ended = self.now();
        let Ok(answer) = answer else {
            tried.end = End::TimedOut;
            return tried;
        };
        let Outcome { end, reusable } = exchange.outcome(answer);
        tried.end = end;
        if reusable {
            self.keep_idle(link, tried);
        }
        tried
    }

    /// A connection for a try; `None` where no node accepts one in time.
    async fn link(
        &self,
        tried: &mut Try,
        give_up_at: Instant,
        new_connection: bool,
    ) -> Option<Link> {
        if !new_connection {
            if let Some(idle) = self.take_idle() {
                tried.first_on_connection = false;
                return Some(idle.link);
            }
        }
        let connected = timeout_at(give_up_at.into(), self.connect()).await;
        connected.ok().flatten()
    }
}
