//! Stand-ins for the cache servers and the database: the model's jobs, asked for over the platform's HTTP.
//!
//! Each server listens once for each node, so that it knows who asks and a path between two can be broken alone. A
//! server that is down, or that refuses, accepts and resets: on loopback nobody but the kernel can refuse a connection
//! on a port that must stay its own. One that is cut off accepts and says nothing; once it is back, what was open is
//! reset.

use crate::http::{listen, reset, Conn, ReadError};
use crate::model::{Admission, CacheResult, Cluster, Job, JobId, JobResult, ServerLoad};
use crate::plan::{mix, Plan};
use crate::record::{Attempt, AttemptOutcome, Record, Sample, TryId, UnknownRequest};
use crate::scenario::{Class, Effect, Scenario};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

/// How a server behaves beside its model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerMode {
    /// As it should.
    Healthy,
    /// Accepts and reads, and never answers.
    Hang,
    /// Runs each request and resets.
    Reset,
    /// Half an answer.
    Truncate,
    /// What is no HTTP.
    Garbage,
    /// No new connections.
    Refuse,
    /// Nothing comes through.
    Partitioned,
    /// Its process is gone, and its connections with it.
    Down,
}

/// Ids that people use by hand against a running fleet begin so.
pub const BY_HAND: &str = "by-hand";
/// Servers are sampled so often.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// The body of an answer to a write.
const WRITE_BODY_BYTES: usize = 64;

/// All cache servers, on one thread.
pub struct CacheServers {
    /// The model.
    pub cluster: RefCell<Cluster>,
    /// What was seen.
    pub record: RefCell<Record>,
    /// The run's start.
    pub start: Instant,
    plan: Arc<Plan>,
    classes: Vec<Class>,
    idle_close: Duration,
    max_connections: usize,
    reports: bool,
    probes: bool,
    by_hand: bool,
    modes: Vec<watch::Sender<ServerMode>>,
    open_connections: Vec<Cell<usize>>,
    waiting: RefCell<HashMap<JobId, oneshot::Sender<JobResult>>>,
    next_job: Cell<JobId>,
    job_added: Notify,
    /// When a keyed request was first begun, by its arrival: repeats within the window are not run.
    first_runs: RefCell<HashMap<u32, Duration>>,
}

impl CacheServers {
    /// Servers for this cluster.
    pub fn new(
        scenario: &Scenario,
        plan: Arc<Plan>,
        cluster: Cluster,
        count: usize,
        start: Instant,
        by_hand: bool,
    ) -> Rc<Self> {
        Rc::new(Self {
            cluster: RefCell::new(cluster),
            record: RefCell::default(),
            start,
            plan,
            classes: scenario.classes.clone(),
            idle_close: Duration::from_secs_f64(scenario.fleet.idle_close_s.get()),
            max_connections: scenario.fleet.connections,
            reports: scenario.fleet.reports,
            probes: scenario.fleet.probes,
            by_hand,
            modes: (0..count)
                .map(|_| watch::Sender::new(ServerMode::Healthy))
                .collect(),
            open_connections: (0..count).map(|_| Cell::new(0)).collect(),
            waiting: RefCell::default(),
            next_job: Cell::new(0),
            job_added: Notify::new(),
            first_runs: RefCell::default(),
        })
    }

