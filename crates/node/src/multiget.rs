//! Many keys in one call: the side port that takes them, each item an ordinary request of this node, and the command
//! that asks there.

use crate::connections::{ConnectionHandle, ReportingSocket};
use crate::driver::FinalResponse;
use crate::server::{
    self, key_number, parse_parameters, read_body, submit_request, text_response, DescriptorSource,
    RequestParameters, ServerContext,
};
use crate::upstream::ForwardedRequest;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use slatelink_config::operators::MultiGetSettings as Settings;
use std::collections::HashSet;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::task::JoinSet;
use tokio::time::{timeout, timeout_at, Instant};

/// Items are given up so long before the client's time is up: later, the driver's own end of their time would come
/// first, and what is unfinished would read as failed.
const EARLY: Duration = Duration::from_millis(10);
/// Beside the time of its items, a connection has so long to ask and to take its lines.
const AROUND: Duration = Duration::from_secs(6);

/// One item, as the client words it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Item {
    key: String,
    req_id: String,
}

/// One item, as the node may send it.
struct Checked {
    key: String,
    target: PathAndQuery,
    id: HeaderValue,
}

impl Item {
    fn check(self) -> Option<Checked> {
        // One segment of a path: anything else would be another request than the one that is named.
        let segment =
            |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@%".contains(byte);
        if self.key.is_empty() || self.req_id.is_empty() || !self.key.as_bytes().iter().all(segment)
        {
            return None;
        }
        let target = PathAndQuery::try_from(format!("/api/{}", self.key)).ok()?;
        let id = HeaderValue::from_str(&self.req_id).ok()?;
        Some(Checked {
            key: self.key,
            target,
            id,
        })
    }
}

/// How an item ended.
#[derive(Debug, Serialize)]
struct Line<'a> {
    i: usize,
    key: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<&'a str>,
    /// In place of `body` where that is no text.
    #[serde(skip_serializing_if = "Option::is_none")]
    body_hex: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    partial: Option<bool>,
}

impl<'a> Line<'a> {
    fn new(i: usize, key: &'a str) -> Self {
        Self {
            i,
            key,
            status: None,
            body: None,
            body_hex: None,
            partial: None,
        }
    }

    fn write(&self) -> Option<Bytes> {
        let mut line = serde_json::to_vec(self).ok()?;
        line.push(b'\n');
        Some(line.into())
    }
}

/// The lines as they come. With the answer's body go the items that are still out.
struct Lines {
    lines: Receiver<Bytes>,
    _items: JoinSet<()>,
}

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.lines
            .poll_recv(cx)
            .map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

type HttpResponse = Response<Either<Full<Bytes>, Lines>>;

/// The side port's side of the node.
pub struct MultiGet {
    front: Rc<ServerContext>,
    settings: Settings,
    room: Rc<DescriptorSource>,
}

impl MultiGet {
    /// Descriptors that it holds beside its connections: its listener's.
    pub const DESCRIPTORS: usize = 1;
    /// Connections that it may hold at once.
    pub const CONNECTIONS: usize = 8;

    pub fn new(front: Rc<ServerContext>, settings: Settings, room: DescriptorSource) -> Rc<Self> {
        Rc::new(Self {
            front,
            settings,
            room: Rc::new(room),
        })
    }

    /// Serves until the node closes and every connection has ended.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let sweep = tokio::task::spawn_local(self.room.connections.clone().sweep());
        let (room, front) = (self.room.clone(), self.front.clone());
        let (stage, log) = (front.stage.clone(), front.log.clone());
        let connection = move |place| connection(place, self.clone());
        server::serve(listener, room, stage, log, connection).await;
        sweep.abort();
    }
}

async fn connection(place: ConnectionHandle, side: Rc<MultiGet>) {
    let place = Rc::new(place);
    let service = service_fn(async |request| {
        place.on_request_head();
        let response = respond(&side, &place, request)
            .await
            .unwrap_or_else(|rejected| {
                place.on_response();
                rejected.map(Either::Left)
            });
        Ok::<_, Infallible>(response)
    });
    let mut http = http1::Builder::new();
    // One call a connection: so its time has a bound, whatever its client takes of the answer.
    http.max_buf_size(server::MAX_HEAD_BYTES).keep_alive(false);
    let longest = side
        .front
        .classes
        .iter()
        .map(|class| class.max_timeout)
        .max()
        .unwrap_or_default();
    let mut serving = http.serve_connection(ReportingSocket(place.clone()), service);
    // With one call a connection it is never idle for long, and parked is as good as over.
    let driven = place.drive(&mut serving, |serving| serving.graceful_shutdown());
    // Cut off, it is as if its client had left.
    let _ = timeout(longest + AROUND, driven).await;
    drop(serving);
    place.linger().await;
}

