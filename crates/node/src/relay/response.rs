//! Responses to clients.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::{Response, StatusCode};

/// A response with its whole body.
pub type RelayResponse = Response<Full<Bytes>>;

/// A response with a line of text.
pub fn plain_text(status: StatusCode, text: String) -> RelayResponse {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// A successful response with a JSON body.
pub fn json(body: Bytes) -> RelayResponse {
    let mut response = Response::new(Full::new(body));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The response, after which the connection is closed.
pub fn closing(mut response: RelayResponse) -> RelayResponse {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
