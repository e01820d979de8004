//! Simulated cache servers that respond at once, and clients that send requests to real nodes at a
//! given rate, on a thread of their own.

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

/// Time that a client waits for a response. The request states it as its deadline.
const REQUEST_DEADLINE: Duration = Duration::from_millis(500);
/// Delay before a client without a node's address or a connection tries again.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of distinct keys that clients request.
const KEY_COUNT: u64 = 20_000;
const SERVED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Requests of the clients of real nodes, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounts {
    /// Requests sent.
    pub asked: u64,
    /// Responses with status 200.
    pub served: u64,
    /// Responses with another status.
    pub refused: u64,
    /// Requests without a response within the deadline, or whose connection failed.
    pub unanswered: u64,
}

/// The running servers and clients, which end on drop.
pub struct Traffic {
    /// Address of all cache servers.
    pub servers: SocketAddr,
    stop: oneshot::Sender<oneshot::Sender<TrafficCounts>>,
    _thread: JoinHandle<()>,
}

impl Traffic {
    /// Starts the servers and the clients. The first `nodes` nodes of the table each get
    /// [`CLIENT_CONNECTIONS`] clients, which together send `rate` requests per second.
    pub async fn start(
        table: AddressTable,
        nodes: usize,
        rate: f64,
        seed: u64,
    ) -> io::Result<Self> {
        let local_runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (address_sender, address) = oneshot::channel();
        let (stop, stop_receiver) = oneshot::channel::<oneshot::Sender<TrafficCounts>>();
        let thread = thread::Builder::new()
            .name("traffic".to_owned())
            .spawn(move || {
                LocalSet::new().block_on(&local_runtime, async {
                    let _ = address_sender
                        .send(listen(|stream| drop(spawn_local(serve(stream)))).await);
                    let counts = Rc::new(Cell::new(TrafficCounts::default()));
                    let client_rate = rate / CLIENT_CONNECTIONS as f64;
                    for client in (0..nodes * CLIENT_CONNECTIONS).filter(|_| rate > 0.0) {
                        let random = StdRng::seed_from_u64(crate::plan::mix(seed ^ client as u64));
                        let (table, counts) = (table.clone(), counts.clone());
                        spawn_local(run_client(
                            client,
                            client % nodes,
                            client_rate,
                            random,
                            table,
                            counts,
                        ));
                    }
                    if let Ok(reply) = stop_receiver.await {
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

    /// Ends the clients and servers, and returns the counts of the clients.
    pub async fn stop(self) -> TrafficCounts {
        let (reply, counts) = oneshot::channel();
        // The counts of a thread that has already ended are unknown and are returned as zero.
        let _ = self.stop.send(reply);
        counts.await.unwrap_or_default()
    }
}

/// Serves a connection to a cache server; each request gets its response at once.
async fn serve(stream: TcpStream) {
    let Ok(mut conn) = Conn::new(stream) else {
        return;
    };
    while conn.request().await.is_ok() && conn.write(SERVED).await.is_ok() {}
}

/// Runs a client of one node. It sends one request at a time on one connection, with exponentially
/// distributed gaps between the due times.
async fn run_client(
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
        let mut current = match conn.take() {
            Some(current) => current,
            None => connect(node, &table).await,
        };
        let key = random.random_range(0..KEY_COUNT);
        let result = timeout(REQUEST_DEADLINE, request(&mut current, client, number, key)).await;
        let mut updated = counts.get();
        updated.asked += 1;
        match result {
            Ok(Ok((200, _))) => updated.served += 1,
            Ok(Ok(_)) => updated.refused += 1,
            Ok(Err(_)) | Err(_) => updated.unanswered += 1,
        }
        counts.set(updated);
        conn = matches!(result, Ok(Ok((_, false)))).then_some(current);
    }
}

/// Waits for a connection to the node and returns it.
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

/// Sends a request, and returns the status of the response and whether the connection closes
/// after it.
async fn request(conn: &mut Conn, client: usize, number: u64, key: u64) -> io::Result<(u16, bool)> {
    let message = format!(
        "GET /api/{key:016x} HTTP/1.1\r\nHost: lab\r\nReq-Id: scale-{client}-{number}\r\nReq-Kind: lookup\r\n\
         Req-Deadline-Ms: {}\r\n\r\n",
        REQUEST_DEADLINE.as_millis()
    );
    conn.write(message.as_bytes()).await?;
    let response = conn.response().await.map_err(io::Error::other)?;
    Ok((response.status, response.close))
}
