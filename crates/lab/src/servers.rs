//! Stand-ins for the cache servers and the database: the model's jobs, asked for over the platform's HTTP.
//!
//! Each server listens once for each node, so that it knows who asks and a path between two can be broken alone. A
//! server that is down, or that refuses, accepts and resets: on loopback nobody but the kernel can refuse a connection
//! on a port that must stay its own. One that is cut off accepts and says nothing; once it is back, what was open is
//! reset.

mod connection;

use crate::http::{listen, reset, Conn};
use crate::model::{CacheResult, Cluster, Job, JobId, JobResult, ServerLoad};
use crate::plan::{mix, Plan};
use crate::record::{Record, Sample, TryId};
use crate::scenario::{Class, Idempotency, Scenario};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

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
                spawn_local(connection::serve(cache_servers.clone(), server, node, conn));
            }
        })
        .await
    }

    /// The try that an id names, where the plan has its request.
    fn planned_try(&self, id: &str) -> Option<TryId> {
        TryId::parse(id).filter(|id| (id.arrival as usize) < self.plan.arrivals.len())
    }

    /// Whether a person sent the request with this id beside the load, where the run allows that.
    fn is_by_hand(&self, id: &str) -> bool {
        self.by_hand && id.starts_with(BY_HAND)
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
        if class.idempotency != Idempotency::Keyed {
            return false;
        }
        let (now, window) = (
            self.now(),
            Duration::from_secs_f64(class.repeat_window_s.get()),
        );
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