    /// Time since the run's start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn since_start_us(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_micros() as u64
    }

    /// A server behaves like this from now on.
    pub fn set_mode(&self, server: usize, mode: ServerMode) {
        match mode {
            ServerMode::Down => self.cluster.borrow_mut().kill(server),
            _ if *self.modes[server].borrow() == ServerMode::Down => {
                self.cluster.borrow_mut().start(self.now(), server);
            }
            _ => {}
        }
        self.modes[server].send_replace(mode);
    }

    /// Listens for one node at one server.
    pub async fn listen(self: &Rc<Self>, server: usize, node: usize) -> io::Result<SocketAddr> {
        let cache_servers = self.clone();
        listen(move |stream| {
            let mode = *cache_servers.modes[server].borrow();
            let full =
                cache_servers.open_connections[server].get() >= cache_servers.max_connections;
            if matches!(mode, ServerMode::Down | ServerMode::Refuse) || full {
                reset(stream);
            } else if let Ok(conn) = Conn::new(stream) {
                spawn_local(cache_servers.clone().connection(server, node, conn));
            }
        })
        .await
    }

    async fn connection(self: Rc<Self>, server: usize, node: usize, mut conn: Conn) {
        self.open_connections[server].set(self.open_connections[server].get() + 1);
        if self.requests(server, node, &mut conn).await.is_err() {
            conn.reset();
        }
        self.open_connections[server].set(self.open_connections[server].get() - 1);
    }

    /// Serves a connection. An error ends it with a reset.
    async fn requests(
        self: &Rc<Self>,
        server: usize,
        node: usize,
        conn: &mut Conn,
    ) -> Result<(), ()> {
        let mut mode = self.modes[server].subscribe();
        loop {
            let now = *mode.borrow_and_update();
            match now {
                ServerMode::Partitioned => {
                    // Silent until it is back; then whatever was open is gone.
                    let _ = mode.changed().await;
                    return Err(());
                }
                ServerMode::Down => return Err(()),
                _ => {}
            }
            let request = tokio::select! {
                request = timeout(self.idle_close, conn.request()) => request,
                _ = mode.changed() => continue,
            };
            let request = match request {
                Ok(Ok(request)) => request,
                Ok(Err(ReadError::Ended { .. })) | Err(_) => return Ok(()),
                Ok(Err(ReadError::Malformed(_))) => return Err(()),
            };
            let received = Instant::now();
            let first = self.since_start_us(request.first.unwrap_or(received));
            let Some(text) = request.id else {
                let body = match request.path.as_str() {
                    _ if !self.probes || now == ServerMode::Hang => None,
                    "/load" => Some(self.load_report(server)),
                    "/healthz" => Some(String::new()),
                    _ => None,
                };
                let bytes = body.map_or_else(
                    || response_head(404, "", 0),
                    |body| [response_head(200, "", body.len()), body.into_bytes()].concat(),
                );
                conn.write(&bytes).await.map_err(drop)?;
                continue;
            };
            let known =
                TryId::parse(&text).filter(|id| (id.arrival as usize) < self.plan.arrivals.len());
            let sent_by_hand = self.by_hand && text.starts_with(BY_HAND);
            if known.is_none() && !sent_by_hand {
                let unknown = UnknownRequest {
                    server,
                    id: text,
                    at: self.since_start_us(received),
                };
                self.record.borrow_mut().unknown_requests.push(unknown);
                conn.write(&response_head(400, "", 0)).await.map_err(drop)?;
                continue;
            }
            let attempt_index = known.map(|id| {
                let attempts = &mut self.record.borrow_mut().attempts;
                attempts.push(Attempt {
                    id,
                    node,
                    server,
                    first_byte_at: first,
                    received_at: self.since_start_us(received),
                    outcome: AttemptOutcome::Ran,
                });
                attempts.len() - 1
            });
            let set_outcome = |outcome| {
                if let Some(index) = attempt_index {
                    self.record.borrow_mut().attempts[index].outcome = outcome;
                }
            };
            if *mode.borrow() == ServerMode::Hang {
                conn.gone().await;
                return Ok(());
            }
            let job = self.job(known, &request.path);
            let duplicate = known.is_some_and(|id| self.is_duplicate(id));
            let result = if duplicate {
                JobResult::Ok(CacheResult::Hit)
            } else {
                let admission = self.cluster.borrow_mut().submit(self.now(), server, job);
                match admission {
                    Admission::Declined => {
                        set_outcome(AttemptOutcome::Declined);
                        conn.write(&response_head(503, "Srv-Declined: 1\r\n", 0))
                            .await
                            .map_err(drop)?;
                        continue;
                    }
                    Admission::Down => {
                        self.modes[server].send_replace(ServerMode::Down);
                        return Err(());
                    }
                    Admission::Accepted => {}
                }
                let (finished, mut result) = oneshot::channel();
                self.waiting.borrow_mut().insert(job.id, finished);
                self.job_added.notify_one();
                loop {
                    tokio::select! {
                        result = &mut result => match result {
                            Ok(result) => break result,
                            // Its server has died.
                            Err(_) => return Err(()),
                        },
                        // The node has given it up.
                        () = conn.gone() => {
                            if self.cluster.borrow_mut().cancel(server, job.id) {
                                set_outcome(AttemptOutcome::Dropped);
                            }
                            self.waiting.borrow_mut().remove(&job.id);
                            return Ok(());
                        }
                        _ = mode.changed() => {
                            let now = *mode.borrow_and_update();
                            if now == ServerMode::Partitioned {
                                // Silent until it is back.
                                let _ = mode.changed().await;
                            }
                            if matches!(now, ServerMode::Partitioned | ServerMode::Down) {
                                self.waiting.borrow_mut().remove(&job.id);
                                return Err(());
                            }
                        }
                    }
                }
            };
            let bytes = self.answer(server, &text, job, result);
            match *mode.borrow() {
                ServerMode::Reset => return Err(()),
                ServerMode::Garbage => {
                    let _ = conn.write(b"\x16\x03\x01 not a status line\r\n\r\n").await;
                    return Ok(());
                }
                ServerMode::Truncate => {
                    let _ = conn.write(&bytes[..bytes.len() / 2]).await;
                    return Ok(());
                }
                _ => conn.write(&bytes).await.map_err(drop)?,
            }
        }
    }

    fn job(&self, id: Option<TryId>, path: &str) -> Job {
        let number = self.next_job.replace(self.next_job.get() + 1);
        let arrival = id.map(|id| &self.plan.arrivals[id.arrival as usize]);
        let key_of_path = || {
            path.bytes()
                .fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
        };
        let key = arrival.map_or_else(key_of_path, |arrival| arrival.key);
        Job {
            id: number,
            key,
            size: self.plan.size(key),
            work: arrival.map_or(Duration::from_millis(5), |arrival| arrival.work),
            write: arrival.is_some_and(|arrival| self.classes[arrival.class].write),
        }
    }

    /// Whether a keyed request has begun elsewhere within the window: servers share that memory, and drop it.
    fn is_duplicate(&self, id: TryId) -> bool {
        let class = &self.classes[self.plan.arrivals[id.arrival as usize].class];
        if class.effect != Effect::Keyed {
            return false;
        }
        let (now, window) = (self.now(), Duration::from_secs_f64(class.window_s.get()));
        let mut first_runs = self.first_runs.borrow_mut();
        let at = *first_runs.entry(id.arrival).or_insert(now);
        if at + window < now {
            first_runs.insert(id.arrival, now);
        }
        at != now && at + window >= now
    }

    fn answer(&self, server: usize, id: &str, job: Job, result: JobResult) -> Vec<u8> {
        let cache_header = match result {
            JobResult::Ok(CacheResult::Hit) => "Srv-Cache: hit\r\n",
            JobResult::Ok(CacheResult::Miss) => "Srv-Cache: miss\r\n",
            JobResult::Ok(CacheResult::Pending) => "Srv-Cache: pending\r\n",
            JobResult::Error | JobResult::Dropped => return response_head(500, "", 0),
        };
        // Its first words say for whom it was made: a body for another request would show.
        let prefix = format!("{id} by {server} ");
        let length = if job.write {
            WRITE_BODY_BYTES
        } else {
            job.size
        }
        .max(prefix.len());
        let mut headers = cache_header.to_owned();
        if self.reports {
            headers.extend(["Srv-Load: ", self.load_report(server).as_str(), "\r\n"]);
        }
        let mut bytes = response_head(200, &headers, length);
        bytes.extend_from_slice(prefix.as_bytes());
        bytes.resize(bytes.len() + length - prefix.len(), b'.');
        bytes
    }

    /// A server's load report.
    fn load_report(&self, server: usize) -> String {
        let ServerLoad {
            busy,
            waiting,
            cores,
        } = self.cluster.borrow().load(server);
        format!(
            "inflight={},queue={waiting},util={:.2}",
            busy + waiting,
            busy as f64 / cores as f64
        )
    }

    /// Moves the model on, for as long as the run lasts.
    pub async fn run_model(self: Rc<Self>) {
        let mut finished = Vec::new();
        loop {
            self.cluster.borrow_mut().advance(self.now(), &mut finished);
            for (_, job, result) in finished.drain(..) {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&job) {
                    // A node that left meanwhile hears nothing.
                    let _ = waiting.send(result);
                }
            }
            let next = self.cluster.borrow().next_event();
            let due = async {
                match next {
                    Some(at) => sleep_until((self.start + at).into()).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => {}
                () = self.job_added.notified() => {}
            }
        }
    }

    /// Samples every server, for as long as the run lasts.
    pub async fn sample(self: Rc<Self>) {
        loop {
            sleep(SAMPLE_INTERVAL).await;
            let cluster = self.cluster.borrow();
            let (at, fetches) = (self.now().as_micros() as u64, cluster.database_calls());
            let all = (0..self.open_connections.len()).map(|server| Sample {
                at,
                server,
                held: cluster.request_count(server),
                fetches,
            });
            self.record.borrow_mut().samples.extend(all);
        }
    }
}

fn response_head(status: u16, headers: &str, length: usize) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        500 => "Internal Server Error",
        _ => "Service Unavailable",
    };
    format!("HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes()
}
