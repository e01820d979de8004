//! The world behind the nodes: cache servers and the player database, as machines without I/O. Jobs come in with a
//! time, and what has ended goes out.
//!
//! A server has cores of one speed each (a multiple of the standard core), a waiting room in order of arrival, and an
//! LRU memory bounded in bytes. A job needs a core for its work. A read of a key that it holds is then done (`hit`);
//! otherwise the core is given back while the database fetches, one fetch a key and server at a time (the others are
//! `pending`). A write goes on to the database and voids all kept copies. A server that starts is cold: its speed rises
//! evenly from `cold_share` to all of it over `warm`. The database has so many workers, one queue, and log-normal times.

use crate::plan::mix;
use crate::record::Fell;
use lru::LruCache;
use rand::distr::Distribution;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::LogNormal;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

/// Time since the run's start.
pub type Time = Duration;

/// A job's number; never used twice.
pub type JobId = u64;

/// What a job asks for.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// What it is about.
    pub key: u64,
    /// Bytes of the key's value.
    pub size: usize,
    /// Work on a standard core.
    pub work: Duration,
    /// Whether it goes on to the database.
    pub write: bool,
}

/// How a read was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// The server held the value.
    Hit,
    /// It was fetched.
    Miss,
    /// Another fetch of the key was out.
    Pending,
}

/// A job's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Done.
    Ok(Note),
    /// The database failed; a write may have run.
    Error,
    /// It waited, and was dropped.
    Dropped,
}

/// Figures of a server.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Cores.
    pub cores: usize,
    /// Of each, of a standard one.
    pub speed: f64,
    /// Places to wait.
    pub queue: usize,
    /// Bytes of values.
    pub memory: usize,
    /// Share of its capacity at its start.
    pub cold_share: f64,
    /// Until it has all of it.
    pub warm: Duration,
    /// Sent more than this multiple of its present capacity for `fall_span` while cold, it falls over.
    pub fall_times: f64,
    /// See `fall_times`.
    pub fall_span: Duration,
    /// Whether cancelled jobs that wait are dropped.
    pub drops_cancelled: bool,
}

struct Server {
    terms: Terms,
    /// `None` for long ago.
    born: Option<Time>,
    down: bool,
    /// So many times slower.
    slow: f64,
    waiting: VecDeque<Job>,
    busy: usize,
    /// At work or at the database; removed when the server dies.
    held: HashMap<JobId, Job>,
    memory: LruCache<u64, usize>,
    bytes: usize,
    /// Jobs that wait for a key's fetch.
    fetching: HashMap<u64, Vec<JobId>>,
    /// Work that came within `fall_span` while it was cold.
    recent: Recent,
}

/// Work by when it came, over a span.
#[derive(Default)]
struct Recent {
    came: VecDeque<(Time, f64, f64)>,
    sum: (f64, f64),
}

impl Recent {
    /// Adds work, of which a part counts apart, and gives the sums over the span.
    fn add(&mut self, now: Time, work: f64, part: f64, span: Duration) -> (f64, f64) {
        self.came.push_back((now, work, part));
        self.sum = (self.sum.0 + work, self.sum.1 + part);
        while let Some((at, work, part)) = self.came.front().copied() {
            if at + span > now {
                break;
            }
            self.came.pop_front();
            self.sum = (self.sum.0 - work, self.sum.1 - part);
        }
        self.sum
    }
}

/// The database's figures.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// Fetches and writes at once.
    pub workers: usize,
    /// Mean time of one.
    pub work: Duration,
    /// Places to wait; past them a call fails at once.
    pub queue: usize,
    /// Sent more than this multiple of what it can do in `fall_span`, it stops.
    pub fall_times: f64,
    /// See `fall_times`.
    pub fall_span: Duration,
    /// For so long.
    pub down: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Fetch { server: usize, epoch: u32, key: u64, size: usize },
    Write { server: usize, epoch: u32, job: JobId, key: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A core has done a job's work; servers are of an epoch, so that what died stays dead.
    Core { server: usize, epoch: u32, job: JobId },
    /// A worker of the database is done with a call.
    Worker { call: u64, epoch: u32 },
    /// The database is back.
    Back { epoch: u32 },
}

