//! Connections to cache servers, one request at a time on each, and the attempts made on them.

mod exchange;
mod idle_history;
mod open_request_ids;
mod peer;
mod socket;

pub use exchange::{
    AttemptResult, ForwardedRequest, IDEMPOTENCY_KEY, MAX_BODY_BYTES, REQ_DEADLINE, REQ_ID,
};
pub use open_request_ids::OpenRequestIds;

use crate::connections::ConnectionManager;
use exchange::{exchange, request};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use idle_history::IdleHistory;
use peer::{Connection, Peer};
use slatelink_admission::{Budget, ConnectionKind, Lease, LeaseError};
use slatelink_config::EndpointList;
use slatelink_policy::{Availability, Endpoint, EndpointId, Status};
use socket::{SendPermit, WatchedSocket, WriteProgress};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// The longest head of an answer: a longer one is read no further, and counts as a connection that broke.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Share of the servers' idle time after which a kept connection is retired: one that its server is about to
/// close would take a request only to end it as a reset.
const IDLE_SHARE: u32 = 2;
/// Idle connections are checked for their age this often.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// After an answer a connection is not reused for this long: a duplicate of the answer, some milliseconds late, would be
/// taken for the answer to the next request. One that comes in this time closes the connection.
const REST_AFTER_ANSWER: Duration = Duration::from_millis(20);
/// After the eviction of a client's connection its descriptor is polled for at most this often.
const EVICTION_POLLS: u32 = 10;
/// The time between two of these polls.
const EVICTION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Until when an attempt is worth beginning, and worth waiting for.
#[derive(Clone, Debug)]
pub struct AttemptLimits {
    /// Its first byte is written by then, or none is; no later than `deadline`.
    pub start_deadline: Instant,
    /// Its answer is waited for until then.
    pub deadline: Instant,
    /// Set once its request has its final answer, or its client has gone.
    pub canceled: Rc<Cell<bool>>,
}

/// All cache servers, by id.
pub struct Upstream {
    peers: RefCell<HashMap<EndpointId, Rc<Peer>>>,
    budget: Budget,
    /// Its connections share the budget.
    clients: Rc<ConnectionManager>,
    connect_timeout: Duration,
    idle_history: RefCell<IdleHistory>,
}

impl Upstream {
    /// Its connections are the servers' side of the budget.
    pub fn new(
        budget: Budget,
        clients: Rc<ConnectionManager>,
        connect_timeout: Duration,
        keepalive: Duration,
    ) -> Self {
        Self {
            peers: RefCell::default(),
            budget,
            clients,
            connect_timeout,
            idle_history: RefCell::new(IdleHistory::new(keepalive / IDLE_SHARE, Instant::now())),
        }
    }

    /// Takes in what discovery says of a server.
    pub fn update_endpoint(&self, entry: &Endpoint, dial: Option<SocketAddr>) {
        let accepts_requests = entry.availability == Availability::Ready;
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(&entry.id) {
            let moved = dial.is_some_and(|dial| peer.dial.replace(dial) != dial);
            let anew = peer.started.replace(entry.started) != entry.started;
            peer.accepts_requests.set(accepts_requests);
            if moved || anew {
                peer.incarnation.set(peer.incarnation.get() + 1);
            }
            if moved || anew || !accepts_requests {
                peer.idle.borrow_mut().clear();
            }
        } else if let Some(dial) = dial {
            let (dial, accepts_requests, started) = (
                Cell::new(dial),
                Cell::new(accepts_requests),
                Cell::new(entry.started),
            );
            let (incarnation, idle) = (Cell::default(), RefCell::default());
            peers.insert(
                entry.id.clone(),
                Rc::new(Peer {
                    dial,
                    started,
                    incarnation,
                    accepts_requests,
                    idle,
                }),
            );
        }
    }

    /// Begins nothing more at the servers that a list tells to leave. Whatever else it says is left to `update_endpoint`.
    pub fn mark_unready(&self, list: &EndpointList) {
        let peers = self.peers.borrow();
        let leaving = list
            .endpoints
            .iter()
            .filter(|host| host.availability() != Availability::Ready);
        for peer in leaving.filter_map(|host| peers.get(&EndpointId::from(host.id()))) {
            peer.accepts_requests.set(false);
            peer.idle.borrow_mut().clear();
        }
    }

