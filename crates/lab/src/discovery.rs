//! Stand-in for discovery: the whole list, the watch on changes, delays, outages, and false reports.
//!
//! Each node has two addresses of its own; the second is where a SIGHUP sends it.

use crate::http::{listen, reset, Conn};
use crate::list_protocol::{
    Availability, EndpointListMessage, ListCall, ListedEndpoint, NOT_FOUND, REFUSED,
};
use crate::record::{AvailabilityChange, AvailabilityNotice};
use crate::scenario::Fleet;
use crate::servers::CacheServers;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Time from a SIGHUP until a node's old address closes its connections.
const OLD_ADDRESS_CLOSES_AFTER: Duration = Duration::from_millis(1500);

/// What discovery knows of a server.
#[derive(Clone, Debug, PartialEq)]
struct Entry {
    availability: Availability,
    started_ms: u64,
    /// Version of the list with its last change; 0 for one that was never listed.
    version: u64,
}

/// What a message says of one server.
struct ReportedEndpoint {
    server: usize,
    ready: bool,
}

/// The answer to a call.
struct ListAnswer {
    /// The HTTP message.
    message: Vec<u8>,
    /// What it says of each endpoint.
    reported: Vec<ReportedEndpoint>,
}

/// Why a connection is reset.
#[derive(Debug, Error)]
enum ConnectionReset {
    /// Discovery went down, or the address serves no more.
    #[error("discovery does not serve this address")]
    Unavailable,
    /// An answer cannot be written.
    #[error("an answer cannot be written: {0}")]
    Write(#[from] io::Error),
    /// A list cannot be written as JSON.
    #[error("a list cannot be written: {0}")]
    List(#[from] serde_json::Error),
}

/// Discovery.
pub struct Directory {
    cache_servers: Rc<CacheServers>,
    fleet: Fleet,
    entries: RefCell<Vec<Entry>>,
    /// What each server is called.
    names: Vec<String>,
    /// Where each server listens for each node: `[node][server]`.
    addresses: Vec<Vec<SocketAddr>>,
    version: watch::Sender<u64>,
    /// Down: calls and open connections are reset.
    down: watch::Sender<bool>,
    /// Every server is reported ready, whatever it is.
    reports_all_ready: Cell<bool>,
    /// Calls are answered 503.
    pub refuses: Cell<bool>,
    /// Changes are reported so much later.
    pub late: Cell<Duration>,
    /// The address of each node's that no longer serves.
    closed: watch::Sender<Vec<Option<usize>>>,
}

impl Directory {
    /// With the fleet's servers listed as ready, and the spare ones, up to `all`, unknown.
    pub fn new(
        cache_servers: Rc<CacheServers>,
        fleet: &Fleet,
        all: usize,
        addresses: Vec<Vec<SocketAddr>>,
    ) -> Rc<Self> {
        let entry = |i| Entry {
            availability: Availability::Ready,
            started_ms: 0,
            version: u64::from(i < fleet.servers),
        };
        Rc::new(Self {
            cache_servers,
            fleet: fleet.clone(),
            entries: RefCell::new((0..all).map(entry).collect()),
            names: (0..all).map(|server| format!("s-{server:03}")).collect(),
            closed: watch::Sender::new(vec![None; addresses.len()]),
            addresses,
            version: watch::Sender::new(1),
            down: watch::Sender::new(false),
            reports_all_ready: Cell::new(false),
            refuses: Cell::new(false),
            late: Cell::new(Duration::from_secs_f64(fleet.discovery_late_s.get())),
        })
    }

    /// A server's state changes; discovery reports it once its delay is over.
    pub fn change(self: &Rc<Self>, server: usize, availability: Availability, started_ms: u64) {
        let directory = self.clone();
        spawn_local(async move {
            sleep(directory.late.get()).await;
            let version = *directory.version.borrow() + 1;
            directory.entries.borrow_mut()[server] = Entry {
                availability,
                started_ms,
                version,
            };
            directory.version.send_replace(version);
            let at = directory.cache_servers.now().as_micros() as u64;
            directory
                .cache_servers
                .record
                .borrow_mut()
                .availability_changes
                .push(AvailabilityChange {
                    server,
                    ready: availability == Availability::Ready,
                    at,
                });
        });
    }

    /// Goes down or comes back.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Reports every server as ready from now on, or each as it is again.
    pub fn set_reports_all_ready(&self, all_ready: bool) {
        self.reports_all_ready.set(all_ready);
        // Each server may be reported otherwise than before.
        let at = self.cache_servers.now().as_micros() as u64;
        let entries = self.entries.borrow();
        let changes = entries
            .iter()
            .enumerate()
            .map(|(server, entry)| AvailabilityChange {
                server,
                ready: all_ready || entry.availability == Availability::Ready,
                at,
            });
        self.cache_servers
            .record
            .borrow_mut()
            .availability_changes
            .extend(changes);
        drop(entries);
        let version = *self.version.borrow() + 1;
        self.entries
            .borrow_mut()
            .iter_mut()
            .filter(|entry| entry.version > 0)
            .for_each(|entry| entry.version = version);
        self.version.send_replace(version);
    }

    /// A node's old address accepts no more and closes what is open after a while.
    pub fn close_old(self: &Rc<Self>, node: usize, which: usize) {
        let directory = self.clone();
        spawn_local(async move {
            sleep(OLD_ADDRESS_CLOSES_AFTER).await;
            directory
                .closed
                .send_modify(|closed| closed[node] = Some(which));
        });
    }

    /// Listens for a node at its first or second address.
    pub async fn listen(self: &Rc<Self>, node: usize, which: usize) -> io::Result<SocketAddr> {
        let directory = self.clone();
        listen(move |stream| {
            let closed = directory.closed.borrow()[node] == Some(which);
            if *directory.down.borrow() || closed {
                reset(stream);
            } else if let Ok(conn) = Conn::new(stream) {
                spawn_local(directory.clone().connection(node, which, conn));
            }
        })
        .await
    }

    async fn connection(self: Rc<Self>, node: usize, which: usize, mut conn: Conn) {
        let (mut down, mut closed) = (self.down.subscribe(), self.closed.subscribe());
        let ended = tokio::select! {
            ended = self.calls(node, &mut conn) => ended,
            _ = down.wait_for(|down| *down) => Err(ConnectionReset::Unavailable),
            _ = closed.wait_for(|closed| closed[node] == Some(which)) => Err(ConnectionReset::Unavailable),
        };
        if ended.is_err() {
            conn.reset();
        }
    }

    async fn calls(&self, node: usize, conn: &mut Conn) -> Result<(), ConnectionReset> {
        loop {
            let Ok(asked) = conn.request().await else {
                return Ok(());
            };
            let Some(call) = ListCall::parse(&asked.path) else {
                conn.write(NOT_FOUND).await?;
                continue;
            };
            if self.refuses.get() {
                conn.write(REFUSED).await?;
                continue;
            }
            if let (Some(after), Some(wait)) = (call.after, call.wait) {
                let mut version = self.version.subscribe();
                let _ = timeout(wait, version.wait_for(|version| *version > after)).await;
            }
            let ListAnswer { message, reported } = self.list(node, call.after)?;
            conn.write(&message).await?;
            // The node counts as informed once it is written.
            let at = self.cache_servers.now().as_micros() as u64;
            let notices = reported
                .into_iter()
                .map(|ReportedEndpoint { server, ready }| AvailabilityNotice {
                    node,
                    server,
                    ready,
                    at,
                });
            self.cache_servers
                .record
                .borrow_mut()
                .notices
                .extend(notices);
        }
    }

    /// The answer to a call, as a message, and what that says of each server.
    fn list(&self, node: usize, after: Option<u64>) -> serde_json::Result<ListAnswer> {
        let entries = self.entries.borrow();
        let version = *self.version.borrow();
        let complete = after.is_none_or(|after| after > version);
        let (mut endpoints, mut reported) = (Vec::new(), Vec::new());
        for (server, entry) in entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.version > 0)
        {
            let availability = if self.reports_all_ready.get() {
                Availability::Ready
            } else {
                entry.availability
            };
            let changed = after.is_some_and(|after| entry.version > after);
            if !(complete || changed) {
                continue;
            }
            reported.push(ReportedEndpoint {
                server,
                ready: availability == Availability::Ready,
            });
            if complete && availability == Availability::Removed {
                continue;
            }
            endpoints.push(ListedEndpoint {
                name: &self.names[server],
                address: self.addresses[node][server],
                zone: self.fleet.zone(server),
                class: "lab",
                block: 0,
                availability,
                weight: self.fleet.cores as f64,
                started_ms: entry.started_ms,
            });
        }
        let message = EndpointListMessage {
            version,
            complete,
            endpoints,
        };
        Ok(ListAnswer {
            message: message.message()?,
            reported,
        })
    }
}
