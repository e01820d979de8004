//! The clients' side: reads requests, hands them to the driver, writes the answers, sees clients leave.

use crate::connections::{ConnectionHandle, ConnectionManager, DriveOutcome, ReportingSocket};
use crate::driver::{ClientRequest, DriverEvent, FinalResponse};
use crate::upstream::{
    self, BodyError, ForwardedRequest, OpenRequestIds, Upstream, IDEMPOTENCY_KEY, MAX_BODY_BYTES,
    REQ_DEADLINE, REQ_ID,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, ALLOW, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use slatelink_admission::{ConnectionKind, Lease};
use slatelink_policy::{ClassId, Name, Settings};
use slatelink_telemetry::Log;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::hash::{DefaultHasher, Hasher};
use std::net::IpAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::str::FromStr;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, Instant};

pub const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
const REQ_COST: HeaderName = HeaderName::from_static("req-cost");
/// Longest head that is read; a longer one is answered 431. With a body each it is the most that connections
/// can make the node hold.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// After a failed accept (no descriptor left, say) the next one waits: tried at once, it would fail and spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How far the node is in stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    Serving,
    /// It serves as ever, and every answer asks the client to use another connection.
    Draining,
    /// It accepts no more, idle connections close, and what was taken is finished.
    Closing,
}

/// A class of requests, as clients may ask for it.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// What `Req-Kind` says of its requests.
    pub name: Name,
    /// The longest time for which a client of the class waits; a longer `Req-Deadline-Ms` counts as this.
    pub max_timeout: Duration,
}

/// What all connections of clients share.
pub struct ServerContext {
    /// Every request class, by [`ClassId`].
    pub classes: Vec<RequestClass>,
    pub tenants: Vec<Name>,
    pub ready: Rc<Cell<bool>>,
    pub stage: watch::Receiver<ShutdownStage>,
    pub events: UnboundedSender<DriverEvent>,
    pub tickets: Cell<u64>,
    pub descriptors: Rc<DescriptorSource>,
    pub log: Log,
    /// Ids of the requests that are open, or have an attempt out.
    pub open_ids: OpenRequestIds,
}

impl ServerContext {
    pub fn new(
        settings: &Settings,
        ready: Rc<Cell<bool>>,
        stage: watch::Receiver<ShutdownStage>,
        events: UnboundedSender<DriverEvent>,
        log: Log,
        descriptors: DescriptorSource,
    ) -> Self {
        Self {
            classes: settings
                .classes
                .iter()
                .map(|class| RequestClass {
                    name: class.name.clone(),
                    max_timeout: class.deadline,
                })
                .collect(),
            tenants: settings.tenants.clone(),
            ready,
            stage,
            events,
            tickets: Cell::new(0),
            descriptors: Rc::new(descriptors),
            log,
            open_ids: OpenRequestIds::default(),
        }
    }
}

/// The places that a port has for connections.
pub struct DescriptorSource {
    pub connections: Rc<ConnectionManager>,
    /// Its connections share the budget.
    pub upstream: Rc<Upstream>,
}

impl DescriptorSource {
    fn others(&self, side: ConnectionKind) -> bool {
        side == ConnectionKind::Upstream && self.upstream.close_oldest_idle()
    }

    /// A place that is taken without a connection, for what counts as one.
    pub async fn lease(&self) -> Lease {
        self.connections.lease(|side| self.others(side)).await
    }
}