    /// Forgets a server that is gone. An attempt on its way there sees that it takes no work any more.
    pub fn remove_endpoint(&self, server: &EndpointId) {
        if let Some(peer) = self.peers.borrow_mut().remove(server) {
            peer.accepts_requests.set(false);
            peer.idle.borrow_mut().clear();
        }
    }

    /// Forgets all servers but those that `keep` names: a whole list lacks the others.
    pub fn retain_endpoints(&self, keep: impl Fn(&EndpointId) -> bool) {
        let left: Vec<_> = self
            .peers
            .borrow()
            .keys()
            .filter(|id| !keep(id))
            .cloned()
            .collect();
        left.iter().for_each(|id| self.remove_endpoint(id));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: &EndpointId) {
        if let Some(peer) = self.peers.borrow().get(server) {
            peer.idle.borrow_mut().clear();
        }
    }

    /// Retires idle connections before their servers do.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for peer in self.peers.borrow().values() {
                peer.idle.borrow_mut().retain(|kept| self.fresh(kept));
            }
        }
    }

    fn fresh(&self, connection: &Connection) -> bool {
        !connection.sender.is_closed()
            && connection.idle_since.elapsed() < self.idle_history.borrow().limit()
    }

    /// One attempt, until its answer is whole, its connection breaks or its time is up.
    pub async fn attempt(
        &self,
        server: &EndpointId,
        message: &ForwardedRequest,
        bounds: AttemptLimits,
    ) -> AttemptResult {
        let AttemptLimits {
            start_deadline,
            deadline,
            canceled,
        } = bounds;
        let peer = self.peers.borrow().get(server).cloned();
        let Some(peer) = peer else {
            return AttemptResult::without_answer(Status::ConnectError);
        };
        loop {
            // A request may be over before its attempt has its first turn.
            if canceled.get() {
                return AttemptResult::without_answer(Status::NotSent);
            }
            if !peer.accepts_requests.get() {
                return AttemptResult::without_answer(Status::ConnectError);
            }
            let mut connection = match timeout_at(start_deadline, self.connection(&peer)).await {
                Ok(Ok(connection)) => connection,
                // The node's own want says nothing of the server.
                Ok(Err(error)) if is_local_resource_error(&error) => {
                    return AttemptResult::without_answer(Status::NotSent)
                }
                _ => return AttemptResult::without_answer(Status::ConnectError),
            };
            // The news may have come while the connection was being made: nothing new after a drain.
            if !peer.accepts_requests.get() {
                return AttemptResult::without_answer(Status::ConnectError);
            }
            if connection.incarnation != peer.incarnation.get() {
                continue;
            }
            // So may the client's end have: who has gone is served by nothing that begins now. Nor may a repeat begin
            // once servers no longer know it for one; time may have passed since the connection came up.
            if canceled.get() || Instant::now() >= start_deadline {
                let status = if canceled.get() {
                    Status::NotSent
                } else {
                    Status::ConnectError
                };
                peer.keep(connection);
                return AttemptResult::without_answer(status);
            }
            let Ok(request) = request(peer.dial.get(), message, deadline) else {
                return AttemptResult::without_answer(Status::ConnectError);
            };
            let permit = SendPermit {
                peer: peer.clone(),
                incarnation: connection.incarnation,
                start_deadline,
                canceled: canceled.clone(),
            };
            connection.progress.reset(permit);
            let idle = connection.idle_since.elapsed();
            let answer = timeout_at(deadline, exchange(&mut connection.sender, request)).await;
            let WriteProgress {
                begun,
                whole,
                reused,
                ..
            } = &*connection.progress;
            if begun.get() {
                // On a new one idleness is no cause: what breaks there shows how often others do.
                let idle = if reused.get() { idle } else { Duration::ZERO };
                self.idle_history.borrow_mut().record(
                    idle,
                    matches!(answer, Ok(Err(_))),
                    Instant::now(),
                );
            }
            return match answer {
                Ok(Ok((ended, reusable))) => {
                    let kept = peer.accepts_requests.get()
                        && connection.incarnation == peer.incarnation.get();
                    if reusable && kept && !connection.sender.is_closed() {
                        peer.keep(connection);
                    }
                    ended
                }
                // Not a byte went out: a kept connection that turned out to be spent, or a request that is not permitted
                // any more. Another connection serves, or the checks above end it.
                Ok(Err(_))
                    if !begun.get() && (reused.get() || !connection.progress.permitted()) =>
                {
                    continue
                }
                Ok(Err(_)) if whole.get() => AttemptResult::without_answer(Status::Reset),
                Err(_) if whole.get() => AttemptResult::without_answer(Status::TimedOut),
                _ => AttemptResult::without_answer(Status::ConnectError),
            };
        }
    }

    async fn connection(&self, peer: &Peer) -> io::Result<Connection> {
        loop {
            let kept = {
                let mut idle = peer.idle.borrow_mut();
                let rested = |kept: &Connection| {
                    !kept.progress.reused.get() || kept.idle_since.elapsed() >= REST_AFTER_ANSWER
                };
                idle.iter()
                    .rposition(rested)
                    .map(|place| idle.remove(place))
            };
            let Some(mut kept) = kept else { break };
            if self.fresh(&kept) && kept.sender.ready().await.is_ok() {
                return Ok(kept);
            }
        }
        let lease = self.lease().await?;
        let incarnation = peer.incarnation.get();
        let connecting = async {
            let stream = TcpStream::connect(peer.dial.get()).await?;
            stream.set_nodelay(true)?;
            let progress = Rc::new(WriteProgress::default());
            let watched = WatchedSocket {
                stream: TokioIo::new(stream),
                progress: progress.clone(),
            };
            let mut http = http1::Builder::new();
            http.max_buf_size(MAX_HEAD_BYTES);
            let (sender, driving) = http.handshake(watched).await.map_err(io::Error::other)?;
            let task = tokio::task::spawn_local(async move {
                // How it ends shows at the attempt on it, or when it is taken from the idle ones.
                let _ = driving.await;
            });
            let task = task.abort_handle();
            Ok(Connection {
                incarnation,
                sender,
                progress,
                task,
                idle_since: Instant::now(),
                _lease: lease,
            })
        };
        timeout(self.connect_timeout, connecting)
            .await
            .unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// A descriptor for a new connection. Where all are in use, the connection that has been idle for longest closes: unused
    /// connections to other servers must not keep a node from the one it needs. Nor may those of clients, which need a
    /// moment to close; clients that wait may take every place that these leave, so the wait ends with an idle connection
    /// of this side.
    async fn lease(&self) -> io::Result<Lease> {
        let mut evicting = false;
        for polls_left in (0..=EVICTION_POLLS).rev() {
            let shortage = match self.budget.lease(ConnectionKind::Upstream) {
                Ok(lease) => return Ok(lease),
                Err(shortage) => shortage,
            };
            let may_wait =
                shortage == LeaseError::OtherKind(ConnectionKind::Client) && polls_left > 1;
            if may_wait && (evicting || self.clients.evict_for_server()) {
                evicting = true;
                sleep(EVICTION_POLL_INTERVAL).await;
            } else if !self.close_oldest_idle() {
                break;
            }
        }
        Err(io::ErrorKind::QuotaExceeded.into())
    }

    /// Closes the connection that has been idle for longest. `false` where there is none.
    pub fn close_oldest_idle(&self) -> bool {
        let peers = self.peers.borrow();
        let oldest = peers
            .values()
            .filter_map(|p| Some((p.idle.borrow().first()?.idle_since, p)))
            .min_by_key(|o| o.0);
        oldest
            .map(|(_, peer)| drop(peer.idle.borrow_mut().remove(0)))
            .is_some()
    }
}

/// Whether an operation failed because this process ran out of descriptors, memory or addresses.
pub fn is_local_resource_error(error: &io::Error) -> bool {
    const WANTS: [i32; 5] = [
        libc::ENOMEM,
        libc::ENFILE,
        libc::EMFILE,
        libc::EADDRNOTAVAIL,
        libc::ENOBUFS,
    ];
    error.kind() == io::ErrorKind::QuotaExceeded
        || error
            .raw_os_error()
            .is_some_and(|code| WANTS.contains(&code))
}

#[cfg(test)]
mod tests;
