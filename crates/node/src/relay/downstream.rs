//! The server for downstream clients, with a limit on connections.

use super::byte_counter::{ConnectionByteCounter, CountingStream, DownstreamCounters};
use super::connection_limit::ConnectionLimit;
use super::publisher::ReplicaPublisher;
use super::response::{plain_text, with_connection_close};
use super::service::RelayService;
use super::status::UpstreamCounts;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slatelink_telemetry::Log;
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum size of a request head.
const MAX_REQUEST_HEAD_BYTES: usize = 16 << 10;
/// Pause after a failed accept: an immediate retry would fail as well, in a busy loop.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Maximum number of connections beyond the limit that are answered with 503 at the same time;
/// further connections are closed without a response.
pub const MAX_REJECTING_CONNECTIONS: usize = 32;
/// Time after which a connection beyond the limit is closed.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that clients have to read their answers when the relay shuts down.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the shutdown checks whether all connections are closed.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Server for downstream clients, with all its connections.
pub struct DownstreamServer {
    service: RelayService,
    log: Log,
    connections: ConnectionLimit,
    /// Connections beyond the limit that are being answered with 503.
    rejecting: ConnectionLimit,
}

impl DownstreamServer {
    /// Creates a server of the published replica for at most `max_connections` clients.
    pub fn new(
        publisher: Rc<ReplicaPublisher>,
        max_connections: usize,
        upstream_counts: Rc<Cell<UpstreamCounts>>,
        log: Log,
    ) -> Self {
        Self {
            service: RelayService {
                publisher,
                counters: Rc::new(DownstreamCounters::default()),
                upstream_counts,
            },
            log,
            connections: ConnectionLimit::new(max_connections),
            rejecting: ConnectionLimit::new(MAX_REJECTING_CONNECTIONS),
        }
    }

    /// Accepts connections until the future is dropped, which does not close accepted connections.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().handle_connection(stream))),
                Err(error) => {
                    self.log
                        .rate_limited("accept", &format!("cannot accept a connection: {error}"));
                    sleep(ACCEPT_ERROR_PAUSE).await;
                }
            }
        }
    }

    /// Answers all clients with an error and waits until the connections are closed, for at most
    /// [`SHUTDOWN_TIMEOUT`].
    pub async fn shut_down(&self) {
        self.service.publisher.shut_down();
        let all_closed = async {
            while self.connections.open() > 0 {
                sleep(SHUTDOWN_POLL_INTERVAL).await;
            }
        };
        // The end of the process disconnects clients that have not read their answer by then.
        let _ = timeout(SHUTDOWN_TIMEOUT, all_closed).await;
    }

    async fn handle_connection(self: Rc<Self>, stream: TcpStream) {
        // Answers are sent without delay.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        match self.connections.try_acquire() {
            Some(_permit) => self.serve_connection(stream).await,
            None => self.reject_connection(stream).await,
        }
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let byte_counter = Rc::new(ConnectionByteCounter::new(self.service.counters.clone()));
        let io = TokioIo::new(CountingStream::new(stream, byte_counter.clone()));
        let service = service_fn(async |request| {
            let response = self
                .service
                .respond(request, &byte_counter, &self.connections);
            Ok::<_, Infallible>(response.await)
        });
        let mut serving = pin!(http().serve_connection(io, service));
        tokio::select! {
            // A connection error affects only its own client.
            _ = &mut serving => return,
            () = self.service.publisher.shutting_down() => serving.as_mut().graceful_shutdown(),
        }
        let _ = serving.await;
    }

    async fn reject_connection(&self, stream: TcpStream) {
        self.service
            .counters
            .add(|counts| counts.rejected_connections += 1);
        self.log.rate_limited(
            "connections",
            "relay: connection rejected: the connection limit is reached",
        );
        let Some(_permit) = self.rejecting.try_acquire() else {
            return;
        };
        let service = service_fn(async |_: Request<Incoming>| {
            let text = format!(
                "there are {} connections already: ask another source",
                self.connections.max()
            );
            let response = with_connection_close(plain_text(StatusCode::SERVICE_UNAVAILABLE, text));
            Ok::<_, Infallible>(response)
        });
        let _ = timeout(
            REJECTION_TIMEOUT,
            http().serve_connection(TokioIo::new(stream), service),
        )
        .await;
    }
}

/// Returns the HTTP settings of the server.
fn http() -> http1::Builder {
    let mut http = http1::Builder::new();
    // Without a date header, an answer is identical for all clients.
    http.auto_date_header(false)
        .max_buf_size(MAX_REQUEST_HEAD_BYTES);
    http.timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT);
    http
}
