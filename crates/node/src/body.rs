//! Message bodies: read into one buffer, within a limit on the bytes held.

mod memory;
#[cfg(test)]
mod tests;

pub use memory::BodyMemory;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::ops::ControlFlow;
use thiserror::Error;

/// Largest body of a message, for requests and responses.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than the limit of its reader; [`MAX_BODY_BYTES`] for clients and
    /// endpoints.
    #[error("the body is larger than 64 KiB")]
    TooLarge,
    /// The connection closed or violated the protocol before the end of the body.
    #[error("the body broke off")]
    Incomplete(#[source] hyper::Error),
}

/// Reads a body to its end, up to [`MAX_BODY_BYTES`]. The caller has reserved memory for it.
pub async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    read_to_end(body, MAX_BODY_BYTES).await.map(Bytes::from)
}

/// Reads a body to its end, up to [`MAX_BODY_BYTES`], after memory for it was reserved. The memory
/// is released when the last clone of the returned bytes is dropped.
pub async fn read_reserved(body: Incoming, memory: &BodyMemory) -> Result<Bytes, BodyError> {
    let bound = length_bound(&body, MAX_BODY_BYTES)?;
    if bound == 0 {
        return Ok(Bytes::new());
    }
    let reservation = memory.reserve(bound).await;
    let bytes = read_to_end(body, MAX_BODY_BYTES).await?;
    Ok(reservation.into_bytes(bytes))
}

/// Reads a body to its end, up to [`MAX_BODY_BYTES`], and keeps none of it.
pub async fn discard(body: Incoming) -> Result<(), BodyError> {
    length_bound(&body, MAX_BODY_BYTES)?;
    let mut length = 0;
    for_each_frame(body, |data| {
        length += data.len();
        within(length, MAX_BODY_BYTES)
    })
    .await
}

/// Reads a body to its end into one buffer, whose capacity never exceeds `max_bytes`.
pub async fn read_to_end(body: Incoming, max_bytes: usize) -> Result<Vec<u8>, BodyError> {
    length_bound(&body, max_bytes)?;
    let mut bytes = Vec::with_capacity(stated_length(&body, max_bytes));
    for_each_frame(body, |data| {
        within(bytes.len() + data.len(), max_bytes)?;
        append(&mut bytes, data, max_bytes);
        ControlFlow::Continue(())
    })
    .await?;
    bytes.shrink_to_fit();
    Ok(bytes)
}

/// Returns the length that a body states, up to `max_bytes`; 0 if it states none.
pub fn stated_length(body: &Incoming, max_bytes: usize) -> usize {
    usize::try_from(body.size_hint().lower()).map_or(max_bytes, |length| length.min(max_bytes))
}

/// Returns the largest length that a body may have: its stated length, or `max_bytes` if it states
/// none. A body whose stated length exceeds the limit is not read.
fn length_bound(body: &Incoming, max_bytes: usize) -> Result<usize, BodyError> {
    let size = body.size_hint();
    if size.lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    Ok(size.upper().map_or(max_bytes, |upper| {
        usize::try_from(upper).map_or(max_bytes, |upper| upper.min(max_bytes))
    }))
}

/// Breaks if a length exceeds the limit.
fn within(length: usize, max_bytes: usize) -> ControlFlow<()> {
    if length > max_bytes {
        ControlFlow::Break(())
    } else {
        ControlFlow::Continue(())
    }
}

/// Passes the content of a body to `consume` as it arrives, until `consume` breaks because the body
/// is too large.
///
/// A frame is a view of the buffer into which it was read, and keeps that whole buffer allocated: a
/// frame of one byte may hold 16 KiB. So a frame is only lent, and dropped before the next one is
/// read. Trailers are ignored.
async fn for_each_frame(
    mut body: Incoming,
    mut consume: impl FnMut(&[u8]) -> ControlFlow<()>,
) -> Result<(), BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Incomplete)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if consume(data).is_break() {
            return Err(BodyError::TooLarge);
        }
    }
    Ok(())
}

/// Appends data to a buffer of at most `max_bytes`. Doubles the capacity when it is exhausted.
fn append(bytes: &mut Vec<u8>, data: &[u8], max_bytes: usize) {
    let length = bytes.len() + data.len();
    if length > bytes.capacity() {
        let capacity = (2 * bytes.capacity()).clamp(length, max_bytes);
        bytes.reserve_exact(capacity - bytes.len());
    }
    bytes.extend_from_slice(data);
}
