//! The callers' side: connections within a bound, requests and their answers.

use super::byte_counter::{ConnectionByteCounter, CountingStream, DownstreamCounters};
use super::encoded_answers::EncodedUpdate;
use super::publisher::{PublishError, ReplicaPublisher};
use super::request::{ListRequest, RelayRequest, RequestError};
use super::status::{RelayStatus, UpstreamCounts};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
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

/// A connection on which no request comes for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// A head of a request is this long at most.
const MAX_REQUEST_HEAD_BYTES: usize = 16 << 10;
/// After a failed accept the next one waits: tried at once, it would fail and spin.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Connections past the bound that are answered 503 at once; further ones are closed without a word.
pub const MAX_REJECTING_CONNECTIONS: usize = 32;
/// A connection past the bound is open for so long at most.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// At the end of the relay, callers have so long to read their answers.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Whether all have is looked at so often.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

type Reply = Response<Full<Bytes>>;

/// All connections of callers.
pub struct DownstreamServer {
    publisher: Rc<ReplicaPublisher>,
    log: Log,
    max_connections: usize,
    open: Cell<usize>,
    refusing: Cell<usize>,
    counts: Rc<DownstreamCounters>,
    upstream: Rc<Cell<UpstreamCounts>>,
}

/// A place among connections, given back when dropped.
struct ConnectionPermit<'a>(&'a Cell<usize>);

impl<'a> ConnectionPermit<'a> {
    fn take(taken: &'a Cell<usize>, most: usize) -> Option<Self> {
        (taken.get() < most).then(|| {
            taken.set(taken.get() + 1);
            Self(taken)
        })
    }
}

impl Drop for ConnectionPermit<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl DownstreamServer {
    pub fn new(
        publisher: Rc<ReplicaPublisher>,
        max_connections: usize,
        upstream: Rc<Cell<UpstreamCounts>>,
        log: Log,
    ) -> Self {
        let (open, refusing) = (Cell::new(0), Cell::new(0));
        Self {
            publisher,
            log,
            max_connections,
            open,
            refusing,
            counts: Rc::default(),
            upstream,
        }
    }

    /// Accepts connections, for as long as the future lives.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().connection(stream))),
                Err(error) => {
                    self.log.rate_limited("accept", &format!("accept: {error}"));
                    sleep(ACCEPT_ERROR_PAUSE).await;
                }
            }
        }
    }

    /// Fails all callers, and waits until they have read that or their time is over.
    pub async fn end(&self) {
        self.publisher.stop();
        let all_gone = async {
            while self.open.get() > 0 {
                sleep(SHUTDOWN_POLL_INTERVAL).await;
            }
        };
        // Whoever does not read by then is cut off by the end of the process.
        let _ = timeout(SHUTDOWN_TIMEOUT, all_gone).await;
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        // A caller is answered as soon as there is news.
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let byte_counter = Rc::new(ConnectionByteCounter::new(self.counts.clone()));
        let io = TokioIo::new(CountingStream::new(stream, byte_counter.clone()));
        if let Some(_place) = ConnectionPermit::take(&self.open, self.max_connections) {
            let service = service_fn(async |request| {
                Ok::<_, Infallible>(self.respond(&byte_counter, request).await)
            });
            let mut serving = pin!(http().serve_connection(io, service));
            tokio::select! {
                // How a connection ends is its caller's affair.
                _ = &mut serving => return,
                () = self.publisher.stopped() => serving.as_mut().graceful_shutdown(),
            }
            let _ = serving.await;
        } else {
            self.counts.add(|counts| counts.rejected_connections += 1);
            self.log.rate_limited(
                "callers",
                "relay: a connection is refused: there are as many as may be",
            );
            let Some(_place) = ConnectionPermit::take(&self.refusing, MAX_REJECTING_CONNECTIONS)
            else {
                return;
            };
            let service = service_fn(async |_: Request<Incoming>| {
                let text = format!(
                    "there are {} connections already: ask another source",
                    self.max_connections
                );
                Ok::<_, Infallible>(closing(plain(StatusCode::SERVICE_UNAVAILABLE, text)))
            });
            let _ = timeout(REJECTION_TIMEOUT, http().serve_connection(io, service)).await;
        }
    }

    async fn respond(
        &self,
        byte_counter: &ConnectionByteCounter,
        request: Request<Incoming>,
    ) -> Reply {
        let asked = RelayRequest::parse(request.method(), request.uri());
        byte_counter.request(matches!(asked, Ok(RelayRequest::List(_))));
        match asked {
            Ok(RelayRequest::List(list)) => self.list(list).await,
            Ok(RelayRequest::Health) => match self.publisher.unavailable() {
                None => plain(StatusCode::OK, "ready".to_owned()),
                Some(why) => plain(StatusCode::SERVICE_UNAVAILABLE, why.to_string()),
            },
            Ok(RelayRequest::Status) => self.status(),
            Err(error) => {
                let status = match error {
                    RequestError::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
                    RequestError::Path(_) => StatusCode::NOT_FOUND,
                    RequestError::Number { .. } | RequestError::Wait(_) => StatusCode::BAD_REQUEST,
                };
                // A body that nobody reads would stand before the next request.
                closing(plain(status, error.to_string()))
            }
        }
    }

    async fn list(&self, request: ListRequest) -> Reply {
        self.counts.add(|counts| match request.after {
            Some(_) => counts.watch_calls += 1,
            None => counts.snapshot_calls += 1,
        });
        match self.publisher.answer(request).await {
            Ok(list) => self.told(list),
            Err(error) => {
                self.counts.add(|counts| counts.rejected_calls += 1);
                let reply = plain(StatusCode::SERVICE_UNAVAILABLE, error.to_string());
                if matches!(error, PublishError::ShuttingDown) {
                    closing(reply)
                } else {
                    reply
                }
            }
        }
    }

    fn told(&self, list: EncodedUpdate) -> Reply {
        self.counts.add(|counts| {
            match (list.whole, list.entries) {
                (true, _) => counts.snapshot_answers += 1,
                (false, 0) => counts.unchanged_answers += 1,
                (false, _) => counts.delta_answers += 1,
            }
            counts.answer_records += list.entries as u64;
        });
        json(list.body)
    }

    fn status(&self) -> Reply {
        let now = self.publisher.now();
        let left = |expires: Duration| {
            u64::try_from(expires.saturating_sub(now).as_millis()).unwrap_or(u64::MAX)
        };
        let status = self.publisher.with_replica(|replica| RelayStatus {
            version: replica.version().map(|version| version.0),
            endpoints: replica.endpoint_count(),
            epochs: replica.epochs(),
            history_bytes: replica.history_bytes(),
            lease_remaining_ms: replica.lease_expires_at().map(left),
            open_connections: self.open.get(),
            max_connections: self.max_connections,
            waiting_watches: 0,
            downstream: self.counts.get(),
            upstream: self.upstream.get(),
        });
        match serde_json::to_vec(&RelayStatus {
            waiting_watches: self.publisher.waiting(),
            ..status
        }) {
            Ok(body) => json(body.into()),
            Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

fn http() -> http1::Builder {
    let mut http = http1::Builder::new();
    // Without a date, an answer is the same for all callers.
    http.auto_date_header(false)
        .max_buf_size(MAX_REQUEST_HEAD_BYTES);
    http.timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT);
    http
}

fn plain(status: StatusCode, text: String) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(text)));
    *reply.status_mut() = status;
    reply
}

fn json(body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

fn closing(mut reply: Reply) -> Reply {
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}
