//! Many keys in one call: the side port that takes them, each item an ordinary request of this node, and the command
//! that asks there.

use crate::features::settings::MultiGet as Settings;
use crate::net::driver::Answer;
use crate::net::server::{self, ask, key_number, plain, read_body, read_terms, Front, Room, Terms};
use crate::net::table::Place;
use crate::net::upstream::{Message, REQ_DEADLINE};
use bytes::Bytes;
use clap::Args;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1 as client;
use hyper::header::{HeaderValue, CONTENT_TYPE, HOST, TRANSFER_ENCODING};
use hyper::http::uri::PathAndQuery;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::convert::Infallible;
use std::error::Error;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::pin::Pin;
use std::process::ExitCode;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::task::JoinSet;
use tokio::time::{timeout, timeout_at, Instant};

/// Connections that the side port holds at most; their descriptors come out of the node's limit.
const CONNECTIONS: usize = 8;
/// Items are given up so long before the client's time is up: later, the driver's own end of their time would come
/// first, and what is unfinished would read as failed.
const EARLY: Duration = Duration::from_millis(10);
/// Beside the time of its items, a connection has so long to ask and to take its lines.
const AROUND: Duration = Duration::from_secs(6);
/// Keys in one call unless settings or command say otherwise.
pub const MAX_ITEMS: usize = 32;
/// A line holds a body, every byte of it escaped at worst, and a key.
const LONGEST_LINE: usize = 1 << 20;

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
        let segment = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@%".contains(byte);
        if self.key.is_empty() || self.req_id.is_empty() || !self.key.as_bytes().iter().all(segment) {
            return None;
        }
        let target = PathAndQuery::try_from(format!("/api/{}", self.key)).ok()?;
        let id = HeaderValue::from_str(&self.req_id).ok()?;
        Some(Checked { key: self.key, target, id })
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
        Self { i, key, status: None, body: None, body_hex: None, partial: None }
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
        self.lines.poll_recv(cx).map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

type Reply = Response<Either<Full<Bytes>, Lines>>;

/// The side port's side of the node.
pub struct MultiGet {
    front: Rc<Front>,
    settings: Settings,
    room: Rc<Room>,
}

impl MultiGet {
    /// Descriptors that it holds: its listener's and its connections'.
    pub const DESCRIPTORS: usize = 1 + CONNECTIONS;

    pub fn new(front: Rc<Front>, settings: Settings) -> Rc<Self> {
        Rc::new(Self { front, settings, room: Rc::new(Room::new(CONNECTIONS, usize::MAX)) })
    }

    /// Serves until the node closes and every connection has ended.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let sweep = tokio::task::spawn_local(self.room.table.clone().sweep());
        let (room, front) = (self.room.clone(), self.front.clone());
        let (stage, log) = (front.stage.clone(), front.log.clone());
        let connection = move |stream, place| connection(stream, place, self.clone());
        server::serve(listener, room, stage, log, connection).await;
        sweep.abort();
    }
}

async fn connection(stream: TcpStream, place: Place, side: Rc<MultiGet>) {
    let service = service_fn(async |request| {
        place.asked();
        let response = respond(&side, &place, request).await.unwrap_or_else(|rejected| {
            place.answered();
            rejected.map(Either::Left)
        });
        Ok::<_, Infallible>(response)
    });
    let mut http = http1::Builder::new();
    // One call a connection: so its time has a bound, whatever its client takes of the answer.
    http.max_buf_size(server::LARGEST_HEAD).keep_alive(false);
    let longest = side.front.classes.iter().map(|(_, deadline)| *deadline).max().unwrap_or_default();
    let serving = http.serve_connection(place.watch(stream), service);
    let driven = place.drive(serving, |serving| serving.graceful_shutdown(), side.front.stage.clone());
    // Cut off, it is as if its client had left.
    let _ = timeout(longest + AROUND, driven).await;
}

async fn respond(
    side: &MultiGet,
    place: &Place,
    request: Request<Incoming>,
) -> Result<Reply, Response<Full<Bytes>>> {
    let at = Instant::now();
    let (head, body) = request.into_parts();
    if head.uri.path() != "/multi" {
        return Err(plain(StatusCode::NOT_FOUND, "no such path"));
    }
    if head.method != Method::POST {
        return Err(server::wrong_method("POST"));
    }
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(plain(StatusCode::LENGTH_REQUIRED, "a body needs a Content-Length"));
    }
    let bad = |what| plain(StatusCode::BAD_REQUEST, what);
    let terms = read_terms(&side.front, &head.headers).map_err(bad)?;
    let body = read_body(body).await?;
    let items: Vec<Item> =
        serde_json::from_slice(&body).map_err(|_| bad("not a list of items with key and req_id"))?;
    if items.len() > side.settings.max_items() {
        return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "too many items"));
    }
    let items: Option<Vec<_>> = items.into_iter().map(Item::check).collect();
    let items = items.ok_or_else(|| bad("a key or req_id is empty or not usable"))?;
    let mut ids = HashSet::new();
    if !items.iter().all(|item| ids.insert(&item.id)) {
        return Err(bad("a req_id stands twice"));
    }
    place.opened();
    // A line waits here for the one before it to be taken: so few are held, however large they are.
    let (sender, lines) = channel(1);
    let (until, parallel) = (at + terms.patience, side.settings.parallel());
    let mut running = JoinSet::new();
    let all = run(side.front.clone(), terms, items, parallel, until, sender);
    running.spawn_local(async move {
        // What is unfinished then is given up, as if its client had left.
        let _ = timeout_at(until - EARLY.min(until - at), all).await;
    });
    let mut response = Response::new(Either::Right(Lines { lines, _items: running }));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/x-ndjson"));
    Ok(response)
}