/// Accepts and serves until the node closes, then returns when every connection has ended. One that there is no room for
/// is accepted and waits, and those behind it wait unaccepted.
pub async fn serve<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    room: Rc<DescriptorSource>,
    mut stage: watch::Receiver<ShutdownStage>,
    log: Log,
    connection: impl Fn(ConnectionHandle) -> F,
) {
    let mut closing = pin!(stage.wait_for(|stage| *stage == ShutdownStage::Closing));
    loop {
        let accepted = tokio::select! {
            // What the machine has accepted by then is taken: it comes before the end.
            biased;
            accepted = listener.accept() => accepted,
            _ = &mut closing => break,
        };
        let admitted = match accepted {
            // Not to be given up at the end: its first request may be on its way.
            Ok((stream, from)) => admit(&room, stream, from.ip()).await,
            Err(error) => Err(error),
        };
        match admitted {
            // In the table at once: room that is made before it is first polled must see it.
            Ok(Some(place)) => drop(tokio::task::spawn_local(connection(place))),
            Ok(None) => {}
            Err(error) => {
                log.rate_limited("accept", &format!("accept: {error}"));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    room.connections.close().await;
}

async fn admit(
    room: &DescriptorSource,
    stream: TcpStream,
    from: IpAddr,
) -> std::io::Result<Option<ConnectionHandle>> {
    stream.set_nodelay(true)?;
    Ok(room
        .connections
        .admit(stream, from, |side| room.others(side))
        .await)
}

/// A client's connection, to its end. Between requests it holds nothing but its socket: hyper's part, with buffers and
/// parser, is in a box of its own, made when the client speaks and gone a while after it has its answer.
pub struct ClientConnection {
    place: Rc<ConnectionHandle>,
    front: Rc<ServerContext>,
    state: State,
}

enum State {
    Parked,
    Busy(Pin<Box<dyn Future<Output = DriveOutcome>>>),
    Over,
}

impl ClientConnection {
    pub fn new(place: ConnectionHandle, front: Rc<ServerContext>) -> Self {
        Self {
            place: Rc::new(place),
            front,
            state: State::Parked,
        }
    }
}

impl Future for ClientConnection {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        loop {
            match &mut this.state {
                State::Parked => {
                    this.state = match ready!(this.place.poll_spoken(cx)) {
                        true => State::Busy(Box::pin(busy(this.place.clone(), this.front.clone()))),
                        false => State::Over,
                    };
                }
                State::Busy(busy) => {
                    this.state = match ready!(busy.as_mut().poll(cx)) {
                        DriveOutcome::Park => State::Parked,
                        DriveOutcome::Over => State::Over,
                    };
                }
                State::Over => return Poll::Ready(()),
            }
        }
    }
}

/// Serves a connection until it ends, or has been idle for a while: then its socket is given back.
async fn busy(place: Rc<ConnectionHandle>, front: Rc<ServerContext>) -> DriveOutcome {
    let service = service_fn(async |request| {
        place.on_request_head();
        let response = respond(&front, &place, request).await;
        place.on_response();
        Ok::<_, Infallible>(response)
    });
    let mut http = http1::Builder::new();
    http.max_buf_size(MAX_HEAD_BYTES);
    let mut serving = http.serve_connection(ReportingSocket(place.clone()), service);
    let driven = place
        .drive(&mut serving, |serving| serving.graceful_shutdown())
        .await;
    match driven {
        DriveOutcome::Over => {
            // Its buffers are not needed for that.
            drop(serving);
            place.linger().await;
        }
        DriveOutcome::Park => place.park(&serving.into_parts().read_buf),
    }
    driven
}

/// Tells the driver of a client that left: hyper drops the answer's future with its connection.
struct Waiting {
    ticket: u64,
    events: UnboundedSender<DriverEvent>,
    answered: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.answered {
            // The driver only goes when the node does.
            let _ = self
                .events
                .send(DriverEvent::ClientDisconnected(self.ticket));
        }
    }
}

async fn respond(
    front: &ServerContext,
    place: &ConnectionHandle,
    request: Request<Incoming>,
) -> HttpResponse {
    let (mut response, usable) = match answer(front, place, request).await {
        Ok(response) => (response, true),
        Err(rejected) => (rejected, false),
    };
    // A client that sends what can't be used comes again at once: not on this connection, where it would cost
    // the others the least of waits between two.
    // Where places run out an answered connection makes room at once: kept, it would stand idle for its time while
    // others wait unaccepted, or cannot connect at all.
    if !usable
        || place.closes_with_response()
        || place.overrun()
        || *front.stage.borrow() >= ShutdownStage::Draining
    {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

pub type HttpResponse = Response<Full<Bytes>>;

async fn answer(
    front: &ServerContext,
    place: &ConnectionHandle,
    request: Request<Incoming>,
) -> Result<HttpResponse, HttpResponse> {
    let at = Instant::now();
    let (head, body) = request.into_parts();
    let target = head
        .uri
        .path_and_query()
        .cloned()
        .ok_or_else(|| text_response(StatusCode::BAD_REQUEST, "no path"))?;
    if target.path() == "/healthz" {
        return match head.method {
            Method::GET if front.ready.get() && *front.stage.borrow() == ShutdownStage::Serving => {
                Ok(text_response(StatusCode::OK, "ready"))
            }
            Method::GET => Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")),
            _ => Err(method_not_allowed("GET")),
        };
    }
    let key = target
        .path()
        .strip_prefix("/api/")
        .and_then(|rest| rest.rsplit('/').next());
    let Some(key) = key.filter(|key| !key.is_empty()).map(key_number) else {
        return Err(text_response(StatusCode::NOT_FOUND, "no such path"));
    };
    if head.method != Method::GET && head.method != Method::PUT {
        return Err(method_not_allowed("GET, PUT"));
    }
    // hyper drops a length that stands beside it, and what the two disagree on may hide another request.
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(text_response(
            StatusCode::LENGTH_REQUIRED,
            "a body needs a Content-Length",
        ));
    }
    let mut asked = read_head(front, &head.headers)
        .map_err(|what| text_response(StatusCode::BAD_REQUEST, what))?;
    // Where there is no memory for it the body stays unread: the request is refused.
    let large = body.size_hint().lower().min(MAX_BODY_BYTES as u64) as usize;
    let (fits, body) = match place.reserve_request_bytes(large) {
        true => (true, read_body(body).await?),
        false => (false, Bytes::new()),
    };
    // Its client may have gone before it was read: nothing is begun for nobody.
    if place.client_has_left() {
        return Err(text_response(
            StatusCode::BAD_REQUEST,
            "its client has gone",
        ));
    }
    // Sent on, it would be a second copy of another client's request.
    let id = front
        .open_ids
        .register(asked.id)
        .ok_or_else(|| text_response(StatusCode::CONFLICT, "Req-Id is open already"))?;
    asked.terms.over_quota = place.on_request(asked.terms.class.0) || !fits;
    let message = ForwardedRequest {
        method: head.method,
        target,
        id,
        idempotency_key: asked.idempotency_key,
        body,
    };
    Ok(reply(
        submit_request(front, at, key, asked.terms, message).await,
    ))
}

/// Reads a request's body to its end.
pub async fn read_body(body: Incoming) -> Result<Bytes, HttpResponse> {
    upstream::read_body(body)
        .await
        .map_err(|error| match error {
            BodyError::TooLarge => text_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is larger than 64 KiB",
            ),
            BodyError::Incomplete(_) => {
                text_response(StatusCode::BAD_REQUEST, "the body broke off")
            }
        })
}

/// What the headers of a request say.
struct Asked {
    id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
    terms: RequestParameters,
}

/// What holds for a request beside what it asks for.
#[derive(Clone, Copy)]
pub struct RequestParameters {
    pub timeout: Duration,
    pub class: ClassId,
    pub expected_work: Option<Duration>,
    /// Its class, or all requests, hold all of what they may already.
    pub over_quota: bool,
}

fn read_head(front: &ServerContext, headers: &HeaderMap) -> Result<Asked, &'static str> {
    Ok(Asked {
        id: single(headers, &REQ_ID)?
            .filter(|id| !id.is_empty())
            .ok_or("no Req-Id")?
            .clone(),
        idempotency_key: single(headers, &IDEMPOTENCY_KEY)?.cloned(),
        terms: parse_parameters(front, headers)?,
    })
}

