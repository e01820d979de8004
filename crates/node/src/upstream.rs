//! Connections to cache servers, one request at a time on each; attempts and how they end.

mod exchange;
mod idling;
mod open_ids;
mod peer;
mod socket;

pub use exchange::{Ended, Message, IDEMPOTENCY_KEY, LARGEST_BODY, REQ_DEADLINE, REQ_ID};
pub use open_ids::OpenIds;

use crate::table::Table;
use exchange::{exchange, request};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use idling::Idling;
use peer::{Connection, Peer};
use slatelink_config::Listing;
use slatelink_decide::{Availability, ServerEntry, ServerId, Status};
use slatelink_front::{Budget, Lease, Short, Side};
use socket::{Permit, Watched, Written};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// The longest head of an answer: one without end costs no more than this, and ends as one that broke off.
const LARGEST_HEAD: usize = 16 << 10;
/// Share of the servers' idle time after which a kept connection is retired: one that its server is about to
/// close would take a request only to end it as a reset.
const IDLE_SHARE: u32 = 2;
const SWEEP: Duration = Duration::from_secs(1);
/// A connection rests for so long after an answer: a second copy of that, some milliseconds late, would be taken for the
/// answer to the next request, if it is written while that is on its way. Come while the connection rests, it ends it.
const REST: Duration = Duration::from_millis(20);
/// A client's connection that was asked for its place is looked for so often, after so long each time.
const LOOKS: u32 = 10;
const LOOK: Duration = Duration::from_millis(5);

/// Until when an attempt is worth beginning, and worth waiting for.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Its first byte is written by then, or none is; no later than `until`.
    pub begin_by: Instant,
    /// Its answer is waited for until then.
    pub until: Instant,
    /// Set once its request has its final answer, or its client has gone.
    pub over: Rc<Cell<bool>>,
}

/// All cache servers, by id.
pub struct Upstream {
    peers: RefCell<HashMap<ServerId, Rc<Peer>>>,
    budget: Budget,
    /// Its connections share the budget.
    clients: Rc<Table>,
    connect_timeout: Duration,
    idling: RefCell<Idling>,
}

impl Upstream {
    /// Its connections are the servers' side of the budget.
    pub fn new(budget: Budget, clients: Rc<Table>, connect_timeout: Duration, keepalive: Duration) -> Self {
        Self {
            peers: RefCell::default(),
            budget,
            clients,
            connect_timeout,
            idling: RefCell::new(Idling::new(keepalive / IDLE_SHARE, Instant::now())),
        }
    }

    /// Takes in what discovery says of a server.
    pub fn learn(&self, entry: &ServerEntry, dial: Option<SocketAddr>) {
        let takes_work = entry.availability == Availability::Ready;
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = peers.get(&entry.id) {
            let moved = dial.is_some_and(|dial| peer.dial.replace(dial) != dial);
            let anew = peer.started.replace(entry.started) != entry.started;
            peer.takes_work.set(takes_work);
            if moved || anew {
                peer.life.set(peer.life.get() + 1);
            }
            if moved || anew || !takes_work {
                peer.idle.borrow_mut().clear();
            }
        } else if let Some(dial) = dial {
            let (dial, takes_work, started) =
                (Cell::new(dial), Cell::new(takes_work), Cell::new(entry.started));
            let (life, idle) = (Cell::default(), RefCell::default());
            peers.insert(entry.id.clone(), Rc::new(Peer { dial, started, life, takes_work, idle }));
        }
    }

    /// Begins nothing more at the servers that a list tells to leave. Whatever else it says is left to `learn`.
    pub fn heed_departures(&self, listing: &Listing) {
        let peers = self.peers.borrow();
        let leaving = listing.hosts.iter().filter(|host| host.availability() != Availability::Ready);
        for peer in leaving.filter_map(|host| peers.get(&ServerId::from(host.id()))) {
            peer.takes_work.set(false);
            peer.idle.borrow_mut().clear();
        }
    }

    /// Forgets a server that is gone. An attempt on its way there sees that it takes no work any more.
    pub fn forget(&self, server: &ServerId) {
        if let Some(peer) = self.peers.borrow_mut().remove(server) {
            peer.takes_work.set(false);
            peer.idle.borrow_mut().clear();
        }
    }

    /// Forgets all servers but those that `keep` names: a whole list lacks the others.
    pub fn retain(&self, keep: impl Fn(&ServerId) -> bool) {
        let left: Vec<_> = self.peers.borrow().keys().filter(|id| !keep(id)).cloned().collect();
        left.iter().for_each(|id| self.forget(id));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: &ServerId) {
        if let Some(peer) = self.peers.borrow().get(server) {
            peer.idle.borrow_mut().clear();
        }
    }

