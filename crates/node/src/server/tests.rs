//! Tests of the statuses and texts of the node's own responses, and of key numbers.

use super::error::RequestError;
use super::key_number;
use super::parameters::ParameterError;
use super::response::{client_response, HttpResponse};
use crate::body::BodyError;
use crate::driver::FinalResponse;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{ALLOW, RETRY_AFTER};
use std::time::Duration;

async fn body_text(response: HttpResponse) -> Bytes {
    response.into_body().collect().await.unwrap().to_bytes()
}

// Guards against a status or text that changes with the code: clients and their operators rely on
// both.
#[tokio::test]
async fn each_request_error_has_the_expected_status_and_text() {
    let cases: [(RequestError, u16, &str); 17] = [
        (RequestError::MissingPath, 400, "no path"),
        (RequestError::UnknownPath, 404, "no such path"),
        (
            RequestError::LengthRequired,
            411,
            "a body needs a Content-Length",
        ),
        (
            RequestError::MethodNotAllowed { allowed: "GET" },
            405,
            "no such method",
        ),
        (RequestError::ClientDisconnected, 400, "its client has gone"),
        (RequestError::DuplicateId, 409, "Req-Id is open already"),
        (
            BodyError::TooLarge.into(),
            413,
            "the body is larger than 64 KiB",
        ),
        (
            ParameterError::DuplicateHeader.into(),
            400,
            "a header stands twice",
        ),
        (
            ParameterError::UnreadableHeader.into(),
            400,
            "unreadable header",
        ),
        (ParameterError::MissingId.into(), 400, "no Req-Id"),
        (ParameterError::MissingKind.into(), 400, "no Req-Kind"),
        (ParameterError::UnknownKind.into(), 400, "unknown Req-Kind"),
        (ParameterError::MissingOwner.into(), 400, "no Req-Owner"),
        (
            ParameterError::UnknownOwner.into(),
            400,
            "unknown Req-Owner",
        ),
        (
            ParameterError::MissingDeadline.into(),
            400,
            "no Req-Deadline-Ms",
        ),
        (
            ParameterError::UnreadableDeadline.into(),
            400,
            "unreadable Req-Deadline-Ms",
        ),
        (
            ParameterError::UnreadableCost.into(),
            400,
            "unreadable Req-Cost",
        ),
    ];
    for (error, status, text) in cases {
        let response = HttpResponse::from(error);
        assert_eq!(response.status().as_u16(), status, "{text}");
        assert_eq!(body_text(response).await, text);
    }
}

#[test]
fn response_to_a_disallowed_method_lists_the_allowed_methods() {
    let response = HttpResponse::from(RequestError::MethodNotAllowed {
        allowed: "GET, PUT",
    });
    assert_eq!(response.headers()[ALLOW], "GET, PUT");
}

#[tokio::test]
async fn response_to_a_shed_request_has_retry_after_in_seconds() {
    let response = client_response(FinalResponse::Shed {
        retry_after: Duration::from_millis(1_250),
    });
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()[RETRY_AFTER], "1.250");
    assert_eq!(body_text(response).await, "refused: try again later");
}

#[test]
fn hexadecimal_key_maps_to_its_number_and_any_other_name_to_a_stable_hash() {
    assert_eq!(key_number("00ff"), 255);
    assert_eq!(key_number("not-hex"), key_number("not-hex"));
    assert_ne!(key_number("not-hex"), key_number("not-hex-2"));
}
