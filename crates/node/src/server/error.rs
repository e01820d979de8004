//! Errors of unusable requests, and the responses to them.

use super::parameters::ParameterError;
use super::response::{method_not_allowed, text_response, HttpResponse};
use crate::body::BodyError;
use hyper::StatusCode;
use thiserror::Error;

/// Why a request cannot be used. No work was started for the request, and its client receives the
/// text.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The target has no path.
    #[error("no path")]
    MissingPath,
    /// Nothing is served at the path.
    #[error("no such path")]
    UnknownPath,
    /// The path does not support the method.
    #[error("no such method")]
    MethodNotAllowed {
        /// Value of the `Allow` header.
        allowed: &'static str,
    },
    /// The length of the body is not stated.
    #[error("a body needs a Content-Length")]
    LengthRequired,
    /// The headers cannot be used.
    #[error(transparent)]
    Parameters(#[from] ParameterError),
    /// The body could not be read.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The client disconnected before the request was read.
    #[error("its client has gone")]
    ClientDisconnected,
    /// A request with the same id is open.
    #[error("Req-Id is open already")]
    DuplicateId,
}

impl RequestError {
    /// Returns the status code of the response.
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