pub fn parse_parameters(
    front: &ServerContext,
    headers: &HeaderMap,
) -> Result<RequestParameters, &'static str> {
    let class = text(headers, &REQ_KIND)?.ok_or("no Req-Kind")?;
    let class = front
        .classes
        .iter()
        .position(|known| known.name.as_str() == class)
        .ok_or("unknown Req-Kind")?;
    // Where there are no tenants, whatever stands there means nothing.
    let owner = text(headers, &REQ_OWNER)?;
    if !front.tenants.is_empty() {
        let owner = owner.ok_or("no Req-Owner")?;
        front
            .tenants
            .iter()
            .find(|name| name.as_str() == owner)
            .ok_or("unknown Req-Owner")?;
    }
    // In 32 bits it is under 50 days and safe to add to a clock. No client waits longer than its class does,
    // and what the node holds for a request it would hold as long.
    let timeout: u32 = number(headers, &REQ_DEADLINE, "unreadable Req-Deadline-Ms")?
        .ok_or("no Req-Deadline-Ms")?;
    let cost: Option<u32> = number(headers, &REQ_COST, "unreadable Req-Cost")?;
    Ok(RequestParameters {
        timeout: Duration::from_millis(timeout.into()).min(front.classes[class].max_timeout),
        class: ClassId(class),
        expected_work: cost.map(|us| Duration::from_micros(us.into())),
        over_quota: false,
    })
}

