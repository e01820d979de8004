//! Responses to clients.

use crate::driver::FinalResponse;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// A response with its complete body.
pub type HttpResponse = Response<Full<Bytes>>;

/// Builds the HTTP response that carries a request's final response.
pub(super) fn client_response(final_response: FinalResponse) -> HttpResponse {
    let status = final_response.status();
    match final_response {
        FinalResponse::Served(body) => Response::new(Full::new(body)),
        FinalResponse::Shed { retry_after } => {
            let mut response = text_response(status, "refused: try again later");
            // Always valid, because the text consists of digits and a point.
            if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64()))
            {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        FinalResponse::Failed => text_response(status, "failed"),
    }
}

/// Builds the response to a request whose path does not support its method; `allowed` is the value
/// of the `Allow` header.
pub fn method_not_allowed(allowed: &'static str) -> HttpResponse {
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "no such method");
    response
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

/// Builds a response with a plain text as its body.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