/// Runs the items, so many at once, and sends each one's line as it ends.
async fn run(
    front: Rc<Front>,
    terms: Terms,
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
        let Some(ended) = out.join_next().await else { return };
        if let Ok(Some(line)) = ended {
            if lines.send(line).await.is_err() {
                return;
            }
        }
    }
}

/// One item: a client's request in all but its connection, whose place among those it takes all the same.
async fn run_item(front: Rc<Front>, terms: Terms, i: usize, item: Checked, until: Instant) -> Option<Bytes> {
    let mut line = Line::new(i, &item.key);
    let Some(id) = front.open.enter(item.id) else {
        line.status = Some(StatusCode::CONFLICT.as_u16());
        return line.write();
    };
    // The places are there for as long as the node is.
    let _place = front.room.place().await.ok()?;
    let at = Instant::now();
    let terms = Terms { patience: until.saturating_duration_since(at), ..terms };
    let (target, key) = (item.target, key_number(&item.key));
    let message = Message { method: Method::GET, target, id, idempotency_key: None, body: Bytes::new() };
    let answer = ask(&front, at, key, terms, message).await;
    line.status = Some(answer.status().as_u16());
    if let Answer::Served(body) = &answer {
        match std::str::from_utf8(body) {
            Ok(text) => line.body = Some(text),
            Err(_) => line.body_hex = Some(body.iter().map(|byte| format!("{byte:02x}")).collect()),
        }
        return line.write();
    }
    line.write()
}

/// Asks a node's side port for many keys.
#[derive(Args)]
pub struct Command {
    /// The side port's address
    #[arg(long, value_name = "ADDR:PORT")]
    node: SocketAddr,
    /// The class of the requests
    #[arg(long)]
    kind: String,
    /// What is unfinished after so many milliseconds is printed as partial
    #[arg(long, value_name = "MS", value_parser = clap::value_parser!(u32).range(1..))]
    deadline_ms: u32,
    /// More keys than this are refused, as the node does past its own `max_items`
    #[arg(long, value_name = "N", default_value_t = MAX_ITEMS)]
    max_items: usize,
    /// The keys; one line is printed for each, in this order
    #[arg(required = true)]
    keys: Vec<String>,
}

impl Command {
    /// Prints a line for each key.
    pub async fn run(self) -> Result<ExitCode, Box<dyn Error>> {
        if self.keys.len() > self.max_items {
            eprintln!("slatelink: {} keys are more than {}", self.keys.len(), self.max_items);
            return Ok(ExitCode::from(2));
        }
        let until = Instant::now() + Duration::from_millis(self.deadline_ms.into());
        let mut ordered = Ordered { next: 0, lines: vec![None; self.keys.len()] };
        let asked = timeout_at(until, self.ask(until, &mut ordered)).await;
        let mut out = io::stdout().lock();
        for (i, key) in self.keys.iter().enumerate().skip(ordered.next) {
            let partial = Line { partial: Some(true), ..Line::new(i, key) }.write();
            out.write_all(&ordered.lines[i].take().or(partial).unwrap_or_default())?;
        }
        out.flush()?;
        match asked {
            // Time that is up is an answer too, and the lines tell of it.
            Ok(Ok(())) | Err(_) => Ok(ExitCode::SUCCESS),
            Ok(Err(error)) => Err(format!("{}: {error}", self.node).into()),
        }
    }

    async fn ask(&self, until: Instant, ordered: &mut Ordered) -> Result<(), Box<dyn Error>> {
        let stream = TcpStream::connect(self.node).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = client::handshake(TokioIo::new(stream)).await?;
        // How it ends shows at the answer.
        let mut driving = JoinSet::new();
        driving.spawn(connection);
        let mut ids = HashSet::new();
        while ids.len() < self.keys.len() {
            ids.insert(format!("{:016x}", fastrand::u64(..)));
        }
        let items = self.keys.iter().cloned().zip(ids).map(|(key, req_id)| Item { key, req_id });
        let body = serde_json::to_vec(&items.collect::<Vec<_>>())?;
        let left = until.saturating_duration_since(Instant::now()).as_millis();
        let request = Request::post("/multi")
            .header(HOST, self.node.to_string())
            .header(server::REQ_KIND, &self.kind)
            .header(REQ_DEADLINE, left.to_string())
            .body(Full::new(Bytes::from(body)))?;
        let mut response = sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            let status = response.status();
            let why = response.into_body().collect().await?.to_bytes();
            return Err(format!("{status}: {}", String::from_utf8_lossy(&why)).into());
        }
        let mut read = Vec::new();
        while let Some(frame) = response.frame().await {
            read.extend(frame?.into_data().unwrap_or_default());
            while let Some(end) = read.iter().position(|&byte| byte == b'\n') {
                ordered.take(read.drain(..=end).collect())?;
            }
            if read.len() > LONGEST_LINE {
                return Err("a line is longer than any item".into());
            }
        }
        Ok(())
    }
}

/// Lines in the order of the keys: one that comes early waits for those before it.
struct Ordered {
    /// The first that is not printed.
    next: usize,
    lines: Vec<Option<Bytes>>,
}

impl Ordered {
    fn take(&mut self, line: Bytes) -> Result<(), Box<dyn Error>> {
        #[derive(Deserialize)]
        struct Place {
            i: usize,
        }
        let Place { i } = serde_json::from_slice(&line)?;
        let place = self.lines.get_mut(i).filter(|place| place.is_none() && i >= self.next);
        *place.ok_or("a line of an item that was not asked for")? = Some(line);
        let mut out = io::stdout().lock();
        while let Some(line) = self.lines.get_mut(self.next).and_then(Option::take) {
            out.write_all(&line)?;
            self.next += 1;
        }
        Ok(out.flush()?)
    }
}