/// All servers and the database.
pub struct World {
    servers: Vec<Server>,
    epochs: Vec<u32>,
    origin: Origin,
    origin_times: Option<LogNormal<f64>>,
    random: ChaCha8Rng,
    calls: HashMap<u64, Call>,
    queue: VecDeque<u64>,
    working: usize,
    origin_epoch: u32,
    origin_down: bool,
    origin_recent: Recent,
    next_call: u64,
    due: BinaryHeap<Reverse<(Time, u64, Due)>>,
    order: u64,
    /// What was pushed over; for the checker.
    pub fell: Vec<Fell>,
    /// Fetches and writes that the database was sent.
    pub fetches: u64,
}

/// What a server says to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It will end.
    Taken,
    /// The waiting room is full.
    Declined,
    /// Nobody is there.
    Down,
}

impl World {
    /// A world of warm servers with empty memories.
    pub fn new(servers: Vec<Terms>, origin: Origin, seed: u64) -> Self {
        // The mean of a log-normal is exp(mu + sigma^2 / 2).
        let sigma: f64 = 0.5;
        let mean = origin.work.as_secs_f64().max(1e-6);
        Self {
            epochs: vec![0; servers.len()],
            servers: servers.into_iter().map(Server::new).collect(),
            origin,
            origin_times: LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).ok(),
            random: ChaCha8Rng::seed_from_u64(mix(seed)),
            calls: HashMap::new(),
            queue: VecDeque::new(),
            working: 0,
            origin_epoch: 0,
            origin_down: false,
            origin_recent: Recent::default(),
            next_call: 0,
            due: BinaryHeap::new(),
            order: 0,
            fell: Vec::new(),
            fetches: 0,
        }
    }

    /// When something ends next.
    pub fn next(&self) -> Option<Time> {
        self.due.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Puts a value into a server's memory, as if it had been asked for before the run.
    pub fn warm_up(&mut self, server: usize, key: u64, size: usize) {
        self.servers[server].keep(key, size);
    }

    /// Requests that a server holds.
    pub fn held(&self, server: usize) -> usize {
        self.servers[server].held.len() + self.servers[server].waiting.len()
    }

    /// Cores at work, requests that wait for one, and how many cores there are.
    pub fn load(&self, server: usize) -> (usize, usize, usize) {
        let it = &self.servers[server];
        (it.busy, it.waiting.len(), it.terms.cores)
    }

    /// Calls that the database holds.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Whether a server is down.
    pub fn is_down(&self, server: usize) -> bool {
        self.servers[server].down
    }

    /// Offers a job to a server.
    pub fn offer(&mut self, now: Time, server: usize, job: Job) -> Offer {
        let it = &mut self.servers[server];
        if it.down {
            return Offer::Down;
        }
        let capacity = it.capacity(now);
        if capacity < it.full() {
            let span = it.terms.fall_span;
            let (sent, _) = it.recent.add(now, job.work.as_secs_f64(), 0.0, span);
            let able = capacity * span.as_secs_f64();
            if sent > it.terms.fall_times * able {
                self.fell.push(Fell {
                    server: Some(server),
                    at: now.as_micros() as u64,
                    sent,
                    able,
                    cold: 1.0,
                });
                self.kill(server);
                return Offer::Down;
            }
        }
        if it.busy < it.terms.cores {
            self.begin(now, server, job);
        } else if it.waiting.len() < it.terms.queue {
            it.waiting.push_back(job);
        } else {
            return Offer::Declined;
        }
        Offer::Taken
    }

    /// A node waits no longer for a job. Whether it was dropped.
    pub fn cancel(&mut self, server: usize, job: JobId) -> bool {
        let it = &mut self.servers[server];
        let before = it.waiting.len();
        if it.terms.drops_cancelled {
            it.waiting.retain(|waiting| waiting.id != job);
        }
        it.waiting.len() < before
    }

    /// A server dies with all it holds.
    pub fn kill(&mut self, server: usize) {
        self.epochs[server] += 1;
        let fresh = Server::new(self.servers[server].terms);
        self.servers[server] = Server { down: true, ..fresh };
    }

    /// It is back, cold and empty.
    pub fn start(&mut self, now: Time, server: usize) {
        self.epochs[server] += 1;
        let fresh = Server::new(self.servers[server].terms);
        self.servers[server] = Server { born: Some(now), ..fresh };
    }

    /// A server works so many times slower from now on.
    pub fn slow(&mut self, server: usize, times: f64) {
        self.servers[server].slow = times.max(1e-3);
    }

    fn at(&mut self, when: Time, due: Due) {
        self.order += 1;
        self.due.push(Reverse((when, self.order, due)));
    }

    fn begin(&mut self, now: Time, server: usize, job: Job) {
        let it = &mut self.servers[server];
        it.busy += 1;
        it.held.insert(job.id, job);
        let speed = it.terms.speed * it.warmth(now) / it.slow;
        let end = now + job.work.div_f64(speed.max(1e-6));
        let epoch = self.epochs[server];
        self.at(end, Due::Core { server, epoch, job: job.id });
    }

    /// Moves time on: every job that has ended by `now`, with its server.
    pub fn advance(&mut self, now: Time, ended: &mut Vec<(usize, JobId, Ended)>) {
        while let Some(Reverse((at, _, due))) =
            self.due.peek().copied().filter(|Reverse((at, _, _))| *at <= now)
        {
            self.due.pop();
            match due {
                Due::Core { server, epoch, job } if epoch == self.epochs[server] => {
                    self.worked(at, server, job, ended)
                }
                Due::Worker { call, epoch } if epoch == self.origin_epoch => {
                    self.working -= 1;
                    if let Some(call) = self.calls.remove(&call) {
                        self.called(call, true, ended);
                    }
                    self.work_on(at);
                }
                Due::Back { epoch } if epoch == self.origin_epoch => self.origin_down = false,
                _ => {}
            }
        }
    }

    fn worked(&mut self, now: Time, server: usize, job: JobId, ended: &mut Vec<(usize, JobId, Ended)>) {
        let it = &mut self.servers[server];
        it.busy -= 1;
        let epoch = self.epochs[server];
        let cold = it.warmth(now) < 1.0;
        if let Some(job) = it.held.get(&job).copied() {
            if job.write {
                let call = Call::Write { server, epoch, job: job.id, key: job.key };
                self.call(now, call, false, ended);
            } else if it.memory.get(&job.key).is_some() {
                it.held.remove(&job.id);
                ended.push((server, job.id, Ended::Ok(Note::Hit)));
            } else {
                let waiting = it.fetching.entry(job.key).or_default();
                waiting.push(job.id);
                if waiting.len() == 1 {
                    let call = Call::Fetch { server, epoch, key: job.key, size: job.size };
                    self.call(now, call, cold, ended);
                }
            }
        }
        let it = &mut self.servers[server];
        if it.busy < it.terms.cores {
            if let Some(next) = it.waiting.pop_front() {
                self.begin(now, server, next);
            }
        }
    }

    fn call(&mut self, now: Time, call: Call, cold: bool, ended: &mut Vec<(usize, JobId, Ended)>) {
        self.fetches += 1;
        let work = self.origin.work.as_secs_f64();
        let span = self.origin.fall_span;
        let cold = if cold { work } else { 0.0 };
        let (sent, part) = self.origin_recent.add(now, work, cold, span);
        let able = self.origin.workers as f64 * span.as_secs_f64();
        if !self.origin_down && sent > self.origin.fall_times * able {
            let cold = part / sent;
            self.fell.push(Fell { server: None, at: now.as_micros() as u64, sent, able, cold });
            self.origin_epoch += 1;
            self.origin_down = true;
            (self.working, self.origin_recent) = (0, Recent::default());
            self.queue.clear();
            let mut lost: Vec<_> = self.calls.drain().collect();
            lost.sort_unstable_by_key(|(number, _)| *number);
            lost.into_iter().for_each(|(_, call)| self.called(call, false, ended));
            let back = Due::Back { epoch: self.origin_epoch };
            self.at(now + self.origin.down, back);
        }
        if self.origin_down || self.queue.len() >= self.origin.queue {
            return self.called(call, false, ended);
        }
        self.next_call += 1;
        self.calls.insert(self.next_call, call);
        self.queue.push_back(self.next_call);
        self.work_on(now);
    }

    fn work_on(&mut self, now: Time) {
        while self.working < self.origin.workers {
            let Some(call) = self.queue.pop_front() else { return };
            self.working += 1;
            let mean = self.origin.work.as_secs_f64();
            let took = self.origin_times.map_or(mean, |times| times.sample(&mut self.random));
            let epoch = self.origin_epoch;
            self.at(now + Duration::from_secs_f64(took), Due::Worker { call, epoch });
        }
    }

    fn called(&mut self, call: Call, well: bool, ended: &mut Vec<(usize, JobId, Ended)>) {
        match call {
            Call::Fetch { server, epoch, key, size } => {
                if epoch != self.epochs[server] {
                    return;
                }
                let it = &mut self.servers[server];
                if well {
                    it.keep(key, size);
                }
                for (place, job) in it.fetching.remove(&key).unwrap_or_default().into_iter().enumerate() {
                    if it.held.remove(&job).is_some() {
                        let note = if place == 0 { Note::Miss } else { Note::Pending };
                        ended.push((server, job, if well { Ended::Ok(note) } else { Ended::Error }));
                    }
                }
            }
            Call::Write { server, epoch, job, key } => {
                // It was carried out, whoever still waits for it.
                if well {
                    self.servers.iter_mut().for_each(|it| it.void(key));
                }
                if epoch == self.epochs[server] && self.servers[server].held.remove(&job).is_some() {
                    ended.push((server, job, if well { Ended::Ok(Note::Miss) } else { Ended::Error }));
                }
            }
        }
    }
}

