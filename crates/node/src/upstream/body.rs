//! Message bodies, read with a size limit.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use thiserror::Error;

/// Largest body of a message, for requests and responses.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than [`MAX_BODY_BYTES`].
    #[error("the body is larger than 64 KiB")]
    TooLarge,
    /// The connection closed or violated the protocol before the end of the body.
    #[error("the body broke off")]
    Incomplete(#[source] hyper::Error),
}

/// Reads a body to its end. A body whose stated length exceeds the limit is not read.
pub async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLarge);
    }
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(connection_error) => Err(BodyError::Incomplete(*connection_error)),
            // The only other error of a limited body is that it exceeds the limit.
            Err(_) => Err(BodyError::TooLarge),
        },
    }
}
