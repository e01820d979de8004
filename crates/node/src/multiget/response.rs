//! The response to a multi-get request: a line of JSON for each item, sent when the item ends.
//!
//! A line is written only when the connection takes it, because it may be six times as long as the
//! body of its item.

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame};
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc::Receiver;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::JoinSet;

/// The text response to an unusable request, or the lines of its items.
pub(super) type HttpResponse = Response<Either<Full<Bytes>, ResponseLines>>;

/// An item that has ended, and waits to be written.
pub(super) struct FinishedItem {
    /// Index of the item in the request, from 0.
    pub index: usize,
    /// Key as sent by the client.
    pub key: String,
    /// Status code that a separate request would have received.
    pub status: StatusCode,
    /// Body of a 200 response.
    pub body: Option<Bytes>,
    /// Released when the line was written.
    pub _permit: OwnedSemaphorePermit,
}

impl FinishedItem {
    /// Returns the line of the item.
    fn line(&self) -> ResponseLine<'_> {
        let mut line = ResponseLine::new(self.index, &self.key, self.status);
        if let Some(body) = &self.body {
            line.set_body(body);
        }
        line
    }
}

/// The line of an item.
#[derive(Debug, Serialize)]
struct ResponseLine<'a> {
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
    fn new(index: usize, key: &'a str, status: StatusCode) -> Self {
        Self {
            index,
            key,
            status: status.as_u16(),
            body: None,
            body_hex: None,
        }
    }

    /// Adds the body of the item's response.
    fn set_body(&mut self, body: &'a [u8]) {
        match std::str::from_utf8(body) {
            Ok(text) => self.body = Some(text),
            Err(_) => {
                let digits = body.iter().map(|byte| format!("{byte:02x}"));
                self.body_hex = Some(digits.collect());
            }
        }
    }

    /// Returns the line with its line feed; `None` if it cannot be written as JSON.
    fn to_bytes(&self) -> Option<Bytes> {
        let mut line = serde_json::to_vec(self).ok()?;
        line.push(b'\n');
        Some(line.into())
    }
}

/// A streamed body of lines. Dropping it, together with its response, cancels the items in flight.
pub(super) struct ResponseLines {
    items: Receiver<FinishedItem>,
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
        loop {
            let Some(item) = ready!(self.items.poll_recv(cx)) else {
                return Poll::Ready(None);
            };
            // An item without a line counts as unfinished.
            if let Some(line) = item.line().to_bytes() {
                return Poll::Ready(Some(Ok(Frame::data(line))));
            }
        }
    }
}

/// Builds the response that streams the lines of the items that `task` sends.
pub(super) fn lines_response(items: Receiver<FinishedItem>, task: JoinSet<()>) -> HttpResponse {
    let mut response = Response::new(Either::Right(ResponseLines { items, _task: task }));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/x-ndjson"),
    );
    response
}