impl Server {
    fn new(terms: Terms) -> Self {
        Self {
            terms,
            born: None,
            down: false,
            slow: 1.0,
            waiting: VecDeque::new(),
            busy: 0,
            held: HashMap::new(),
            memory: LruCache::unbounded(),
            bytes: 0,
            fetching: HashMap::new(),
            recent: Recent::default(),
        }
    }

    fn warmth(&self, now: Time) -> f64 {
        let Some(born) = self.born else { return 1.0 };
        let age = now.saturating_sub(born).as_secs_f64() / self.terms.warm.as_secs_f64().max(1e-6);
        (self.terms.cold_share + (1.0 - self.terms.cold_share) * age).min(1.0)
    }

    /// Seconds of work that it does in a second when warm.
    fn full(&self) -> f64 {
        self.terms.cores as f64 * self.terms.speed
    }

    fn capacity(&self, now: Time) -> f64 {
        self.full() * self.warmth(now)
    }

    fn keep(&mut self, key: u64, size: usize) {
        self.void(key);
        self.memory.put(key, size);
        self.bytes += size;
        while self.bytes > self.terms.memory {
            let Some((_, size)) = self.memory.pop_lru() else { break };
            self.bytes -= size;
        }
    }

    fn void(&mut self, key: u64) {
        self.bytes -= self.memory.pop(&key).unwrap_or(0);
    }
}

#[cfg(test)]
mod tests;
