//! The response to a multi-get request: a line of JSON for each item, sent when the item ends.

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame};
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::Receiver;
use tokio::task::JoinSet;

/// The text response to an unusable request, or the lines of its items.
pub(super) type HttpResponse = Response<Either<Full<Bytes>, ResponseLines>>;

/// Result of an item.
#[derive(Debug, Serialize)]
pub(super) struct ResponseLine<'a> {
    /// Index of the item in the request, from 0.
    #[serde(rename = "i")]
    index: usize,
    key: &'a str,
    /// Status code that a separate request would have received.
    status: u16,
    /// Body of a 200 response, if it is UTF-8.
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<&'a str>,
    /// Body of a 200 response that is not UTF-8, in hexadecimal.
    #[serde(skip_serializing_if = "Option::is_none")]
    body_hex: Option<String>,
}

impl<'a> ResponseLine<'a> {
    /// Creates a line without a body.
    pub fn new(index: usize, key: &'a str, status: StatusCode) -> Self {
        Self {
            index,
            key,
            status: status.as_u16(),
            body: None,
            body_hex: None,
        }
    }

    /// Adds the body of the item's response.
    pub fn set_body(&mut self, body: &'a [u8]) {
        match std::str::from_utf8(body) {
            Ok(text) => self.body = Some(text),
            Err(_) => {
                let digits = body.iter().map(|byte| format!("{byte:02x}"));
                self.body_hex = Some(digits.collect());
            }
        }
    }

    /// Returns the line with its line feed; `None` if it cannot be written as JSON.
    pub fn to_bytes(&self) -> Option<Bytes> {
        let mut line = serde_json::to_vec(self).ok()?;
        line.push(b'\n');
        Some(line.into())
    }
}

/// A streamed body of lines. Dropping it, together with its response, cancels the items in flight.
pub(super) struct ResponseLines {
    lines: Receiver<Bytes>,
    /// Task that runs the items: a `JoinSet` aborts it when dropped.
    _task: JoinSet<()>,
}

impl Body for ResponseLines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.lines
            .poll_recv(cx)
            .map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

/// Builds the response that streams the lines sent by `task`.
pub(super) fn lines_response(lines: Receiver<Bytes>, task: JoinSet<()>) -> HttpResponse {
    let mut response = Response::new(Either::Right(ResponseLines { lines, _task: task }));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/x-ndjson"),
    );
    response
}
