//! Cache servers whose responses the test defines.

use super::discovery::Discovery;
use super::http::{http_response, Message};
use super::waiting::Gate;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Reaction of a cache server to a request.
pub enum Reply {
    /// Writes this text and keeps the connection open.
    Response(String),
    /// Writes this text and closes the connection.
    ResponseAndClose(String),
    /// Writes these pieces as packets of their own, with this pause after each, and keeps the
    /// connection open.
    Pieces(Vec<String>, Duration),
    /// Writes the first text, waits until the gate is open, and writes the second one.
    Gated(String, Gate, String),
    /// Writes nothing and keeps the connection open until the node closes it.
    NoResponse,
}

/// A cache server that records the requests it receives, in order.
pub struct CacheServer {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<Message>>>,
    /// Number of accepted connections.
    pub connections: Arc<AtomicU32>,
    /// Number of connections closed by the node.
    pub closed: Arc<AtomicU32>,
}

impl CacheServer {
    pub fn start(reply: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::start_with(move |message, _| reply(message), None)
    }

    /// Starts a server whose reply also depends on the address of the peer.
    pub fn start_with_peers(
        reply: impl Fn(&Message, SocketAddr) -> Reply + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(reply, None)
    }

    /// Starts a server that closes a connection, without a response, when a request arrives after
    /// an idle time longer than `idle_limit`.
    pub fn closing_idle(idle_limit: Duration) -> Self {
        Self::start_with(
            |_, _| Reply::Response(http_response("200 OK", "", "value")),
            Some(idle_limit),
        )
    }

    fn start_with(
        reply: impl Fn(&Message, SocketAddr) -> Reply + Send + Sync + 'static,
        idle_limit: Option<Duration>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            received: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        let (requests, connections, closed) = (
            server.received.clone(),
            server.connections.clone(),
            server.closed.clone(),
        );
        let reply = Arc::new(reply);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, closed, reply) = (requests.clone(), closed.clone(), reply.clone());
                thread::spawn(move || {
                    let Ok(peer) = stream.peer_addr() else { return };
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    let mut stream = stream;
                    let mut last_request_at: Option<Instant> = None;
                    while let Ok(Some(message)) = Message::read(&mut reader) {
                        if last_request_at
                            .zip(idle_limit)
                            .is_some_and(|(at, limit)| at.elapsed() > limit)
                        {
                            return;
                        }
                        last_request_at = Some(Instant::now());
                        requests.lock().unwrap().push(message.clone());
                        match reply(&message, peer) {
                            Reply::Response(text) => drop(stream.write_all(text.as_bytes())),
                            Reply::ResponseAndClose(text) => {
                                return drop(stream.write_all(text.as_bytes()))
                            }
                            Reply::Pieces(pieces, pause) => {
                                write_pieces(&mut stream, &pieces, pause);
                            }
                            Reply::Gated(first, gate, rest) => {
                                drop(stream.write_all(first.as_bytes()));
                                gate.wait_until_open();
                                drop(stream.write_all(rest.as_bytes()));
                            }
                            Reply::NoResponse => {}
                        }
                    }
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// Starts a server that answers every request with this body.
    pub fn serving(body: &'static str) -> Self {
        Self::start(move |_| Reply::Response(http_response("200 OK", "", body)))
    }

    /// Starts a server that holds the request with id 1 until the gate opens and then reacts with
    /// `delayed_reply`. It answers all other requests at once.
    pub fn delaying_first(
        gate: &Gate,
        delayed_reply: impl Fn() -> Reply + Send + Sync + 'static,
    ) -> Self {
        let gate_for_reply = gate.clone();
        Self::start(move |request| {
            if request.header("req-id") != Some("1") {
                return Reply::Response(http_response("200 OK", "", "value"));
            }
            gate_for_reply.wait_until_open();
            delayed_reply()
        })
    }

    pub fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    pub fn entry(&self, name: &str, health: &str) -> Value {
        endpoint_entry(name, self.address, health)
    }
}

/// Writes pieces with a pause after each, until the peer closes the connection.
pub fn write_pieces(stream: &mut TcpStream, pieces: &[String], pause: Duration) {
    stream.set_nodelay(true).unwrap();
    for piece in pieces {
        if stream.write_all(piece.as_bytes()).is_err() {
            return;
        }
        thread::sleep(pause);
    }
}

/// Starts servers with the same reply, and a discovery that lists them as s-0, s-1 and so on.
pub fn start_servers(
    count: usize,
    reply: impl Fn(&Message) -> Reply + Clone + Send + Sync + 'static,
) -> (Vec<CacheServer>, Discovery) {
    let servers: Vec<_> = (0..count)
        .map(|_| CacheServer::start(reply.clone()))
        .collect();
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(i, server)| server.entry(&format!("s-{i}"), "ready"))
        .collect();
    let discovery = Discovery::start(&entries);
    (servers, discovery)
}

/// Returns the number of requests that all servers have received.
pub fn total_requests(servers: &[CacheServer]) -> usize {
    servers.iter().map(CacheServer::request_count).sum()
}

pub fn endpoint_entry(name: &str, dial: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": dial.to_string(), "site": "a", "class": "m2", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}
