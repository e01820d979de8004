//! Bodies of messages, read with a bound on their size.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use thiserror::Error;

/// The largest body of a message, either way.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is larger than [`MAX_BODY_BYTES`].
    #[error("the body is larger than 64 KiB")]
    TooLarge,
    /// The connection ended, or broke the protocol, before the body did.
    #[error("the body broke off")]
    Incomplete(#[source] hyper::Error),
}

/// Reads a body to its end. One that is stated to be too large is not waited for.
pub async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLarge);
    }
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(broken) => Err(BodyError::Incomplete(*broken)),
            // The only other error of a body with a limit is that the limit was reached.
            Err(_) => Err(BodyError::TooLarge),
        },
    }
}
