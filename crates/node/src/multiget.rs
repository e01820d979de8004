//! Multi-get: many keys in one HTTP request, at a separate port.
//!
//! A `POST /multi` lists items, each with a key and a request id. Every item becomes an ordinary
//! GET request of this node, and the response contains a line of JSON for each item, sent when the
//! item ends, in any order. The headers of the request apply to all of its items, including class,
//! deadline and owner.

mod items;
mod request;
mod response;

use crate::body::MAX_BODY_BYTES;
use crate::connections::{ConnectionHandle, ReportingSocket};
use crate::server::{
    self, text_response, DescriptorSource, RequestError, ServerContext, MAX_HEAD_BYTES,
};
use http_body_util::Either;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use items::Items;
use request::MultiGetRequest;
use response::{lines_response, HttpResponse};
use slatelink_config::operators::MultiGetSettings;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc::channel;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{timeout, timeout_at};

/// Unfinished items are canceled this long before the client's deadline. Later the driver would
/// fail them at its own deadline, and the client would see them as failed instead of unfinished.
const CANCEL_MARGIN: Duration = Duration::from_millis(10);
/// Time that a connection has in addition to the longest deadline of its items, for sending the
/// request and reading the response.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(6);
/// Capacity of the queue of finished items that wait for the connection; small, because each body
/// may be large.
const ITEM_QUEUE_CAPACITY: usize = 1;

/// Retry-After of a refused request, in seconds: requests hold memory for about this long.
const RETRY_AFTER_S: &str = "1";
/// One in this many of the response bodies that fit into memory may belong to items. Items keep
/// theirs until the client reads the lines, and the rest stays for the client port.
const ITEM_BODIES_DIVISOR: usize = 2;

/// Why a multi-get request cannot be used. No work was started for the request, and its client
/// receives the text.
#[derive(Debug, Error)]
enum MultiGetError {
    /// The head, parameters or body cannot be used.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The body is not JSON of the required form.
    #[error("not a list of items with key and req_id")]
    Malformed,
    /// The request has more items than the settings allow.
    #[error("too many items")]
    TooManyItems,
    /// A key is not a path segment, or an id is not a header value.
    #[error("a key or req_id is empty or not usable")]
    InvalidItem,
    /// Two items have the same id.
    #[error("a req_id stands twice")]
    DuplicateId,
    /// No memory is left for the body.
    #[error("refused: try again later")]
    MemoryExhausted,
    /// The client has sent so many bytes behind its request that its end may stand behind them.
    #[error("refused: too many bytes behind the request")]
    TrailingBytes,
}

impl From<MultiGetError> for server::HttpResponse {
    fn from(error: MultiGetError) -> Self {
        let status = match error {
            MultiGetError::Request(error) => return error.into(),
            MultiGetError::MemoryExhausted | MultiGetError::TrailingBytes => {
                return refusal(error.to_string())
            }
            MultiGetError::TooManyItems => StatusCode::PAYLOAD_TOO_LARGE,
            MultiGetError::Malformed | MultiGetError::InvalidItem | MultiGetError::DuplicateId => {
                StatusCode::BAD_REQUEST
            }
        };
        text_response(status, error.to_string())
    }
}

/// Returns the response to a request that may be sent again as it is.
fn refusal(text: String) -> server::HttpResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, text);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    response
}

/// Server of the multi-get port.
pub struct MultiGet {
    /// Shared with the client port, because items are handled like the requests of that port.
    context: Rc<ServerContext>,
    settings: MultiGetSettings,
    /// Source of the descriptors of this port's connections.
    descriptors: Rc<DescriptorSource>,
    /// One permit for each item of all connections that may be in flight or wait for its client.
    item_permits: Arc<Semaphore>,
}

impl MultiGet {
    /// Number of descriptors held in addition to the connections: one for the listener.
    pub const DESCRIPTORS: usize = 1;
    /// Maximum number of connections at once.
    pub const CONNECTIONS: usize = 8;
    /// Memory for the lines that all connections are writing, in bytes: a line for each, whose body
    /// has the maximum length and takes six characters for each byte.
    pub const LINE_BYTES: usize = Self::CONNECTIONS * 6 * MAX_BODY_BYTES;

    /// Creates a server without connections, for a node with `response_bytes` of memory for the
    /// bodies of responses.
    pub fn new(
        context: Rc<ServerContext>,
        settings: MultiGetSettings,
        descriptors: DescriptorSource,
        response_bytes: usize,
    ) -> Rc<Self> {
        let max_items = response_bytes / MAX_BODY_BYTES / ITEM_BODIES_DIVISOR;
        Rc::new(Self {
            context,
            settings,
            descriptors: Rc::new(descriptors),
            item_permits: Arc::new(Semaphore::new(max_items.clamp(1, Semaphore::MAX_PERMITS))),
        })
    }

    /// Serves until the node closes and every connection has ended.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let connections = spawn_local(self.descriptors.connections.clone().run());
        let descriptors = self.descriptors.clone();
        let (stage, log) = (self.context.stage.clone(), self.context.log.clone());
        let connection_handler = move |handle| self.clone().serve_connection(handle);
        server::serve(listener, descriptors, stage, log, connection_handler).await;
        connections.abort();
    }

    /// Serves one request. A single request per connection limits the duration of the connection,
    /// however slowly the client reads the response.
    async fn serve_connection(self: Rc<Self>, handle: ConnectionHandle) {
        let handle = Rc::new(handle);
        let service = service_fn(async |request: Request<Incoming>| {
            handle.on_request_head(request.body().size_hint().exact());
            let response = self
                .handle_request(&handle, request)
                .await
                .unwrap_or_else(|error| {
                    handle.on_response();
                    server::HttpResponse::from(error).map(Either::Left)
                });
            Ok::<_, Infallible>(response)
        });
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_HEAD_BYTES).keep_alive(false);
        let mut http_connection = http.serve_connection(ReportingSocket(handle.clone()), service);
        // A connection with a single request is never idle for long, so parking it equals closing
        // it.
        let drive_future = handle.drive(&mut http_connection, |http_connection| {
            http_connection.graceful_shutdown()
        });
        // On timeout the connection ends as if its client had disconnected.
        let _ = timeout(self.max_timeout() + TRANSFER_TIMEOUT, drive_future).await;
        drop(http_connection);
        handle.linger().await;
    }

    /// Returns the longest timeout of all classes.
    fn max_timeout(&self) -> Duration {
        self.context.classes.borrow().max_timeout()
    }

    /// Reads a request, starts its items and returns a response that streams their lines.
    async fn handle_request(
        &self,
        handle: &ConnectionHandle,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, MultiGetError> {
        let received_at = handle.received_at();
        let request = MultiGetRequest::read(request, handle, &self.context, &self.settings).await?;
        handle.on_request(request.parameters.class.id.0);
        let deadline = received_at + request.parameters.timeout;
        let (sender, finished_items) = channel(ITEM_QUEUE_CAPACITY);
        let items = Items {
            context: self.context.clone(),
            _body_reservation: request.body_reservation,
            permits: self.item_permits.clone(),
            parameters: request.parameters,
            deadline,
            max_in_flight: self.settings.parallel_requests(),
        };
        let running_items = items.run(request.items, sender);
        let cancel_at = deadline - CANCEL_MARGIN.min(deadline - received_at);
        let mut task = JoinSet::new();
        task.spawn_local(async move {
            // Items that are unfinished at `cancel_at` are canceled, as if the client had
            // disconnected.
            let _ = timeout_at(cancel_at, running_items).await;
        });
        Ok(lines_response(finished_items, task))
    }
}
