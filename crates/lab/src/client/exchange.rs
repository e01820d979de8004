//! One exchange with a node for a try: the connection, the HTTP/1.1 request, and the outcome of the
//! response.

use super::{Clients, NodeConnection};
use crate::http::{ReadError, ReceivedResponse};
use crate::plan::Arrival;
use crate::record::{Try, TryId, TryOutcome};
use crate::scenario::Class;
use std::time::Instant;
use tokio::time::timeout_at;

/// Body of a write; its content is never read.
const WRITE_BODY: [u8; 32] = [b'v'; 32];
/// A `Retry-After` of this many seconds or more is ignored.
const MAX_RETRY_AFTER_S: f64 = 1e6;

/// A try to send.
pub(super) struct Exchange<'a> {
    /// Id of the try.
    pub(super) id: TryId,
    /// Planned request of the try.
    pub(super) arrival: &'a Arrival,
    /// Class of the request.
    pub(super) class: &'a Class,
    /// Scheduled time of sending.
    pub(super) due: Instant,
    /// Time at which the client abandons the try.
    pub(super) try_deadline: Instant,
}

/// Outcome of the response to a try.
struct Outcome {
    end: TryOutcome,
    /// Whether the connection may carry another request.
    reusable: bool,
}

impl Exchange<'_> {
    /// Returns the request, head and body.
    fn request(&self) -> Vec<u8> {
        let remaining_ms = self
            .try_deadline
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

    /// Classifies the response to this try.
    fn outcome(&self, response: Result<ReceivedResponse, ReadError>) -> Outcome {
        match response {
            Ok(response) => Outcome {
                end: self.end_of(&response),
                reusable: !response.close,
            },
            Err(ReadError::Ended { partial }) => Outcome {
                end: TryOutcome::ConnectionLost { partial },
                reusable: false,
            },
            Err(ReadError::Malformed(_) | ReadError::TooLarge) => Outcome {
                end: TryOutcome::Failed(0),
                reusable: false,
            },
        }
    }

    fn end_of(&self, response: &ReceivedResponse) -> TryOutcome {
        match response.status {
            200 if self.is_body_for_this_try(&response.body) => TryOutcome::Served,
            200 => TryOutcome::UnmatchedBody,
            429 | 503 => TryOutcome::Refused {
                retry_after: response
                    .retry_after
                    .filter(|seconds| (0.0..MAX_RETRY_AFTER_S).contains(seconds))
                    .map(|seconds| (seconds * 1e3) as u32),
            },
            status => TryOutcome::Failed(status),
        }
    }

    /// Checks whether a server produced this body for this try: the body starts with the try's id.
    fn is_body_for_this_try(&self, body: &[u8]) -> bool {
        body.strip_prefix(self.id.text().as_bytes())
            .is_some_and(|rest| rest.starts_with(b" "))
    }
}

impl Clients {
    /// Sends a try on an idle connection, or on a new one, and waits for the response.
    pub(super) async fn exchange(&self, exchange: &Exchange<'_>, new_connection: bool) -> Try {
        let due = exchange.due.saturating_duration_since(self.start);
        let mut try_record = Try {
            id: exchange.id,
            node: 0,
            due: due.as_micros() as u64,
            sent: self.now(),
            ended: 0,
            first_on_connection: true,
            end: TryOutcome::NotSent,
        };
        let connection = self.connection(&mut try_record, exchange.try_deadline, new_connection);
        let Some(mut connection) = connection.await else {
            try_record.ended = self.now();
            return try_record;
        };
        try_record.node = connection.node;
        if connection.conn.write(&exchange.request()).await.is_err() {
            // The node may not have read any byte of the request.
            try_record.ended = self.now();
            if !try_record.first_on_connection {
                try_record.end = TryOutcome::ConnectionLost { partial: false };
            }
            return try_record;
        }
        try_record.sent = self.now();
        let response = timeout_at(exchange.try_deadline.into(), connection.conn.response()).await;
        try_record.ended = self.now();
        let Ok(response) = response else {
            try_record.end = TryOutcome::TimedOut;
            return try_record;
        };
        let Outcome { end, reusable } = exchange.outcome(response);
        try_record.end = end;
        if reusable {
            self.add_idle(connection, try_record);
        }
        try_record
    }

    /// Returns a connection for a try; `None` if no node accepts one in time.
    async fn connection(
        &self,
        try_record: &mut Try,
        try_deadline: Instant,
        new_connection: bool,
    ) -> Option<NodeConnection> {
        if !new_connection {
            if let Some(idle) = self.take_idle() {
                try_record.first_on_connection = false;
                return Some(idle.connection);
            }
        }
        let connected = timeout_at(try_deadline.into(), self.connect()).await;
        connected.ok().flatten()
    }
}
