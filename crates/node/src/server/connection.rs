//! A client connection: parked between requests, served during requests, lingering at its end.

use super::request::handle_request;
use super::{ServerContext, MAX_HEAD_BYTES};
use crate::connections::{ConnectionHandle, DriveOutcome, NextRequest, ReportingSocket};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// A client connection, which ends with this future. Between requests it holds only its socket:
/// hyper's state, with buffers and parser, is in a separate box, created when the head of a request
/// has arrived and dropped some time after the response.
pub struct ClientConnection {
    /// Socket of the connection, and its entry in the connection table.
    handle: Rc<ConnectionHandle>,
    /// Shared by all client connections.
    context: Rc<ServerContext>,
    /// Whether hyper currently uses the socket.
    state: State,
}

/// State of a client connection, apart from its socket.
enum State {
    /// The connection waits for the head of a request.
    Parked,
    /// hyper reads requests and writes responses.
    Serving(Pin<Box<dyn Future<Output = DriveOutcome>>>),
    /// The connection has ended.
    Closed,
}

impl ClientConnection {
    /// Creates the future of a newly admitted connection.
    pub fn new(handle: ConnectionHandle, context: Rc<ServerContext>) -> Self {
        Self {
            handle: Rc::new(handle),
            context,
            state: State::Parked,
        }
    }
}

impl Future for ClientConnection {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        loop {
            this.state = match &mut this.state {
                State::Parked => match ready!(this.handle.poll_next_request(cx)) {
                    NextRequest::Serve => {
                        let serving = serve_requests(this.handle.clone(), this.context.clone());
                        State::Serving(Box::pin(serving))
                    }
                    NextRequest::Refuse => State::Serving(Box::pin(refuse(this.handle.clone()))),
                    NextRequest::Close => State::Closed,
                },
                State::Serving(serving) => match ready!(serving.as_mut().poll(cx)) {
                    DriveOutcome::Park => State::Parked,
                    DriveOutcome::Closed => State::Closed,
                },
                State::Closed => return Poll::Ready(()),
            }
        }
    }
}

/// Serves requests until the connection ends, or parks it after it has been idle for a while.
async fn serve_requests(
    connection: Rc<ConnectionHandle>,
    context: Rc<ServerContext>,
) -> DriveOutcome {
    let service = service_fn(async |request: Request<Incoming>| {
        connection.on_request_head(request.body().size_hint().exact());
        let response = handle_request(&context, &connection, request).await;
        connection.on_response();
        Ok::<_, Infallible>(response)
    });
    let mut http = http1::Builder::new();
    http.max_buf_size(MAX_HEAD_BYTES);
    let mut serving = http.serve_connection(ReportingSocket(connection.clone()), service);
    let outcome = connection
        .drive(&mut serving, |serving| serving.graceful_shutdown())
        .await;
    match outcome {
        DriveOutcome::Closed => {
            // Lingering needs no buffers.
            drop(serving);
            connection.linger().await;
        }
        DriveOutcome::Park => {
            drop(serving);
            connection.park();
        }
    }
    outcome
}

/// Refuses the request whose head has arrived, and lets the client read the refusal.
async fn refuse(connection: Rc<ConnectionHandle>) -> DriveOutcome {
    connection.refuse();
    connection.linger().await;
    DriveOutcome::Closed
}