/// A header that must not stand twice: the two ends could each go by another one.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, &'static str> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    values
        .next()
        .map_or(Ok(first), |_| Err("a header stands twice"))
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, &'static str> {
    single(headers, name)?
        .map(|value| value.to_str().map_err(|_| "unreadable header"))
        .transpose()
}

fn number<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    error: &'static str,
) -> Result<Option<T>, &'static str> {
    text(headers, name)?
        .map(|text| text.parse().map_err(|_| error))
        .transpose()
}

/// Keys are 64-bit numbers in hexadecimal; any other name goes by its hash, the same at every node.
pub fn key_number(name: &str) -> u64 {
    u64::from_str_radix(name, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        hasher.write(name.as_bytes());
        hasher.finish()
    })
}

/// Hands a request over and waits for its final answer. Dropped before, its client has left.
pub async fn submit_request(
    front: &ServerContext,
    at: Instant,
    key: u64,
    terms: RequestParameters,
    message: ForwardedRequest,
) -> FinalResponse {
    let ticket = front.tickets.replace(front.tickets.get() + 1);
    let (sender, receiver) = oneshot::channel();
    let request = ClientRequest {
        number: ticket,
        received_at: at,
        timeout: terms.timeout,
        class: terms.class,
        key: Some(key),
        expected_work: terms.expected_work,
        write: message.method == Method::PUT,
        over_quota: terms.over_quota,
        message,
        response_sender: sender,
    };
    let mut waiting = Waiting {
        ticket,
        events: front.events.clone(),
        answered: false,
    };
    // The driver only goes when the node does; its silence is a failure all the same.
    let _ = front
        .events
        .send(DriverEvent::RequestReceived(Box::new(request)));
    let answer = receiver.await.unwrap_or(FinalResponse::Failed);
    waiting.answered = true;
    answer
}

fn reply(answer: FinalResponse) -> HttpResponse {
    let status = answer.status();
    match answer {
        FinalResponse::Served(body) => Response::new(Full::new(body)),
        FinalResponse::Shed { retry_after } => {
            let mut response = text_response(status, "refused: try again later");
            if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64()))
            {
                response.headers_mut().insert(RETRY_AFTER, seconds);
            }
            response
        }
        FinalResponse::Failed => text_response(status, "failed"),
    }
}

pub fn method_not_allowed(allowed: &'static str) -> HttpResponse {
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "no such method");
    response
        .headers_mut()
        .insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

pub fn text_response(status: StatusCode, text: &'static str) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
