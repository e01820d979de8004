//! Why a request cannot be used, and the response that says so.

use super::parameters::ParameterError;
use super::response::{method_not_allowed, text_response, HttpResponse};
use crate::upstream::BodyError;
use hyper::StatusCode;
use thiserror::Error;

/// Why a request cannot be used: nothing was begun for it. Its client reads the text.
#[derive(Debug, Error)]
pub enum RequestError {
    /// Its target has no path.
    #[error("no path")]
    MissingPath,
    /// Nothing is served at its path.
    #[error("no such path")]
    UnknownPath,
    /// Its path has no such method.
    #[error("no such method")]
    MethodNotAllowed {
        /// The value of `Allow`.
        allowed: &'static str,
    },
    /// The length of its body is not stated.
    #[error("a body needs a Content-Length")]
    LengthRequired,
    /// Its headers cannot be used.
    #[error(transparent)]
    Parameters(#[from] ParameterError),
    /// Its body could not be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// Its client disconnected before it was read.
    #[error("its client has gone")]
    ClientDisconnected,
    /// A request of the same id is open.
    #[error("Req-Id is open already")]
    DuplicateId,
}

impl RequestError {
    /// The status of the response.
    const fn status(&self) -> StatusCode {
        match self {
            Self::UnknownPath => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::LengthRequired => StatusCode::LENGTH_REQUIRED,
            Self::Body(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::DuplicateId => StatusCode::CONFLICT,
            Self::MissingPath
            | Self::Parameters(_)
            | Self::Body(BodyError::Incomplete(_))
            | Self::ClientDisconnected => StatusCode::BAD_REQUEST,
        }
    }
}

impl From<RequestError> for HttpResponse {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::MethodNotAllowed { allowed } => method_not_allowed(allowed),
            error => text_response(error.status(), error.to_string()),
        }
    }
}
