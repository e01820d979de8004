//! Cache servers that answer at once, and clients that ask real nodes at a rate; on a thread of their own.

use crate::client::AddressTable;
use crate::http::{listen, Conn};
use crate::scale::bounds::CLIENT_CONNECTIONS;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::runtime;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long a client waits for an answer; the node knows it from the request.
const REQUEST_DEADLINE: Duration = Duration::from_millis(500);
/// A client without a node or a connection tries again after this.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Keys that are asked for.
const KEYS: u64 = 20_000;
const SERVED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// What clients of real nodes saw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounts {
    /// Requests that were sent.
    pub asked: u64,
    /// Answers 200.
    pub served: u64,
    /// Other answers.
    pub refused: u64,
    /// Requests whose connection ended, or that had no answer in time.
    pub unanswered: u64,
}

/// The running stand-ins; they end when this is dropped.
pub struct Traffic {
    /// Where all cache servers listen.
    pub servers: SocketAddr,
    stop: oneshot::Sender<oneshot::Sender<TrafficCounts>>,
    _thread: JoinHandle<()>,
}

impl Traffic {
    /// Starts servers, and for each of so many nodes in the table clients that ask at this rate.
    pub async fn start(
        table: AddressTable,
        nodes: usize,
        rate: f64,
        seed: u64,
    ) -> io::Result<Self> {
        let one = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (listens, address) = oneshot::channel();
        let (stop, stopped) = oneshot::channel::<oneshot::Sender<TrafficCounts>>();
        let thread = thread::Builder::new()
            .name("traffic".to_owned())
            .spawn(move || {
                LocalSet::new().block_on(&one, async {
                    let _ = listens.send(listen(|stream| drop(spawn_local(serve(stream)))).await);
                    let counts = Rc::new(Cell::new(TrafficCounts::default()));
                    let each = rate / CLIENT_CONNECTIONS as f64;
                    for client in (0..nodes * CLIENT_CONNECTIONS).filter(|_| rate > 0.0) {
                        let random = StdRng::seed_from_u64(crate::plan::mix(seed ^ client as u64));
                        let (table, counts) = (table.clone(), counts.clone());
                        spawn_local(ask(client, client % nodes, each, random, table, counts));
                    }
                    if let Ok(reply) = stopped.await {
                        let _ = reply.send(counts.get());
                    }
                });
            })?;
        let servers = address.await.map_err(io::Error::other)??;
        Ok(Self {
            servers,
            stop,
            _thread: thread,
        })
    }

    /// Ends clients and servers; what clients saw.
    pub async fn stop(self) -> TrafficCounts {
        let (reply, counts) = oneshot::channel();
        // A thread that has ended has counted nothing.
        let _ = self.stop.send(reply);
        counts.await.unwrap_or_default()
    }
}

/// A cache server's connection: each request is answered at once.
async fn serve(stream: TcpStream) {
    let Ok(mut conn) = Conn::new(stream) else {
        return;
    };
    while conn.request().await.is_ok() && conn.write(SERVED).await.is_ok() {}
}

/// A client of one node: one request at a time on one connection, due with exponential gaps.
async fn ask(
    client: usize,
    node: usize,
    rate: f64,
    mut random: StdRng,
    table: AddressTable,
    counts: Rc<Cell<TrafficCounts>>,
) {
    let mut conn = None;
    let mut due = Instant::now();
    for number in 0_u64.. {
        due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate);
        sleep_until(due).await;
        let mut open = match conn.take() {
            Some(open) => open,
            None => connect(node, &table).await,
        };
        let key = random.random_range(0..KEYS);
        let answered = timeout(REQUEST_DEADLINE, request(&mut open, client, number, key)).await;
        let mut now = counts.get();
        now.asked += 1;
        match answered {
            Ok(Ok((200, _))) => now.served += 1,
            Ok(Ok(_)) => now.refused += 1,
            Ok(Err(_)) | Err(_) => now.unanswered += 1,
        }
        counts.set(now);
        conn = matches!(answered, Ok(Ok((_, false)))).then_some(open);
    }
}

/// A connection to a node, once there is one.
async fn connect(node: usize, table: &AddressTable) -> Conn {
    loop {
        let address = table
            .read()
            .ok()
            .and_then(|table| table.get(node).copied().flatten());
        if let Some(address) = address {
            if let Ok(conn) = TcpStream::connect(address).await.and_then(Conn::new) {
                return conn;
            }
        }
        sleep(CONNECT_RETRY_DELAY).await;
    }
}

/// The answer's status, and whether the connection ends with it.
async fn request(conn: &mut Conn, client: usize, number: u64, key: u64) -> io::Result<(u16, bool)> {
    let text = format!(
        "GET /api/{key:016x} HTTP/1.1\r\nHost: lab\r\nReq-Id: scale-{client}-{number}\r\nReq-Kind: lookup\r\n\
         Req-Deadline-Ms: {}\r\n\r\n",
        REQUEST_DEADLINE.as_millis()
    );
    conn.write(text.as_bytes()).await?;
    let answer = conn.response().await.map_err(io::Error::other)?;
    Ok((answer.status, answer.close))
}
