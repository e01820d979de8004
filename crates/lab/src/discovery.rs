//! Stand-in for discovery: the complete list, the watch on changes, delays, outages, and false
//! reports.
//!
//! Each node has two discovery addresses of its own; a SIGHUP switches the node to the other one.

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

/// Time from a SIGHUP until the previous address of a node closes its connections.
const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// State of a server as known to discovery.
#[derive(Clone, Debug, PartialEq)]
struct Entry {
    availability: Availability,
    started_ms: u64,
    /// Version of the list with the last change of the server; 0 for a server that was never
    /// listed.
    version: u64,
}

/// Availability of one server as reported by a message.
struct ReportedEndpoint {
    server: usize,
    ready: bool,
}

/// Response to a call.
struct ListAnswer {
    /// HTTP response, head and body.
    message: Vec<u8>,
    /// Availability of each endpoint as reported by the response.
    reported: Vec<ReportedEndpoint>,
}

/// Reason for the reset of a connection.
#[derive(Debug, Error)]
enum ConnectionReset {
    /// Discovery is down, or the address is closed.
    #[error("discovery does not serve this address")]
    Unavailable,
    /// A response cannot be written.
    #[error("cannot write a response: {0}")]
    Write(#[from] io::Error),
    /// A list cannot be serialised as JSON.
    #[error("cannot serialise a list: {0}")]
    List(#[from] serde_json::Error),
}

/// Stand-in for discovery.
pub struct DiscoveryStandIn {
    cache_servers: Rc<CacheServers>,
    fleet: Fleet,
    entries: RefCell<Vec<Entry>>,
    /// Name of each server.
    names: Vec<String>,
    /// Address of each server for each node: `[node][server]`.
    addresses: Vec<Vec<SocketAddr>>,
    version: watch::Sender<u64>,
    /// Whether discovery is down, with new and open connections reset.
    down: watch::Sender<bool>,
    /// Whether every server is reported as ready, whatever its state.
    reports_all_ready: Cell<bool>,
    /// Whether calls are answered with status 503.
    pub refuses: Cell<bool>,
    /// Delay before a change is reported.
    pub report_delay: Cell<Duration>,
    /// Index of the closed address of each node, if any.
    closed: watch::Sender<Vec<Option<usize>>>,
}

impl DiscoveryStandIn {
    /// Lists the fleet's servers as ready; the spare servers, up to `server_count`, are unlisted.
    pub fn new(
        cache_servers: Rc<CacheServers>,
        fleet: &Fleet,
        server_count: usize,
        addresses: Vec<Vec<SocketAddr>>,
    ) -> Rc<Self> {
        let entry = |index| Entry {
            availability: Availability::Ready,
            started_ms: 0,
            version: u64::from(index < fleet.servers),
        };
        Rc::new(Self {
            cache_servers,
            fleet: fleet.clone(),
            entries: RefCell::new((0..server_count).map(entry).collect()),
            names: (0..server_count)
                .map(|server| format!("s-{server:03}"))
                .collect(),
            closed: watch::Sender::new(vec![None; addresses.len()]),
            addresses,
            version: watch::Sender::new(1),
            down: watch::Sender::new(false),
            reports_all_ready: Cell::new(false),
            refuses: Cell::new(false),
            report_delay: Cell::new(Duration::from_secs_f64(fleet.discovery_late_s.get())),
        })
    }

    /// Changes the state of a server, reported after the report delay.
    pub fn change(self: &Rc<Self>, server: usize, availability: Availability, started_ms: u64) {
        let discovery_stand_in = self.clone();
        spawn_local(async move {
            sleep(discovery_stand_in.report_delay.get()).await;
            let version = *discovery_stand_in.version.borrow() + 1;
            discovery_stand_in.entries.borrow_mut()[server] = Entry {
                availability,
                started_ms,
                version,
            };
            discovery_stand_in.version.send_replace(version);
            let at = discovery_stand_in.cache_servers.now().as_micros() as u64;
            discovery_stand_in
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

    /// Starts or ends an outage of discovery.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Starts or ends false reports that every server is ready.
    pub fn set_reports_all_ready(&self, all_ready: bool) {
        self.reports_all_ready.set(all_ready);
        // The reported availability of any server may change.
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

    /// Closes the previous address of a node and its connections after `OLD_ADDRESS_CLOSE_DELAY`.
    pub fn close_old_address(self: &Rc<Self>, node: usize, address_index: usize) {
        let discovery_stand_in = self.clone();
        spawn_local(async move {
            sleep(OLD_ADDRESS_CLOSE_DELAY).await;
            discovery_stand_in
                .closed
                .send_modify(|closed| closed[node] = Some(address_index));
        });
    }

    /// Listens for a node at its first or second address.
    pub async fn listen(
        self: &Rc<Self>,
        node: usize,
        address_index: usize,
    ) -> io::Result<SocketAddr> {
        let discovery_stand_in = self.clone();
        listen(move |stream| {
            let closed = discovery_stand_in.closed.borrow()[node] == Some(address_index);
            if *discovery_stand_in.down.borrow() || closed {
                reset(stream);
            } else if let Ok(conn) = Conn::new(stream) {
                spawn_local(
                    discovery_stand_in
                        .clone()
                        .serve_connection(node, address_index, conn),
                );
            }
        })
        .await
    }

    async fn serve_connection(self: Rc<Self>, node: usize, address_index: usize, mut conn: Conn) {
        let (mut down, mut closed) = (self.down.subscribe(), self.closed.subscribe());
        let ended = tokio::select! {
            ended = self.serve_calls(node, &mut conn) => ended,
            _ = down.wait_for(|down| *down) => Err(ConnectionReset::Unavailable),
            _ = closed.wait_for(|closed| closed[node] == Some(address_index)) => Err(ConnectionReset::Unavailable),
        };
        if ended.is_err() {
            conn.reset();
        }
    }

    async fn serve_calls(&self, node: usize, conn: &mut Conn) -> Result<(), ConnectionReset> {
        loop {
            let Ok(http_request) = conn.request().await else {
                return Ok(());
            };
            let Some(call) = ListCall::parse(&http_request.path) else {
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
            // A node counts as notified once the response is written.
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

    /// Builds the response to a call, with the availability that it reports for each server.
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
