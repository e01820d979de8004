//! Stand-in for discovery: the whole list, the watch on changes, delays, outages, and false reports.
//!
//! Each node has two addresses of its own; the second is where a SIGHUP sends it.

use crate::http::{listen, reset, Conn};
use crate::list_protocol::{ListAnswer, ListCall, ListedHost, NOT_FOUND, REFUSED};
use crate::record::{AvailabilityChange, AvailabilityNotice};
use crate::scenario::Fleet;
use crate::servers::CacheServers;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// After a SIGHUP the old address closes its open connections so much later.
const OLD_CLOSES: Duration = Duration::from_millis(1500);

/// What discovery knows of a server.
#[derive(Clone, Debug, PartialEq)]
struct Entry {
    health: &'static str,
    born_ms: u64,
    /// Version of the list with its last change; 0 for one that was never listed.
    seq: u64,
}

/// What a message says of one server.
struct ReportedServer {
    server: usize,
    ready: bool,
}

/// Discovery.
pub struct Directory {
    cache_servers: Rc<CacheServers>,
    fleet: Fleet,
    entries: RefCell<Vec<Entry>>,
    /// What each server is called.
    names: Vec<String>,
    /// Where each server listens for each node: `[node][server]`.
    dials: Vec<Vec<SocketAddr>>,
    seq: watch::Sender<u64>,
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
        dials: Vec<Vec<SocketAddr>>,
    ) -> Rc<Self> {
        let entry = |i| Entry {
            health: "ready",
            born_ms: 0,
            seq: u64::from(i < fleet.servers),
        };
        Rc::new(Self {
            cache_servers,
            fleet: fleet.clone(),
            entries: RefCell::new((0..all).map(entry).collect()),
            names: (0..all).map(|server| format!("s-{server:03}")).collect(),
            closed: watch::Sender::new(vec![None; dials.len()]),
            dials,
            seq: watch::Sender::new(1),
            down: watch::Sender::new(false),
            reports_all_ready: Cell::new(false),
            refuses: Cell::new(false),
            late: Cell::new(Duration::from_secs_f64(fleet.discovery_late_s.get())),
        })
    }

    /// A server's state changes; discovery reports it once its delay is over.
    pub fn change(self: &Rc<Self>, server: usize, health: &'static str, born_ms: u64) {
        let directory = self.clone();
        spawn_local(async move {
            sleep(directory.late.get()).await;
            let seq = *directory.seq.borrow() + 1;
            directory.entries.borrow_mut()[server] = Entry {
                health,
                born_ms,
                seq,
            };
            directory.seq.send_replace(seq);
            let at = directory.cache_servers.now().as_micros() as u64;
            directory
                .cache_servers
                .record
                .borrow_mut()
                .availability_changes
                .push(AvailabilityChange {
                    server,
                    ready: health == "ready",
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
                ready: all_ready || entry.health == "ready",
                at,
            });
        self.cache_servers
            .record
            .borrow_mut()
            .availability_changes
            .extend(changes);
        drop(entries);
        let seq = *self.seq.borrow() + 1;
        self.entries
            .borrow_mut()
            .iter_mut()
            .filter(|entry| entry.seq > 0)
            .for_each(|entry| entry.seq = seq);
        self.seq.send_replace(seq);
    }

    /// A node's old address accepts no more and closes what is open after a while.
    pub fn close_old(self: &Rc<Self>, node: usize, which: usize) {
        let directory = self.clone();
        spawn_local(async move {
            sleep(OLD_CLOSES).await;
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
            _ = down.wait_for(|down| *down) => Err(()),
            _ = closed.wait_for(|closed| closed[node] == Some(which)) => Err(()),
        };
        if ended.is_err() {
            conn.reset();
        }
    }

    async fn calls(&self, node: usize, conn: &mut Conn) -> Result<(), ()> {
        loop {
            let Ok(asked) = conn.request().await else {
                return Ok(());
            };
            let Some(call) = ListCall::parse(&asked.path) else {
                conn.write(NOT_FOUND).await.map_err(drop)?;
                continue;
            };
            if self.refuses.get() {
                conn.write(REFUSED).await.map_err(drop)?;
                continue;
            }
            if let (Some(after), Some(wait)) = (call.after, call.wait) {
                let mut seq = self.seq.subscribe();
                let _ = timeout(wait, seq.wait_for(|seq| *seq > after)).await;
            }
            let (message, reported) = self.list(node, call.after).map_err(drop)?;
            conn.write(&message).await.map_err(drop)?;
            // The node counts as informed once it is written.
            let at = self.cache_servers.now().as_micros() as u64;
            let notices = reported
                .into_iter()
                .map(|ReportedServer { server, ready }| AvailabilityNotice {
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
    fn list(
        &self,
        node: usize,
        after: Option<u64>,
    ) -> serde_json::Result<(Vec<u8>, Vec<ReportedServer>)> {
        let entries = self.entries.borrow();
        let seq = *self.seq.borrow();
        let whole = after.is_none_or(|after| after > seq);
        let (mut hosts, mut reported) = (Vec::new(), Vec::new());
        for (server, entry) in entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.seq > 0)
        {
            let health = if self.reports_all_ready.get() {
                "ready"
            } else {
                entry.health
            };
            if whole || after.is_some_and(|after| entry.seq > after) {
                reported.push(ReportedServer {
                    server,
                    ready: health == "ready",
                });
                if !(whole && health == "gone") {
                    hosts.push(ListedHost {
                        host: &self.names[server],
                        dial: self.dials[node][server],
                        site: self.fleet.zone(server),
                        class: "lab",
                        block: 0,
                        health,
                        share: self.fleet.cores as f64,
                        born_ms: entry.born_ms,
                    });
                }
            }
        }
        Ok((ListAnswer { seq, whole, hosts }.message()?, reported))
    }
}
