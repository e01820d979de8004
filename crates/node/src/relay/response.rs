//! Responses to clients.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::{Response, StatusCode};

/// A response with a complete body.
pub type RelayResponse = Response<Full<Bytes>>;

/// Creates a response with a plain-text body.
pub fn plain_text(status: StatusCode, text: String) -> RelayResponse {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Creates a successful response with a JSON body.
pub fn json(body: Bytes) -> RelayResponse {
    let mut response = Response::new(Full::new(body));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Adds the header that closes the connection after the response.
pub fn with_connection_close(mut response: RelayResponse) -> RelayResponse {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
