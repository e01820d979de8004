//! The clients and the front that deals out their connections: open-loop load with impatient retries.
//!
//! A request's first try is sent when it is due, whatever earlier answers do, and its time counts from then: a slow
//! answer cannot hold back what would have shown it (no coordinated omission). How late the rig itself sent a try is
//! kept apart.

use crate::http::{Conn, ReadError};
use crate::plan::{Arrival, Plan};
use crate::record::{End, Record, Try, TryId};
use crate::scenario::{Class, Load, Scenario};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout_at};

/// How long a wait for the next arrival may go on before the word to stop is looked for.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Running counts, for whoever watches.
#[derive(Debug, Default)]
pub struct Live {
    /// Requests whose first try is out or over.
    pub begun: AtomicU64,
    /// Served within the aim.
    pub in_time: AtomicU64,
    /// Served after it.
    pub late: AtomicU64,
    /// Tries refused.
    pub refused: AtomicU64,
    /// Requests that ended without an answer that serves.
    pub failed: AtomicU64,
    /// Milliseconds from due to served, of the latest requests.
    pub latest: RwLock<Vec<f32>>,
    /// When nodes last said that a breaker tripped. A word of theirs, to look at: no verdict rests on it.
    pub trips: RwLock<VecDeque<Instant>>,
}

impl Live {
    /// The 50th and 99th percentile of the latest latencies, in milliseconds.
    pub fn percentiles(&self) -> (f32, f32) {
        percentiles(
            self.latest
                .read()
                .map(|latest| latest.clone())
                .unwrap_or_default(),
        )
    }

    /// A node says that a breaker tripped.
    pub fn tripped(&self) {
        if let Ok(mut trips) = self.trips.write() {
            trips.push_back(Instant::now());
            if trips.len() > TRIPS_KEPT {
                trips.pop_front();
            }
        }
    }

    /// How many tripped within this time.
    pub fn tripped_within(&self, span: Duration) -> usize {
        let count =
            |trips: &VecDeque<Instant>| trips.iter().filter(|at| at.elapsed() < span).count();
        self.trips.read().map(|trips| count(&trips)).unwrap_or(0)
    }
}

/// The 50th and 99th percentile of these values; 0 of none.
pub fn percentiles(mut values: Vec<f32>) -> (f32, f32) {
    values.sort_by(f32::total_cmp);
    let at = |share: f64| {
        values
            .get((values.len() as f64 * share) as usize)
            .copied()
            .unwrap_or(0.0)
    };
    (at(0.5), at(0.99))
}

/// Latencies and trips kept for whoever watches.
const LATENCIES_KEPT: usize = 4096;
const TRIPS_KEPT: usize = 1024;

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
                .late
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
                    end: End::Twice,
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
                End::Served | End::Twice | End::Foreign => {
                    let took = first_due.elapsed();
                    let late = took.as_secs_f64() * 1e3 > class.aim_ms.get();
                    let count = if late {
                        &self.live.late
                    } else {
                        &self.live.in_time
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                    if let Ok(mut latest) = self.live.latest.write() {
                        if latest.len() >= LATENCIES_KEPT {
                            latest.drain(..LATENCIES_KEPT / 2);
                        }
                        latest.push(took.as_secs_f32() * 1e3);
                    }
                    return;
                }
                End::Refused {
                    retry_after: Some(ms),
                } if arrival.heeds => {
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
        let patience = class.deadline_ms.get() / 1e3 * self.load.patience.get();
        let give_up_at = (Instant::now() + Duration::from_secs_f64(patience)).min(deadline);
        let mut new_connection = false;
        loop {
            let tried = self
                .exchange(id, arrival, class, due, give_up_at, new_connection)
                .await;
            self.record.borrow_mut().tries.push(tried);
            match tried.end {
                End::Broke { begun: false } if !tried.first_on_connection && !new_connection => {
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

    async fn exchange(
        &self,
        id: TryId,
        arrival: &Arrival,
        class: &Class,
        due: Instant,
        give_up_at: Instant,
        new_connection: bool,
    ) -> Try {
        let due = due.saturating_duration_since(self.start).as_micros() as u64;
        let mut tried = Try {
            id,
            node: 0,
            due,
            sent: self.now(),
            ended: 0,
            first_on_connection: true,
            end: End::NotSent,
        };
        let pooled = if new_connection {
            None
        } else {
            self.take_idle()
        };
        let mut link = match pooled {
            Some(pooled) => {
                tried.first_on_connection = false;
                pooled.link
            }
            None => match timeout_at(give_up_at.into(), self.connect()).await {
                Ok(Some(opened)) => opened,
                _ => {
                    tried.ended = self.now();
                    return tried;
                }
            },
        };
        tried.node = link.node;
        let remaining_ms = give_up_at
            .saturating_duration_since(Instant::now())
            .as_millis();
        let (method, extra, body) = match class.write {
            true => (
                "PUT",
                format!(
                    "Idempotency-Key: {:x}\r\nContent-Length: 32\r\n",
                    id.arrival
                ),
                [b'v'; 32].as_slice(),
            ),
            false => ("GET", String::new(), &[] as &[u8]),
        };
        let retry = if id.number > 0 {
            "Req-Retry: 1\r\n"
        } else {
            ""
        };
        let mut bytes = format!(
            "{method} /api/{:016x} HTTP/1.1\r\nHost: lab\r\nReq-Id: {}\r\nReq-Kind: {}\r\nReq-Deadline-Ms: {remaining_ms}\r\n\
             {retry}{extra}\r\n",
            arrival.key,
            id.text(),
            class.name
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        if link.conn.write(&bytes).await.is_err() {
            // Nothing of it may have been read.
            tried.ended = self.now();
            tried.end = if tried.first_on_connection {
                End::NotSent
            } else {
                End::Broke { begun: false }
            };
            return tried;
        }
        tried.sent = self.now();
        let answer = timeout_at(give_up_at.into(), link.conn.answer()).await;
        tried.ended = self.now();
        let mut reusable = false;
        tried.end = match answer {
            Err(_) => End::TimedOut,
            Ok(Err(ReadError::Ended { begun })) => End::Broke { begun },
            Ok(Err(ReadError::Malformed(_))) => End::Failed(0),
            Ok(Ok(answer)) => {
                reusable = !answer.close;
                let retry_after = answer
                    .retry_after
                    .filter(|seconds| (0.0..1e6).contains(seconds));
                let made_for = answer
                    .body
                    .strip_prefix(id.text().as_bytes())
                    .is_some_and(|rest| rest.starts_with(b" "));
                match answer.status {
                    200 if made_for => End::Served,
                    200 => End::Foreign,
                    429 | 503 => End::Refused {
                        retry_after: retry_after.map(|seconds| (seconds * 1e3) as u32),
                    },
                    status => End::Failed(status),
                }
            }
        };
        if reusable {
            self.idle.borrow_mut().push(Pooled { link, last: tried });
        }
        tried
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
                            end: End::Twice,
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
