//! Stand-ins for the cache servers and the database: the model's jobs, asked for over the platform's HTTP.
//!
//! Each server listens once for each node, so that it knows who asks and a path between two can be broken alone. A
//! server that is down, or that refuses, accepts and resets: on loopback nobody but the kernel can refuse a connection
//! on a port that must stay its own. One that is cut off accepts and says nothing; once it is back, what was open is
//! reset.

use crate::http::{listen, reset, Conn, ReadError};
use crate::model::{Admission, CacheResult, Cluster, Job, JobId, JobResult};
use crate::plan::{mix, Plan};
use crate::record::{Attempt, AttemptOutcome, Record, Sample, TryId};
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
pub enum Manner {
    /// As it should.
    Well,
    /// Accepts and reads, and never answers.
    Hang,
    /// Runs each request and resets.
    Reset,
    /// Half an answer.
    Half,
    /// What is no HTTP.
    Garbage,
    /// No new connections.
    Refuse,
    /// Nothing comes through.
    Cut,
    /// Its process is gone, and its connections with it.
    Down,
}

/// Ids that people use by hand against a running fleet begin so.
pub const BY_HAND: &str = "by-hand";
/// Servers are sampled so often.
const SAMPLE: Duration = Duration::from_millis(100);
/// The body of an answer to a write.
const WRITTEN: usize = 64;

/// All cache servers, on one thread.
pub struct Floor {
    /// The model.
    pub cluster: RefCell<Cluster>,
    /// What was seen.
    pub record: RefCell<Record>,
    /// The run's start.
    pub start: Instant,
    plan: Arc<Plan>,
    classes: Vec<Class>,
    idle_close: Duration,
    most: usize,
    reports: bool,
    probes: bool,
    by_hand: bool,
    manners: Vec<watch::Sender<Manner>>,
    open: Vec<Cell<usize>>,
    waiting: RefCell<HashMap<JobId, oneshot::Sender<JobResult>>>,
    jobs: Cell<JobId>,
    news: Notify,
    /// When a keyed request was first begun, by its arrival: repeats within the window are not run.
    begun: RefCell<HashMap<u32, Duration>>,
}

impl Floor {
    /// Servers for this cluster.
    pub fn new(
        scenario: &Scenario,
        plan: Arc<Plan>,
        cluster: Cluster,
        count: usize,
        start: Instant,
        hand: bool,
    ) -> Rc<Self> {
        Rc::new(Self {
            cluster: RefCell::new(cluster),
            record: RefCell::default(),
            start,
            plan,
            classes: scenario.classes.clone(),
            idle_close: Duration::from_secs_f64(scenario.fleet.idle_close_s.get()),
            most: scenario.fleet.connections,
            reports: scenario.fleet.reports,
            probes: scenario.fleet.probes,
            by_hand: hand,
            manners: (0..count).map(|_| watch::Sender::new(Manner::Well)).collect(),
            open: (0..count).map(|_| Cell::new(0)).collect(),
            waiting: RefCell::default(),
            jobs: Cell::new(0),
            news: Notify::new(),
            begun: RefCell::default(),
        })
    }

