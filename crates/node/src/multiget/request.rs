//! Reading and checking of multi-get requests.

use super::MultiGetError;
use crate::body::{read_body, stated_length, MAX_BODY_BYTES};
use crate::connections::{ClientPresence, ConnectionHandle};
use crate::server::{key_number, parse_parameters, RequestError, RequestParameters, ServerContext};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request};
use serde::Deserialize;
use slatelink_admission::ByteReservation;
use slatelink_config::operators::MultiGetSettings;
use std::collections::HashSet;
use std::rc::Rc;

/// The only path that is served.
const PATH: &str = "/multi";

/// A valid multi-get request.
pub(super) struct MultiGetRequest {
    /// Parameters of each item.
    pub parameters: RequestParameters,
    /// Items in the client's order, with unique ids.
    pub items: Vec<Item>,
    /// Memory of the body, from which the items were read.
    pub body_reservation: Rc<ByteReservation>,
}

impl MultiGetRequest {
    /// Reads a complete request and checks it, after memory for its body was reserved.
    pub async fn read(
        request: Request<Incoming>,
        handle: &ConnectionHandle,
        context: &ServerContext,
        settings: &MultiGetSettings,
    ) -> Result<Self, MultiGetError> {
        let (head, body) = request.into_parts();
        check_head(&head)?;
        let parameters = parse_parameters(context, &head.headers).map_err(RequestError::from)?;
        let body_reservation = handle
            .reserve_request_bytes(stated_length(&body, MAX_BODY_BYTES))
            .ok_or(MultiGetError::MemoryExhausted)?;
        let body = read_body(body).await.map_err(RequestError::from)?;
        check_presence(handle.client_presence().await)?;
        let items = parse_items(&body, settings.max_items())?;
        Ok(Self {
            parameters,
            items,
            body_reservation: Rc::new(body_reservation),
        })
    }
}

/// Checks that the client is still there, as far as the bytes behind its request show.
fn check_presence(presence: ClientPresence) -> Result<(), MultiGetError> {
    match presence {
        ClientPresence::Present => Ok(()),
        ClientPresence::Disconnected => Err(RequestError::ClientDisconnected.into()),
        ClientPresence::Unknown => Err(MultiGetError::TrailingBytes),
    }
}

fn check_head(head: &Parts) -> Result<(), RequestError> {
    if head.uri.path() != PATH {
        return Err(RequestError::UnknownPath);
    }
    if head.method != Method::POST {
        return Err(RequestError::MethodNotAllowed { allowed: "POST" });
    }
    // hyper ignores a Content-Length beside Transfer-Encoding, and another parser may not. If the
    // two disagree on the end of the body, the body may hide another request (request smuggling).
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::LengthRequired);
    }
    Ok(())
}

/// Parses the items of a JSON body, at most `max_items`.
fn parse_items(body: &[u8], max_items: usize) -> Result<Vec<Item>, MultiGetError> {
    let items: Vec<ItemJson> =
        serde_json::from_slice(body).map_err(|_| MultiGetError::Malformed)?;
    if items.len() > max_items {
        return Err(MultiGetError::TooManyItems);
    }
    let items: Option<Vec<_>> = items.into_iter().map(Item::new).collect();
    let items = items.ok_or(MultiGetError::InvalidItem)?;
    let mut ids = HashSet::new();
    if !items.iter().all(|item| ids.insert(&item.id)) {
        return Err(MultiGetError::DuplicateId);
    }
    Ok(items)
}

/// An item as sent by the client.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ItemJson {
    key: String,
    req_id: String,
}

/// A valid item, which can be forwarded.
pub(super) struct Item {
    /// Key as sent by the client.
    pub key: String,
    /// Target of the request to an endpoint.
    pub target: PathAndQuery,
    /// Id of the request.
    pub id: HeaderValue,
}

impl Item {
    /// Returns `None` if the key is not a path segment or the id is not a header value. With any
    /// other key, the target would name a different key.
    fn new(item: ItemJson) -> Option<Self> {
        if item.req_id.is_empty() || !is_path_segment(&item.key) {
            return None;
        }
        let target = PathAndQuery::try_from(format!("/api/{}", item.key)).ok()?;
        let id = HeaderValue::from_str(&item.req_id).ok()?;
        Some(Self {
            key: item.key,
            target,
            id,
        })
    }

    /// Returns the number of the key in the decision module.
    pub fn key_number(&self) -> u64 {
        key_number(&self.key)
    }
}

/// Checks whether a text is one non-empty path segment, by the characters of RFC 3986.
fn is_path_segment(text: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@%".contains(&byte);
    !text.is_empty() && text.bytes().all(is_allowed)
}