    /// Retires idle connections before their servers do.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP).await;
            for peer in self.peers.borrow().values() {
                peer.idle.borrow_mut().retain(|kept| self.fresh(kept));
            }
        }
    }

    fn fresh(&self, connection: &Connection) -> bool {
        !connection.sender.is_closed() && connection.kept.elapsed() < self.idling.borrow().limit()
    }

    /// One attempt, until its answer is whole, its connection breaks or its time is up.
    pub async fn attempt(&self, server: &ServerId, message: &Message, bounds: Bounds) -> Ended {
        let Bounds { begin_by, until, over } = bounds;
        let peer = self.peers.borrow().get(server).cloned();
        let Some(peer) = peer else { return Ended::without_answer(Status::ConnectError) };
        loop {
            // A request may be over before its attempt has its first turn.
            if over.get() {
                return Ended::without_answer(Status::Ignored);
            }
            if !peer.takes_work.get() {
                return Ended::without_answer(Status::ConnectError);
            }
            let mut connection = match timeout_at(begin_by, self.connection(&peer)).await {
                Ok(Ok(connection)) => connection,
                // The node's own want says nothing of the server.
                Ok(Err(error)) if own_fault(&error) => return Ended::without_answer(Status::Ignored),
                _ => return Ended::without_answer(Status::ConnectError),
            };
            // The news may have come while the connection was being made: nothing new after a drain.
            if !peer.takes_work.get() {
                return Ended::without_answer(Status::ConnectError);
            }
            if connection.life != peer.life.get() {
                continue;
            }
            // So may the client's end have: who has gone is served by nothing that begins now. Nor may a repeat begin
            // once servers no longer know it for one; time may have passed since the connection came up.
            if over.get() || Instant::now() >= begin_by {
                let status = if over.get() { Status::Ignored } else { Status::ConnectError };
                peer.keep(connection);
                return Ended::without_answer(status);
            }
            let Ok(request) = request(peer.dial.get(), message, until) else {
                return Ended::without_answer(Status::ConnectError);
            };
            let permit = Permit { peer: peer.clone(), life: connection.life, begin_by, over: over.clone() };
            connection.written.reset(permit);
            let idle = connection.kept.elapsed();
            let answer = timeout_at(until, exchange(&mut connection.sender, request)).await;
            let Written { begun, whole, reused, .. } = &*connection.written;
            if begun.get() {
                // On a new one idleness is no cause: what breaks there shows how often others do.
                let idle = if reused.get() { idle } else { Duration::ZERO };
                self.idling.borrow_mut().note(idle, matches!(answer, Ok(Err(_))), Instant::now());
            }
            return match answer {
                Ok(Ok((ended, reusable))) => {
                    let kept = peer.takes_work.get() && connection.life == peer.life.get();
                    if reusable && kept && !connection.sender.is_closed() {
                        peer.keep(connection);
                    }
                    ended
                }
                // Not a byte went out: a kept connection that turned out to be spent, or a request that is not permitted
                // any more. Another connection serves, or the looks above end it.
                Ok(Err(_)) if !begun.get() && (reused.get() || !connection.written.permitted()) => continue,
                Ok(Err(_)) if whole.get() => Ended::without_answer(Status::Reset),
                Err(_) if whole.get() => Ended::without_answer(Status::TimedOut),
                _ => Ended::without_answer(Status::ConnectError),
            };
        }
    }

    async fn connection(&self, peer: &Peer) -> io::Result<Connection> {
        loop {
            let kept = {
                let mut idle = peer.idle.borrow_mut();
                let rested = |kept: &Connection| !kept.written.reused.get() || kept.kept.elapsed() >= REST;
                idle.iter().rposition(rested).map(|place| idle.remove(place))
            };
            let Some(mut kept) = kept else { break };
            if self.fresh(&kept) && kept.sender.ready().await.is_ok() {
                return Ok(kept);
            }
        }
        let lease = self.lease().await?;
        let life = peer.life.get();
        let connecting = async {
            let stream = TcpStream::connect(peer.dial.get()).await?;
            stream.set_nodelay(true)?;
            let written = Rc::new(Written::default());
            let watched = Watched { stream: TokioIo::new(stream), written: written.clone() };
            let mut http = http1::Builder::new();
            http.max_buf_size(LARGEST_HEAD);
            let (sender, driving) = http.handshake(watched).await.map_err(io::Error::other)?;
            let task = tokio::task::spawn_local(async move {
                // How it ends shows at the attempt on it, or when it is taken from the idle ones.
                let _ = driving.await;
            });
            let task = task.abort_handle();
            Ok(Connection { life, sender, written, task, kept: Instant::now(), _lease: lease })
        };
        timeout(self.connect_timeout, connecting).await.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// A place for a new connection. Where all are taken the idle one that has stood longest gives way: a node
    /// that met every server once must not be kept from the one it needs by connections that nobody uses. Nor by
    /// those of clients, which need a moment to close.
    async fn lease(&self) -> io::Result<Lease> {
        let mut asked = false;
        for _ in 0..LOOKS {
            match self.budget.lease(Side::Servers) {
                Ok(lease) => return Ok(lease),
                Err(Short::Other(Side::Clients)) if asked || self.clients.evict_for_server() => {
                    asked = true;
                    sleep(LOOK).await;
                }
                Err(_) if self.give_way() => {}
                Err(_) => break,
            }
        }
        Err(io::ErrorKind::QuotaExceeded.into())
    }

    /// Closes the idle connection that has stood longest. `false` where there is none.
    pub fn give_way(&self) -> bool {
        let peers = self.peers.borrow();
        let oldest =
            peers.values().filter_map(|p| Some((p.idle.borrow().first()?.kept, p))).min_by_key(|o| o.0);
        oldest.map(|(_, peer)| drop(peer.idle.borrow_mut().remove(0))).is_some()
    }
}

/// Whether something failed for want of this process's descriptors, memory or addresses.
pub fn own_fault(error: &io::Error) -> bool {
    const WANTS: [i32; 5] = [libc::ENOMEM, libc::ENFILE, libc::EMFILE, libc::EADDRNOTAVAIL, libc::ENOBUFS];
    error.kind() == io::ErrorKind::QuotaExceeded
        || error.raw_os_error().is_some_and(|code| WANTS.contains(&code))
}

#[cfg(test)]
mod tests;
