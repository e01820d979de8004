//! The clients and the front that deals out their connections: open-loop load with impatient retries.
//!
//! A request's first try is sent when it is due, whatever earlier answers do, and its time counts from then: a slow
//! answer cannot hold back what would have shown it (no coordinated omission). How late the rig itself sent a try is
//! kept apart.

mod exchange;
mod live;

use crate::http::Conn;
use crate::plan::{Arrival, Plan};
use crate::record::{End, Record, Try, TryId};
use crate::scenario::{Class, Load, Scenario};
use exchange::Exchange;
pub use live::{percentiles, Live};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout_at};

/// How long a wait for the next arrival may go on before the word to stop is looked for.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Where the front sends new connections: a node's address while it counts as up.
pub type Table = Arc<RwLock<Vec<Option<SocketAddr>>>>;

/// A connection to a node, which counts as open for as long as this lives.
struct Link {
    conn: Conn,
    node: usize,
    open_connections: Rc<Vec<Cell<usize>>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.open_connections[self.node].set(self.open_connections[self.node].get() - 1);
    }
}

/// An idle connection, and the last try on it.
struct Pooled {
    link: Link,
    last: Try,
}

/// All clients, on one thread.
pub struct Clients {
    plan: Arc<Plan>,
    classes: Vec<Class>,
    load: Load,
    start: Instant,
    table: Table,
    live: Arc<Live>,
    stop: Arc<AtomicBool>,
    /// Connections to a node at most.
    max_connections_per_node: usize,
    idle: RefCell<Vec<Pooled>>,
    open_connections: Rc<Vec<Cell<usize>>>,
    next_node: Cell<usize>,
    record: RefCell<Record>,
}

impl Clients {
    /// Clients that ask what is planned.
    pub fn new(
        scenario: &Scenario,
        plan: Arc<Plan>,
        start: Instant,
        table: Table,
        live: Arc<Live>,
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

    /// Sends all that is planned, and gives what was seen once all of it has ended.
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
            // What has ended is taken out, or the set would hold the whole day.
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
        // A second answer may stand on a connection that nobody has used since.
        let mut record = self.record.take();
        for mut pooled in self.idle.take() {
            if pooled.link.conn.stale() == Some(true) {
                record.tries.push(Try {
                    end: End::DuplicateResponse,
                    ..pooled.last
                });
            }
        }
        record
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    async fn request(self: Rc<Self>, index: usize) {
        self.live.begun.fetch_add(1, Ordering::Relaxed);
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
                End::Served | End::DuplicateResponse | End::UnmatchedBody => {
                    let took = first_due.elapsed();
                    let late = took.as_secs_f64() * 1e3 > class.latency_objective_ms.get();
                    self.live.served(took, late);
                    return;
                }
                End::Refused {
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

    /// One try; on a kept connection that its node closed just then, once more on a new one.
    async fn send_try(
        &self,
        id: TryId,
        arrival: &Arrival,
        class: &Class,
        due: Instant,
        deadline: Instant,
    ) -> End {
        let give_up_share = class.deadline_ms.get() / 1e3 * self.load.give_up_share.get();
        let give_up_at = (Instant::now() + Duration::from_secs_f64(give_up_share)).min(deadline);
        let exchange = Exchange {
            id,
            arrival,
            class,
            due,
            give_up_at,
        };
        let mut new_connection = false;
        loop {
            let tried = self.exchange(&exchange, new_connection).await;
            self.record.borrow_mut().tries.push(tried);
            match tried.end {
                End::ConnectionLost { begun: false }
                    if !tried.first_on_connection && !new_connection =>
                {
                    new_connection = true
                }
                End::Refused { .. } => {
                    self.live.refused.fetch_add(1, Ordering::Relaxed);
                    return tried.end;
                }
                end => return end,
            }
        }
    }

    /// Keeps a connection for another request.
    fn keep_idle(&self, link: Link, last: Try) {
        self.idle.borrow_mut().push(Pooled { link, last });
    }

    /// The kept connection that was used last.
    fn take_idle(&self) -> Option<Pooled> {
        loop {
            let mut pooled = self.idle.borrow_mut().pop()?;
            match pooled.link.conn.stale() {
                None => return Some(pooled),
                Some(more) => {
                    if more {
                        self.record.borrow_mut().tries.push(Try {
                            end: End::DuplicateResponse,
                            ..pooled.last
                        });
                    }
                }
            }
        }
    }

    /// The front: the next node in turn that counts as up and has places left.
    async fn connect(&self) -> Option<Link> {
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
        Some(Link {
            conn,
            node,
            open_connections: self.open_connections.clone(),
        })
    }
}

/// Waits for a try of a health check at `address`: whether it answered 200.
pub async fn healthy(address: SocketAddr) -> bool {
    let check = async {
        let mut conn = Conn::new(TcpStream::connect(address).await.ok()?).ok()?;
        conn.write(b"GET /healthz HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            .await
            .ok()?;
        Some(conn.answer().await.ok()?.status == 200)
    };
    let deadline = Instant::now() + Duration::from_secs(1);
    matches!(timeout_at(deadline.into(), check).await, Ok(Some(true)))
}
