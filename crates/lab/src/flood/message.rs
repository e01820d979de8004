//! Messages that the peers of a flood send.

use super::Flood;
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// Length of the value of a padded field, in bytes.
const PADDING_BYTES: usize = 7 << 10;
/// Number of additional fields of a head of many fields.
const FIELDS: usize = 90;
/// Length of the body of a write, in bytes: the longest that the protocol allows.
const BODY_BYTES: usize = 64 << 10;
/// Deadline that requests state, in milliseconds.
const DEADLINE_MS: u32 = 400;

/// What the peers of a flood send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FloodMessage {
    /// The smallest health check.
    HealthCheck,
    /// A health check with a field of 7 KiB.
    PaddedFields,
    /// A health check with 90 short fields.
    ManyFields,
    /// A read of a new key, with a new id.
    Read,
    /// A write of a new key, with a new id and a body of 64 KiB.
    Write,
    /// A read that names a new, unknown class.
    UnknownClass,
    /// A request of a new, unknown path.
    UnknownPath,
    /// A head that is not HTTP.
    Malformed,
}

impl Flood {
    /// Returns the flood's message with this number.
    pub(super) fn message(&self, number: u64) -> Vec<u8> {
        let head = match self.message {
            FloodMessage::HealthCheck => health_check(""),
            FloodMessage::PaddedFields => {
                health_check(&format!("X-Padding: {}\r\n", "p".repeat(PADDING_BYTES)))
            }
            FloodMessage::ManyFields => health_check(&short_fields()),
            FloodMessage::Read => request("GET", &self.class, number, ""),
            FloodMessage::Write => request(
                "PUT",
                &self.class,
                number,
                &format!("Idempotency-Key: {number:x}\r\nContent-Length: {BODY_BYTES}\r\n"),
            ),
            FloodMessage::UnknownClass => request("GET", &format!("c{number:x}"), number, ""),
            FloodMessage::UnknownPath => {
                format!("GET /n{number:x} HTTP/1.1\r\nHost: flood\r\n\r\n")
            }
            FloodMessage::Malformed => format!("G\u{1}T {number:x}\r\n\r\n"),
        };
        let mut message = head.into_bytes();
        if self.message == FloodMessage::Write {
            message.resize(message.len() + BODY_BYTES, b'w');
        }
        message
    }
}

fn health_check(fields: &str) -> String {
    format!("GET /healthz HTTP/1.1\r\nHost: flood\r\n{fields}\r\n")
}

fn short_fields() -> String {
    (0..FIELDS).fold(String::new(), |mut fields, field| {
        // Writing to a string cannot fail.
        let _ = write!(fields, "X-{field}: {field}\r\n");
        fields
    })
}

fn request(method: &str, class: &str, number: u64, fields: &str) -> String {
    format!(
        "{method} /api/{number:016x} HTTP/1.1\r\nHost: flood\r\nReq-Id: f{number:x}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: {DEADLINE_MS}\r\n{fields}\r\n"
    )
}
