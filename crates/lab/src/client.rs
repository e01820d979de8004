//! The clients, and the front that distributes their connections: open-loop load with timeouts and
//! retries.
//!
//! The first try of a request is sent when it is due, independent of earlier responses, and its
//! latency counts from that time: a slow response cannot delay the requests that would reveal it
//! (no coordinated omission). The delay by which the lab itself sent a try late is recorded
//! separately.

mod exchange;
mod live;

use crate::http::Conn;
use crate::plan::{Arrival, Plan};
use crate::record::{Record, Try, TryId, TryOutcome};
use crate::scenario::{Class, Load, Scenario};
use exchange::Exchange;
pub use live::{percentiles, LiveCounters};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout_at};

/// Interval of checks of the stop flag during a wait for the next arrival.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Addresses to which the front sends new connections, by node; `None` while a node counts as down.
pub type AddressTable = Arc<RwLock<Vec<Option<SocketAddr>>>>;

/// A connection to a node, counted as open until it is dropped.
struct NodeConnection {
    conn: Conn,
    node: usize,
    open_connections: Rc<Vec<Cell<usize>>>,
}

impl Drop for NodeConnection {
    fn drop(&mut self) {
        self.open_connections[self.node].set(self.open_connections[self.node].get() - 1);
    }
}

/// An idle connection and the last try sent on it.
struct IdleConnection {
    connection: NodeConnection,
    last: Try,
}

/// All clients, on one thread.
pub struct Clients {
    plan: Arc<Plan>,
    classes: Vec<Class>,
    load: Load,
    start: Instant,
    table: AddressTable,
    live: Arc<LiveCounters>,
    stop: Arc<AtomicBool>,
    /// Maximum number of connections to a node.
    max_connections_per_node: usize,
    idle: RefCell<Vec<IdleConnection>>,
    open_connections: Rc<Vec<Cell<usize>>>,
    next_node: Cell<usize>,
    record: RefCell<Record>,
}

impl Clients {
    /// Creates the clients that send the planned requests.
    pub fn new(
        scenario: &Scenario,
        plan: Arc<Plan>,
        start: Instant,
        table: AddressTable,
        live: Arc<LiveCounters>,
        stop: Arc<AtomicBool>,
    ) -> Rc<Self> {
        let nodes = table.read().map_or(0, |table| table.len());
        Rc::new(Self {
            plan,
            classes: scenario.classes.clone(),
            load: scenario.load.clone(),
            start,
            table,
            live,
            stop,
            max_connections_per_node: ((scenario.fleet.sockets as f64
                * scenario.fleet.clients.get()) as usize)
                .max(1),
            idle: RefCell::default(),
            open_connections: Rc::new((0..nodes).map(|_| Cell::new(0)).collect()),
            next_node: Cell::new(0),
            record: RefCell::default(),
        })
    }