    /// Time since the run's start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn us(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_micros() as u64
    }

    /// A server behaves like this from now on.
    pub fn behave(&self, server: usize, manner: Manner) {
        match manner {
            Manner::Down => self.cluster.borrow_mut().kill(server),
            _ if *self.manners[server].borrow() == Manner::Down => {
                self.cluster.borrow_mut().start(self.now(), server);
            }
            _ => {}
        }
        self.manners[server].send_replace(manner);
    }

    /// Listens for one node at one server.
    pub async fn listen(self: &Rc<Self>, server: usize, node: usize) -> io::Result<SocketAddr> {
        let floor = self.clone();
        listen(move |stream| {
            let manner = *floor.manners[server].borrow();
            let full = floor.open[server].get() >= floor.most;
            if matches!(manner, Manner::Down | Manner::Refuse) || full {
                reset(stream);
            } else if let Ok(conn) = Conn::new(stream) {
                spawn_local(floor.clone().connection(server, node, conn));
            }
        })
        .await
    }

    async fn connection(self: Rc<Self>, server: usize, node: usize, mut conn: Conn) {
        self.open[server].set(self.open[server].get() + 1);
        if self.requests(server, node, &mut conn).await.is_err() {
            conn.reset();
        }
        self.open[server].set(self.open[server].get() - 1);
    }

    /// Serves a connection. An error ends it with a reset.
    async fn requests(self: &Rc<Self>, server: usize, node: usize, conn: &mut Conn) -> Result<(), ()> {
        let mut manner = self.manners[server].subscribe();
        loop {
            let now = *manner.borrow_and_update();
            match now {
                Manner::Cut => {
                    // Silent until it is back; then whatever was open is gone.
                    let _ = manner.changed().await;
                    return Err(());
                }
                Manner::Down => return Err(()),
                _ => {}
            }
            let asked = tokio::select! {
                asked = timeout(self.idle_close, conn.request()) => asked,
                _ = manner.changed() => continue,
            };
            let asked = match asked {
                Ok(Ok(asked)) => asked,
                Ok(Err(ReadError::Ended { .. })) | Err(_) => return Ok(()),
                Ok(Err(ReadError::Malformed(_))) => return Err(()),
            };
            let received = Instant::now();
            let first = self.us(asked.first.unwrap_or(received));
            let Some(text) = asked.id else {
                let body = match asked.path.as_str() {
                    _ if !self.probes || now == Manner::Hang => None,
                    "/load" => Some(self.load(server)),
                    "/healthz" => Some(String::new()),
                    _ => None,
                };
                let bytes = body.map_or_else(
                    || head(404, "", 0),
                    |body| [head(200, "", body.len()), body.into_bytes()].concat(),
                );
                conn.write(&bytes).await.map_err(drop)?;
                continue;
            };
            let known = TryId::parse(&text).filter(|id| (id.arrival as usize) < self.plan.arrivals.len());
            let hand = self.by_hand && text.starts_with(BY_HAND);
            if known.is_none() && !hand {
                self.record.borrow_mut().unknown_requests.push((server, text, self.us(received)));
                conn.write(&head(400, "", 0)).await.map_err(drop)?;
                continue;
            }
            let place = known.map(|id| {
                let attempts = &mut self.record.borrow_mut().attempts;
                attempts.push(Attempt {
                    id,
                    node,
                    server,
                    first_byte_at: first,
                    received_at: self.us(received),
                    outcome: AttemptOutcome::Ran,
                });
                attempts.len() - 1
            });
            let set_outcome = |outcome| {
                if let Some(i) = place {
                    self.record.borrow_mut().attempts[i].outcome = outcome;
                }
            };
            if *manner.borrow() == Manner::Hang {
                conn.gone().await;
                return Ok(());
            }
            let job = self.job(known, &asked.path);
            let repeat = known.is_some_and(|id| self.repeats(id));
            let ended = if repeat {
                JobResult::Ok(CacheResult::Hit)
            } else {
                let admission = self.cluster.borrow_mut().submit(self.now(), server, job);
                match admission {
                    Admission::Declined => {
                        set_outcome(AttemptOutcome::Declined);
                        conn.write(&head(503, "Srv-Declined: 1\r\n", 0)).await.map_err(drop)?;
                        continue;
                    }
                    Admission::Down => {
                        self.manners[server].send_replace(Manner::Down);
                        return Err(());
                    }
                    Admission::Accepted => {}
                }
                let (done, mut end) = oneshot::channel();
                self.waiting.borrow_mut().insert(job.id, done);
                self.news.notify_one();
                loop {
                    tokio::select! {
                        ended = &mut end => match ended {
                            Ok(ended) => break ended,
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
                        _ = manner.changed() => {
                            let now = *manner.borrow_and_update();
                            if now == Manner::Cut {
                                // Silent until it is back.
                                let _ = manner.changed().await;
                            }
                            if matches!(now, Manner::Cut | Manner::Down) {
                                self.waiting.borrow_mut().remove(&job.id);
                                return Err(());
                            }
                        }
                    }
                }
            };
            let bytes = self.answer(server, &text, job, ended);
            match *manner.borrow() {
                Manner::Reset => return Err(()),
                Manner::Garbage => {
                    let _ = conn.write(b"\x16\x03\x01 not a status line\r\n\r\n").await;
                    return Ok(());
                }
                Manner::Half => {
                    let _ = conn.write(&bytes[..bytes.len() / 2]).await;
                    return Ok(());
                }
                _ => conn.write(&bytes).await.map_err(drop)?,
            }
        }
    }

    fn job(&self, id: Option<TryId>, path: &str) -> Job {
        let number = self.jobs.replace(self.jobs.get() + 1);
        let named = id.map(|id| &self.plan.arrivals[id.arrival as usize]);
        let by_hand = || path.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)));
        let key = named.map_or_else(by_hand, |arrival| arrival.key);
        Job {
            id: number,
            key,
            size: self.plan.size(key),
            work: named.map_or(Duration::from_millis(5), |arrival| arrival.work),
            write: named.is_some_and(|arrival| self.classes[arrival.class].write),
        }
    }

    /// Whether a keyed request has begun elsewhere within the window: servers share that memory, and drop it.
    fn repeats(&self, id: TryId) -> bool {
        let class = &self.classes[self.plan.arrivals[id.arrival as usize].class];
        if class.effect != Effect::Keyed {
            return false;
        }
        let (now, window) = (self.now(), Duration::from_secs_f64(class.window_s.get()));
        let mut begun = self.begun.borrow_mut();
        let at = *begun.entry(id.arrival).or_insert(now);
        if at + window < now {
            begun.insert(id.arrival, now);
        }
        at != now && at + window >= now
    }

    fn answer(&self, server: usize, id: &str, job: Job, ended: JobResult) -> Vec<u8> {
        let note = match ended {
            JobResult::Ok(CacheResult::Hit) => "Srv-Cache: hit\r\n",
            JobResult::Ok(CacheResult::Miss) => "Srv-Cache: miss\r\n",
            JobResult::Ok(CacheResult::Pending) => "Srv-Cache: pending\r\n",
            JobResult::Error | JobResult::Dropped => return head(500, "", 0),
        };
        // Its first words say for whom it was made: a body for another request would show.
        let words = format!("{id} by {server} ");
        let length = if job.write { WRITTEN } else { job.size }.max(words.len());
        let mut headers = note.to_owned();
        if self.reports {
            headers.extend(["Srv-Load: ", self.load(server).as_str(), "\r\n"]);
        }
        let mut bytes = head(200, &headers, length);
        bytes.extend_from_slice(words.as_bytes());
        bytes.resize(bytes.len() + length - words.len(), b'.');
        bytes
    }

    /// A server's load report.
    fn load(&self, server: usize) -> String {
        let (busy, waiting, cores) = self.cluster.borrow().load(server);
        format!("inflight={},queue={waiting},util={:.2}", busy + waiting, busy as f64 / cores as f64)
    }

    /// Moves the model on, for as long as the run lasts.
    pub async fn pump(self: Rc<Self>) {
        let mut ended = Vec::new();
        loop {
            self.cluster.borrow_mut().advance(self.now(), &mut ended);
            for (_, job, end) in ended.drain(..) {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&job) {
                    // A node that left meanwhile hears nothing.
                    let _ = waiting.send(end);
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
                () = self.news.notified() => {}
            }
        }
    }

    /// Samples every server, for as long as the run lasts.
    pub async fn sample(self: Rc<Self>) {
        loop {
            sleep(SAMPLE).await;
            let cluster = self.cluster.borrow();
            let (at, fetches) = (self.now().as_micros() as u64, cluster.database_calls());
            let all = (0..self.open.len()).map(|server| Sample {
                at,
                server,
                held: cluster.request_count(server),
                fetches,
            });
            self.record.borrow_mut().samples.extend(all);
        }
    }
}

fn head(status: u16, headers: &str, length: usize) -> Vec<u8> {
    let word = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        500 => "Internal Server Error",
        _ => "Service Unavailable",
    };
    format!("HTTP/1.1 {status} {word}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes()
}
