//! A multi-get request, read and checked.

use super::MultiGetError;
use crate::server::{
    key_number, parse_parameters, read_body, RequestError, RequestParameters, ServerContext,
};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request};
use serde::Deserialize;
use slatelink_config::operators::MultiGetSettings;
use std::collections::HashSet;

/// The one path that is served.
const PATH: &str = "/multi";

/// A request that can be served.
pub(super) struct MultiGetRequest {
    /// What holds for each of its items.
    pub parameters: RequestParameters,
    /// In the client's order; no two have the same id.
    pub items: Vec<Item>,
}

impl MultiGetRequest {
    /// Reads a request whole and checks it.
    pub async fn read(
        request: Request<Incoming>,
        context: &ServerContext,
        settings: &MultiGetSettings,
    ) -> Result<Self, MultiGetError> {
        let (head, body) = request.into_parts();
        check_head(&head)?;
        let parameters = parse_parameters(context, &head.headers).map_err(RequestError::from)?;
        let body = read_body(body).await.map_err(RequestError::from)?;
        let items = parse_items(&body, settings.max_items())?;
        Ok(Self { parameters, items })
    }
}

fn check_head(head: &Parts) -> Result<(), RequestError> {
    if head.uri.path() != PATH {
        return Err(RequestError::UnknownPath);
    }
    if head.method != Method::POST {
        return Err(RequestError::MethodNotAllowed { allowed: "POST" });
    }
    // hyper ignores a Content-Length beside it, and another parser may not: where the two disagree on the end of the body,
    // it may hide another request (request smuggling).
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(RequestError::LengthRequired);
    }
    Ok(())
}

/// Items of a body of JSON, at most `max_items`.
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

/// An item as the client writes it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ItemJson {
    key: String,
    req_id: String,
}

/// An item that can be forwarded.
pub(super) struct Item {
    /// As the client wrote it.
    pub key: String,
    /// What an endpoint is asked for.
    pub target: PathAndQuery,
    /// The request's id.
    pub id: HeaderValue,
}

impl Item {
    /// `None` for a key that is no segment of a path, or an id that is no value of a header. Any other key would make
    /// the target another one than the key names.
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

    /// The number that the decision module knows the key by.
    pub fn key_number(&self) -> u64 {
        key_number(&self.key)
    }
}

/// Whether a text is one segment of a path, not empty, by the characters of RFC 3986.
fn is_path_segment(text: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@%".contains(&byte);
    !text.is_empty() && text.bytes().all(is_allowed)
}
