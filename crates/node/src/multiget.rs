//! Multi-get: many keys in one HTTP request, at a separate port.
//!
//! A `POST /multi` lists items, each with a key and a request id. Every item becomes an ordinary
//! GET request of this node, and the response contains a line of JSON for each item, sent when the
//! item ends, in any order. The headers of the request apply to all of its items, including class,
//! deadline and owner.

mod items;
mod request;
mod response;

use crate::connections::{ConnectionHandle, ReportingSocket};
use crate::server::{
    self, text_response, DescriptorSource, RequestError, ServerContext, MAX_HEAD_BYTES,
};
use http_body_util::Either;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use items::Items;
use request::MultiGetRequest;
use response::{lines_response, HttpResponse};
use slatelink_config::operators::MultiGetSettings;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc::channel;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{timeout, timeout_at, Instant};

/// Unfinished items are canceled this long before the client's deadline. Later the driver would
/// fail them at its own deadline, and the client would see them as failed instead of unfinished.
const CANCEL_MARGIN: Duration = Duration::from_millis(10);
/// Time that a connection has in addition to the longest deadline of its items, for sending the
/// request and reading the response.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(6);
/// Capacity of the queue of lines that wait for the connection; small, because each line may be
/// large.
const LINE_QUEUE_CAPACITY: usize = 1;

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
}

impl From<MultiGetError> for server::HttpResponse {
    fn from(error: MultiGetError) -> Self {
        let status = match error {
            MultiGetError::Request(error) => return error.into(),
            MultiGetError::TooManyItems => StatusCode::PAYLOAD_TOO_LARGE,
            MultiGetError::Malformed | MultiGetError::InvalidItem | MultiGetError::DuplicateId => {
                StatusCode::BAD_REQUEST
            }
        };
        text_response(status, error.to_string())
    }
}

/// Server of the multi-get port.
pub struct MultiGet {
    /// Shared with the client port, because items are handled like the requests of that port.
    context: Rc<ServerContext>,
    settings: MultiGetSettings,
    /// Source of the descriptors of this port's connections.
    descriptors: Rc<DescriptorSource>,
}

impl MultiGet {
    /// Number of descriptors held in addition to the connections: one for the listener.
    pub const DESCRIPTORS: usize = 1;
    /// Maximum number of connections at once.
    pub const CONNECTIONS: usize = 8;

    /// Creates a server without connections.
    pub fn new(
        context: Rc<ServerContext>,
        settings: MultiGetSettings,
        descriptors: DescriptorSource,
    ) -> Rc<Self> {
        Rc::new(Self {
            context,
            settings,
            descriptors: Rc::new(descriptors),
        })
    }

    /// Serves until the node closes and every connection has ended.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let sweep = spawn_local(self.descriptors.connections.clone().sweep());
        let descriptors = self.descriptors.clone();
        let (stage, log) = (self.context.stage.clone(), self.context.log.clone());
        let connection_handler = move |handle| self.clone().serve_connection(handle);
        server::serve(listener, descriptors, stage, log, connection_handler).await;
        sweep.abort();
    }

    /// Serves one request. A single request per connection limits the duration of the connection,
    /// however slowly the client reads the response.
    async fn serve_connection(self: Rc<Self>, handle: ConnectionHandle) {
        let handle = Rc::new(handle);
        let service = service_fn(async |request| {
            handle.on_request_head();
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
        let timeouts = self.context.classes.iter().map(|class| class.max_timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Reads a request, starts its items and returns a response that streams their lines.
    async fn handle_request(
        &self,
        handle: &ConnectionHandle,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, MultiGetError> {
        let received_at = Instant::now();
        let request = MultiGetRequest::read(request, &self.context, &self.settings).await?;
        handle.on_request(request.parameters.class.0);
        let deadline = received_at + request.parameters.timeout;
        let (sender, lines) = channel(LINE_QUEUE_CAPACITY);
        let items = Items {
            context: self.context.clone(),
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
        Ok(lines_response(lines, task))
    }
}
