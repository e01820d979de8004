//! Responses to clients.

use crate::driver::FinalResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// A response with its complete body.
pub type HttpResponse = Response<Full<Bytes>>;

/// The HTTP response that carries a request's final response.
pub(super) fn client_response(answer: FinalResponse) -> HttpResponse {
    let status = answer.status();
    match answer {
        FinalResponse::Served(body) => Response::new(Full::new(body)),
        FinalResponse::Shed { retry_after } => {
            let mut response = text_response(status, "refused: try again later");
            // Always valid: digits and a point.
            if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64()))
            {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        FinalResponse::Failed => text_response(status, "failed"),
    }
}

/// The response to a request whose path has no such method; `allowed` is the value of `Allow`.
pub fn method_not_allowed(allowed: &'static str) -> HttpResponse {
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "no such method");
    response
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

/// A response whose body is a text for people.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
