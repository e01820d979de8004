//! Handling of a client's request, from its head to its response.

use super::error::RequestError;
use super::parameters::RequestHeaders;
use super::response::{client_response, text_response, HttpResponse};
use super::submit::submit_request;
use super::ServerContext;
use crate::body::{read_body, stated_length, BodyError, MAX_BODY_BYTES};
use crate::connections::{ClientPresence, ConnectionHandle};
use crate::shutdown::ShutdownStage;
use crate::upstream::ForwardedRequest;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use slatelink_admission::ByteReservation;
use std::future::pending;
use std::hash::{DefaultHasher, Hasher};

/// Path of the health check.
const HEALTH_PATH: &str = "/healthz";
/// Prefix of the paths of all other requests; the last segment is the key.
const API_PREFIX: &str = "/api/";

/// Answers a request, and closes the connection after the response if it must not be reused.
pub(super) async fn handle_request(
    context: &ServerContext,
    connection: &ConnectionHandle,
    request: Request<Incoming>,
) -> HttpResponse {
    let (mut response, usable) = match respond(context, connection, request).await {
        Ok(response) => (response, true),
        Err(error) => (HttpResponse::from(error), false),
    };
    // Closes after an invalid request: the client probably repeats it at once, and on an open
    // connection it could do so without the delay of a reconnect, at the expense of other clients.
    // Closes when descriptors run out, too: an open connection would hold its descriptor while
    // idle, and new connections would stay in the accept queue or could not be established at all.
    if !usable
        || connection.closes_with_response()
        || connection.trailing_bytes_exceeded()
        || context.stage() >= ShutdownStage::Draining
    {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Checks a request step by step, and obtains its final response from the driver.
async fn respond(
    context: &ServerContext,
    connection: &ConnectionHandle,
    request: Request<Incoming>,
) -> Result<HttpResponse, RequestError> {
    let received_at = connection.received_at();
    let (head, body) = request.into_parts();
    let target = head
        .uri
        .path_and_query()
        .cloned()
        .ok_or(RequestError::MissingPath)?;
    check_framing(&head)?;
    if target.path() == HEALTH_PATH {
        return health(context, &head.method);
    }
    let key = path_key(target.path()).ok_or(RequestError::UnknownPath)?;
    check_method(&head.method)?;
    let headers = RequestHeaders::parse(context, &head.headers)?;
    // Released before the waits below: many short fields take far more memory than they have bytes.
    drop(head.headers);
    let body = receive_body(connection, body).await?;
    // The client may have disconnected before its request was read, and would not receive a
    // response. If its end may stand behind bytes that were not read, the request is shed.
    let presence = connection.client_presence().await;
    if presence == ClientPresence::Disconnected {
        // The connection ends without a response, and drops this future.
        return pending().await;
    }
    // A second request with an open id, if forwarded, would be a duplicate of another client's
    // request.
    let id = context
        .open_ids
        .register(headers.id)
        .ok_or(RequestError::DuplicateId)?;
    let mut parameters = headers.parameters;
    let class_over_quota = connection.on_request(parameters.class.id.0);
    let memory_exhausted = body.unread.is_some() || !has_response_memory(context, connection);
    let client_unknown = presence == ClientPresence::Unknown;
    parameters.over_quota = class_over_quota || memory_exhausted || client_unknown;
    let message = ForwardedRequest {
        method: head.method,
        target,
        id,
        idempotency_key: headers.idempotency_key,
        body: body.bytes,
        _body_reservation: body.reservation,
    };
    let final_response = submit_request(context, received_at, key, parameters, message).await;
    // Dropped only now, because hyper drains a body that is dropped unread, or reads no more from
    // the connection.
    drop(body.unread);
    Ok(client_response(final_response))
}

/// Checks whether there is memory for the response to a request.
fn has_response_memory(context: &ServerContext, connection: &ConnectionHandle) -> bool {
    let has_room = context.response_memory.has_room();
    if !has_room {
        connection.on_memory_refusal();
    }
    has_room
}

/// Returns the response to a health check.
fn health(context: &ServerContext, method: &Method) -> Result<HttpResponse, RequestError> {
    if method != Method::GET {
        return Err(RequestError::MethodNotAllowed { allowed: "GET" });
    }
    let ready = context.ready.get() && context.stage() == ShutdownStage::Serving;
    Ok(if ready {
        text_response(StatusCode::OK, "ready")
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    })
}

/// Returns the number of the key that a path names, if it names one.
fn path_key(path: &str) -> Option<u64> {
    let name = path.strip_prefix(API_PREFIX)?.rsplit('/').next()?;
    (!name.is_empty()).then(|| key_number(name))
}

/// Returns the number by which a key is placed. Keys are 64-bit numbers in hexadecimal; any other
/// name is placed by its hash, which is the same at every node.
pub fn key_number(name: &str) -> u64 {
    u64::from_str_radix(name, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        hasher.write(name.as_bytes());
        hasher.finish()
    })
}

/// Checks that the method is one of a request for a key.
fn check_method(method: &Method) -> Result<(), RequestError> {
    if method != Method::GET && method != Method::PUT {
        return Err(RequestError::MethodNotAllowed {
            allowed: "GET, PUT",
        });
    }
    Ok(())
}

/// Checks that the length of the body is stated.
fn check_framing(head: &Parts) -> Result<(), RequestError> {
    // hyper ignores a Content-Length beside Transfer-Encoding, and another parser may not. If the
    // two disagree on the end of the body, the body may hide another request (request smuggling).
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::LengthRequired);
    }
    Ok(())
}

/// Body of a request.
struct RequestBody {
    /// The complete body, or nothing if `unread` is set.
    bytes: Bytes,
    /// Memory of `bytes`.
    reservation: Option<ByteReservation>,
    /// A body that was not read for lack of memory; its request is to be shed.
    unread: Option<Incoming>,
}

/// Reads the body if memory is available for it.
async fn receive_body(
    connection: &ConnectionHandle,
    body: Incoming,
) -> Result<RequestBody, BodyError> {
    let reservation = connection.reserve_request_bytes(stated_length(&body, MAX_BODY_BYTES));
    if reservation.is_none() {
        return Ok(RequestBody {
            bytes: Bytes::new(),
            reservation,
            unread: Some(body),
        });
    }
    Ok(RequestBody {
        bytes: read_body(body).await?,
        reservation,
        unread: None,
    })
}
