//! Multi-get: many keys in one HTTP request, at a port of its own.
//!
//! A `POST /multi` lists items, each a key with a request id. Every item becomes an ordinary GET request of this node, and
//! the response has a line of JSON for each as it ends, in any order. The headers of the request hold for all of its
//! items: class, deadline and owner are theirs too.

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

/// Unfinished items are canceled this long before the client's deadline. Later the driver would fail them at its own
/// deadline, and they would read as failed instead of unfinished.
const CANCEL_MARGIN: Duration = Duration::from_millis(10);
/// How long a connection has beside the longest deadline of its items, for sending the request and reading the response.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(6);
/// Lines that wait for the one before to be taken by the connection: few, since each may be large.
const LINE_QUEUE: usize = 1;

/// Why a multi-get request cannot be used: nothing was begun for it. Its client reads the text.
#[derive(Debug, Error)]
enum MultiGetError {
    /// Its head, parameters or body cannot be used.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// Its body is no JSON of the form asked for.
    #[error("not a list of items with key and req_id")]
    Malformed,
    /// It has more items than the settings allow.
    #[error("too many items")]
    TooManyItems,
    /// A key is no segment of a path, or an id no value of a header.
    #[error("a key or req_id is empty or not usable")]
    InvalidItem,
    /// Two of its items have the same id.
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

/// The server of the multi-get port.
pub struct MultiGet {
    /// Shared with the clients' port: items are requests like those that come there.
    context: Rc<ServerContext>,
    settings: MultiGetSettings,
    /// Where this port takes its descriptors from.
    descriptors: Rc<DescriptorSource>,
}

impl MultiGet {
    /// Descriptors that it holds beside its connections: its listener's.
    pub const DESCRIPTORS: usize = 1;
    /// Connections that it may hold at once.
    pub const CONNECTIONS: usize = 8;

    /// A server without connections.
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
        let connection = move |handle| self.clone().serve_connection(handle);
        server::serve(listener, descriptors, stage, log, connection).await;
        sweep.abort();
    }

    /// Serves one request. With one a connection, its time has a bound however slowly its client takes the response.
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
        let mut serving = http.serve_connection(ReportingSocket(handle.clone()), service);
        // A connection of one request is never idle for long: parked is as good as closed.
        let driven = handle.drive(&mut serving, |serving| serving.graceful_shutdown());
        // Past the timeout it ends as if its client had disconnected.
        let _ = timeout(self.max_timeout() + TRANSFER_TIMEOUT, driven).await;
        drop(serving);
        handle.linger().await;
    }

    /// The longest time for which a client of any class waits.
    fn max_timeout(&self) -> Duration {
        let timeouts = self.context.classes.iter().map(|class| class.max_timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Reads a request, starts its items and responds with their lines to come.
    async fn handle_request(
        &self,
        handle: &ConnectionHandle,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, MultiGetError> {
        let received_at = Instant::now();
        let request = MultiGetRequest::read(request, &self.context, &self.settings).await?;
        handle.on_request(request.parameters.class.0);
        let deadline = received_at + request.parameters.timeout;
        let (sender, lines) = channel(LINE_QUEUE);
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
            // Items that are unfinished then are canceled, as if their client had disconnected.
            let _ = timeout_at(cancel_at, running_items).await;
        });
        Ok(lines_response(lines, task))
    }
}
