//! Stand-ins for the cache servers and the database, which serve the jobs of the model over the
//! platform's HTTP.
//!
//! Each server listens on a separate port for each node, which identifies the calling node and
//! allows a fault on a single path. A server that is down or refuses connections accepts and resets
//! them: on loopback only the kernel can refuse a connection, and the port must stay reserved. A
//! partitioned server accepts connections and stays silent; when the partition ends, the open
//! connections are reset.

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

/// Network behaviour of a server, in addition to its model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerMode {
    /// Serves normally.
    Healthy,
    /// Accepts connections, reads requests and never answers.
    Hang,
    /// Runs each request and resets the connection.
    Reset,
    /// Sends half of each response and closes the connection.
    Truncate,
    /// Sends bytes that are not HTTP.
    Garbage,
    /// Resets new connections and serves the open ones.
    Refuse,
    /// Accepts connections and stays silent.
    Partitioned,
    /// The process is not running: open and new connections are reset.
    Down,
}

/// Prefix of the ids of requests sent manually to a running fleet.
pub const MANUAL_ID_PREFIX: &str = "by-hand";
/// Interval of samples of every server.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Length of the body of a response to a write.
const WRITE_BODY_BYTES: usize = 64;

/// All cache servers; they run on one thread.
pub struct CacheServers {
    /// Model of the servers and the database.
    pub cluster: RefCell<Cluster>,
    /// Observations of the servers and discovery.
    pub record: RefCell<Record>,
    /// Start of the run.
    pub start: Instant,
    plan: Arc<Plan>,
    classes: Vec<Class>,
    idle_close: Duration,
    max_connections: usize,
    reports: bool,
    probes: bool,
    manual_requests: bool,
    modes: Vec<watch::Sender<ServerMode>>,
    open_connections: Vec<Cell<usize>>,
    /// Sender of the result of each accepted job that a connection waits for.
    result_senders: RefCell<HashMap<JobId, oneshot::Sender<JobResult>>>,
    next_job: Cell<JobId>,
    job_added: Notify,
    /// Start of the first run of each keyed request, by arrival: repeats within the window are not
    /// run.
    first_runs: RefCell<HashMap<u32, Duration>>,
}

impl CacheServers {
    /// Creates the servers of `cluster`, all healthy.
    pub fn new(
        scenario: &Scenario,
        plan: Arc<Plan>,
        cluster: Cluster,
        count: usize,
        start: Instant,
        manual_requests: bool,
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
            manual_requests,
            modes: (0..count)
                .map(|_| watch::Sender::new(ServerMode::Healthy))
                .collect(),
            open_connections: (0..count).map(|_| Cell::new(0)).collect(),
            result_senders: RefCell::default(),
            next_job: Cell::new(0),
            job_added: Notify::new(),
            first_runs: RefCell::default(),
        })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn since_start_us(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_micros() as u64
    }

    /// Switches a server to `mode`; leaving `Down` restarts the server in the model.
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

    /// Starts listening at one server for one node and returns the address.
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

    /// Returns the try with this id if its request is part of the plan.
    fn planned_try(&self, id: &str) -> Option<TryId> {
        TryId::parse(id).filter(|id| (id.arrival as usize) < self.plan.arrivals.len())
    }

    /// Checks whether the request with this id was sent manually and the run allows manual
    /// requests.
    fn is_manual(&self, id: &str) -> bool {
        self.manual_requests && id.starts_with(MANUAL_ID_PREFIX)
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

    /// Checks whether a keyed request was already run on any server within the window: servers
    /// share this record and drop duplicates.
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

    fn response(&self, server: usize, id: &str, job: Job, result: JobResult) -> Vec<u8> {
        let cache_header = match result {
            JobResult::Ok(CacheResult::Hit) => "Srv-Cache: hit\r\n",
            JobResult::Ok(CacheResult::Miss) => "Srv-Cache: miss\r\n",
            JobResult::Ok(CacheResult::Pending) => "Srv-Cache: pending\r\n",
            JobResult::Error | JobResult::Dropped => return response_head(500, "", 0),
        };
        // The body starts with the id of the request and the server, so that clients detect a body
        // for another request.
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

    /// Returns the load report of a server.
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

    /// Advances the model for the duration of the run.
    pub async fn run_model(self: Rc<Self>) {
        let mut finished = Vec::new();
        loop {
            self.cluster.borrow_mut().advance(self.now(), &mut finished);
            for (_, job, result) in finished.drain(..) {
                if let Some(result_sender) = self.result_senders.borrow_mut().remove(&job) {
                    // The receiver is dropped if the node has disconnected.
                    let _ = result_sender.send(result);
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

    /// Samples every server for the duration of the run.
    pub async fn sample(self: Rc<Self>) {
        loop {
            sleep(SAMPLE_INTERVAL).await;
            let cluster = self.cluster.borrow();
            let (at, fetches) = (self.now().as_micros() as u64, cluster.database_calls());
            let new_samples = (0..self.open_connections.len()).map(|server| Sample {
                at,
                server,
                held: cluster.request_count(server),
                fetches,
            });
            self.record.borrow_mut().samples.extend(new_samples);
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