async fn respond(
    side: &MultiGet,
    place: &ConnectionHandle,
    request: Request<Incoming>,
) -> Result<HttpResponse, Response<Full<Bytes>>> {
    let at = Instant::now();
    let (head, body) = request.into_parts();
    if head.uri.path() != "/multi" {
        return Err(text_response(StatusCode::NOT_FOUND, "no such path"));
    }
    if head.method != Method::POST {
        return Err(server::method_not_allowed("POST"));
    }
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(text_response(
            StatusCode::LENGTH_REQUIRED,
            "a body needs a Content-Length",
        ));
    }
    let bad = |what| text_response(StatusCode::BAD_REQUEST, what);
    let terms = parse_parameters(&side.front, &head.headers)?;
    let body = read_body(body).await?;
    let items: Vec<Item> = serde_json::from_slice(&body)
        .map_err(|_| bad("not a list of items with key and req_id"))?;
    if items.len() > side.settings.max_items() {
        return Err(text_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too many items",
        ));
    }
    let items: Option<Vec<_>> = items.into_iter().map(Item::check).collect();
    let items = items.ok_or_else(|| bad("a key or req_id is empty or not usable"))?;
    let mut ids = HashSet::new();
    if !items.iter().all(|item| ids.insert(&item.id)) {
        return Err(bad("a req_id stands twice"));
    }
    place.on_request(terms.class.0);
    // A line waits here for the one before it to be taken: so few are held, however large they are.
    let (sender, lines) = channel(1);
    let (until, parallel) = (at + terms.timeout, side.settings.parallel_requests());
    let mut running = JoinSet::new();
    let all = run(side.front.clone(), terms, items, parallel, until, sender);
    running.spawn_local(async move {
        // What is unfinished then is given up, as if its client had left.
        let _ = timeout_at(until - EARLY.min(until - at), all).await;
    });
    let mut response = Response::new(Either::Right(Lines {
        lines,
        _items: running,
    }));
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/x-ndjson"),
    );
    Ok(response)
}

/// Runs the items, so many at once, and sends each one's line as it ends.
async fn run(
    front: Rc<ServerContext>,
    terms: RequestParameters,
    items: Vec<Checked>,
    parallel: usize,
    until: Instant,
    lines: Sender<Bytes>,
) {
    let mut left = items.into_iter().enumerate();
    let mut out = JoinSet::new();
    loop {
        while out.len() < parallel {
            let Some((i, item)) = left.next() else { break };
            out.spawn_local(run_item(front.clone(), terms, i, item, until));
        }
        let Some(ended) = out.join_next().await else {
            return;
        };
        if let Ok(Some(line)) = ended {
            if lines.send(line).await.is_err() {
                return;
            }
        }
    }
}

/// One item: a client's request in all but its connection, whose place among those it takes all the same.
async fn run_item(
    front: Rc<ServerContext>,
    terms: RequestParameters,
    i: usize,
    item: Checked,
    until: Instant,
) -> Option<Bytes> {
    let mut line = Line::new(i, &item.key);
    let Some(id) = front.open_ids.register(item.id) else {
        line.status = Some(StatusCode::CONFLICT.as_u16());
        return line.write();
    };
    let _place = front.descriptors.lease().await;
    let at = Instant::now();
    let terms = RequestParameters {
        timeout: until.saturating_duration_since(at),
        ..terms
    };
    let (target, key) = (item.target, key_number(&item.key));
    let message = ForwardedRequest {
        method: Method::GET,
        target,
        id,
        idempotency_key: None,
        body: Bytes::new(),
    };
    let answer = submit_request(&front, at, key, terms, message).await;
    line.status = Some(answer.status().as_u16());
    if let FinalResponse::Served(body) = &answer {
        match std::str::from_utf8(body) {
            Ok(text) => line.body = Some(text),
            Err(_) => line.body_hex = Some(body.iter().map(|byte| format!("{byte:02x}")).collect()),
        }
        return line.write();
    }
    line.write()
}