    /// Sends all planned requests and returns the observations once all of them have ended.
    pub async fn run(self: Rc<Self>) -> Record {
        let mut requests = JoinSet::new();
        for index in 0..self.plan.arrivals.len() {
            let due = self.start + self.plan.arrivals[index].due;
            while due > Instant::now() && !self.stop.load(Ordering::Relaxed) {
                sleep_until(due.min(Instant::now() + STOP_POLL_INTERVAL).into()).await;
            }
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            self.record
                .borrow_mut()
                .send_delays_us
                .push(due.elapsed().as_micros().min(u128::from(u32::MAX)) as u32);
            requests.spawn_local(self.clone().request(index));
            // Removes completed tasks; otherwise the set would grow for the whole run.
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
        // A second response may be unread on a connection that was not used again.
        let mut record = self.record.take();
        for mut idle_connection in self.idle.take() {
            if idle_connection.connection.conn.stale() == Some(true) {
                record.tries.push(Try {
                    end: TryOutcome::DuplicateResponse,
                    ..idle_connection.last
                });
            }
        }
        record
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    async fn request(self: Rc<Self>, index: usize) {
        self.live.started.fetch_add(1, Ordering::Relaxed);
        let arrival = &self.plan.arrivals[index];
        let class = &self.classes[arrival.class];
        let first_due = self.start + arrival.due;
        let deadline = first_due + Duration::from_secs_f64(class.deadline_ms.get() / 1e3);
        for number in 0..=self.load.retries {
            let id = TryId {
                arrival: index as u32,
                number,
            };
            let due = if number == 0 {
                first_due
            } else {
                Instant::now()
            };
            let end = self.send_try(id, arrival, class, due, deadline).await;
            match end {
                TryOutcome::Served | TryOutcome::DuplicateResponse | TryOutcome::UnmatchedBody => {
                    let latency = first_due.elapsed();
                    let late = latency.as_secs_f64() * 1e3 > class.latency_objective_ms.get();
                    self.live.record_served(latency, late);
                    return;
                }
                TryOutcome::Refused {
                    retry_after: Some(ms),
                } if arrival.honours_retry_after => {
                    sleep(Duration::from_millis(ms.into())).await;
                }
                _ => sleep(Duration::from_secs_f64(self.load.retry_wait_ms.get() / 1e3)).await,
            }
            if Instant::now() >= deadline {
                break;
            }
        }
        self.live.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Sends one try; if the node closed the idle connection at that moment, repeats it on a new
    /// connection.
    async fn send_try(
        &self,
        id: TryId,
        arrival: &Arrival,
        class: &Class,
        due: Instant,
        deadline: Instant,
    ) -> TryOutcome {
        let try_timeout = class.deadline_ms.get() / 1e3 * self.load.give_up_share.get();
        let try_deadline = (Instant::now() + Duration::from_secs_f64(try_timeout)).min(deadline);
        let exchange = Exchange {
            id,
            arrival,
            class,
            due,
            try_deadline,
        };
        let mut new_connection = false;
        loop {
            let try_record = self.exchange(&exchange, new_connection).await;
            self.record.borrow_mut().tries.push(try_record);
            match try_record.end {
                TryOutcome::ConnectionLost { partial: false }
                    if !try_record.first_on_connection && !new_connection =>
                {
                    new_connection = true
                }
                TryOutcome::Refused { .. } => {
                    self.live.refused.fetch_add(1, Ordering::Relaxed);
                    return try_record.end;
                }
                end => return end,
            }
        }
    }

    /// Adds a connection to the idle connections, for use by a later request.
    fn add_idle(&self, connection: NodeConnection, last: Try) {
        self.idle
            .borrow_mut()
            .push(IdleConnection { connection, last });
    }

    /// Removes and returns the most recently used idle connection that is still usable.
    fn take_idle(&self) -> Option<IdleConnection> {
        loop {
            let mut idle_connection = self.idle.borrow_mut().pop()?;
            match idle_connection.connection.conn.stale() {
                None => return Some(idle_connection),
                Some(received_bytes) => {
                    if received_bytes {
                        self.record.borrow_mut().tries.push(Try {
                            end: TryOutcome::DuplicateResponse,
                            ..idle_connection.last
                        });
                    }
                }
            }
        }
    }

    /// Connects as the front does: round-robin to the next node that counts as up and is below its
    /// connection limit.
    async fn connect(&self) -> Option<NodeConnection> {
        let nodes = self.open_connections.len();
        let first = self.next_node.replace(self.next_node.get() + 1);
        let (node, address) =
            (0..nodes)
                .map(|offset| (first + offset) % nodes)
                .find_map(|node| {
                    let address = self.table.read().ok()?[node]?;
                    (self.open_connections[node].get() < self.max_connections_per_node)
                        .then_some((node, address))
                })?;
        let conn = Conn::new(TcpStream::connect(address).await.ok()?).ok()?;
        self.open_connections[node].set(self.open_connections[node].get() + 1);
        Some(NodeConnection {
            conn,
            node,
            open_connections: self.open_connections.clone(),
        })
    }
}

/// Sends one health check to `address` and returns whether the response has status 200.
pub async fn is_healthy(address: SocketAddr) -> bool {
    let check = async {
        let mut conn = Conn::new(TcpStream::connect(address).await.ok()?).ok()?;
        conn.write(b"GET /healthz HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            .await
            .ok()?;
        Some(conn.response().await.ok()?.status == 200)
    };
    let deadline = Instant::now() + Duration::from_secs(1);
    matches!(timeout_at(deadline.into(), check).await, Ok(Some(true)))
}
