//! The cluster behind the nodes: cache servers and the player database, as machines without I/O. Jobs come in with a
//! time, and what has ended goes out.
//!
//! A server has cores of one speed each (a multiple of the standard core), a waiting room in order of arrival, and an
//! LRU memory bounded in bytes. A job needs a core for its work. A read of a key that it holds is then done (`hit`);
//! otherwise the core is given back while the database fetches, one fetch a key and server at a time (the others are
//! `pending`). A write goes on to the database and voids all kept copies. A server that starts is cold: its speed rises
//! evenly from `cold_share` to all of it over `warm`. The database has so many workers, one queue, and log-normal times.

mod database;
mod rolling_sum;
mod server;

pub use database::DatabaseSettings;
pub use server::ServerSettings;

use crate::record::Overload;
use database::{Call, Database};
use server::Server;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
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
pub enum CacheResult {
    /// The server held the value.
    Hit,
    /// It was fetched.
    Miss,
    /// Another fetch of the key was out.
    Pending,
}

/// A job's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobResult {
    /// Done.
    Ok(CacheResult),
    /// The database failed; a write may have run.
    Error,
    /// It waited, and was dropped.
    Dropped,
}

/// Something that is due at a known time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A core has done a job's work; servers are of an epoch, so that what died stays dead.
    Core {
        server: usize,
        epoch: u32,
        job: JobId,
    },
    /// A worker of the database is done with a call.
    Worker { call: u64, epoch: u32 },
    /// The database is back.
    Back { epoch: u32 },
}

/// All servers and the database.
pub struct Cluster {
    servers: Vec<Server>,
    epochs: Vec<u32>,
    database: Database,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    order: u64,
    /// What was pushed over; for the checker.
    pub overloads: Vec<Overload>,
    /// Fetches and writes that the database was sent.
    pub fetches: u64,
}

/// What a server is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Cores at work.
    pub busy: usize,
    /// Requests that wait for a core.
    pub waiting: usize,
    /// Cores there are.
    pub cores: usize,
}

/// Whether a server accepts a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It will end.
    Accepted,
    /// The waiting room is full.
    Declined,
    /// Nobody is there.
    Down,
}

impl Cluster {
    /// A cluster of warm servers with empty caches.
    pub fn new(servers: Vec<ServerSettings>, database: DatabaseSettings, seed: u64) -> Self {
        Self {
            epochs: vec![0; servers.len()],
            servers: servers.into_iter().map(Server::new).collect(),
            database: Database::new(database, seed),
            events: BinaryHeap::new(),
            order: 0,
            overloads: Vec::new(),
            fetches: 0,
        }
    }

    /// When something ends next.
    pub fn next_event(&self) -> Option<Time> {
        self.events.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Puts a value into a server's cache, as if it had been asked for before the run.
    pub fn warm_up(&mut self, server: usize, key: u64, size: usize) {
        self.servers[server].insert(key, size);
    }

    /// Requests that a server holds.
    pub fn request_count(&self, server: usize) -> usize {
        self.servers[server].in_progress.len() + self.servers[server].waiting.len()
    }

    /// What a server is doing.
    pub fn load(&self, server: usize) -> ServerLoad {
        let state = &self.servers[server];
        ServerLoad {
            busy: state.busy,
            waiting: state.waiting.len(),
            cores: state.settings.cores,
        }
    }

    /// Calls that the database holds.
    pub fn database_calls(&self) -> usize {
        self.database.calls.len()
    }

    /// Whether a server is down.
    pub fn is_down(&self, server: usize) -> bool {
        self.servers[server].down
    }

    /// Offers a job to a server.
    pub fn submit(&mut self, now: Time, server: usize, job: Job) -> Admission {
        let state = &mut self.servers[server];
        if state.down {
            return Admission::Down;
        }
        let capacity = state.capacity(now);
        if capacity < state.full_capacity() {
            let span = state.settings.fall_span;
            let (sent, _) = state.recent.add(now, job.work.as_secs_f64(), 0.0, span);
            let capacity_in_span = capacity * span.as_secs_f64();
            if sent > state.settings.fall_times * capacity_in_span {
                self.overloads.push(Overload {
                    server: Some(server),
                    at: now.as_micros() as u64,
                    sent,
                    capacity: capacity_in_span,
                    cold_share: 1.0,
                });
                self.kill(server);
                return Admission::Down;
            }
        }
        if state.busy < state.settings.cores {
            self.start_job(now, server, job);
        } else if state.waiting.len() < state.settings.queue {
            state.waiting.push_back(job);
        } else {
            return Admission::Declined;
        }
        Admission::Accepted
    }

    /// A node waits no longer for a job. Whether it was dropped.
    pub fn cancel(&mut self, server: usize, job: JobId) -> bool {
        let state = &mut self.servers[server];
        let before = state.waiting.len();
        if state.settings.drops_cancelled {
            state.waiting.retain(|waiting| waiting.id != job);
        }
        state.waiting.len() < before
    }

    /// A server dies with all it holds.
    pub fn kill(&mut self, server: usize) {
        self.epochs[server] += 1;
        let fresh = Server::new(self.servers[server].settings);
        self.servers[server] = Server {
            down: true,
            ..fresh
        };
    }

    /// It is back, cold and empty.
    pub fn start(&mut self, now: Time, server: usize) {
        self.epochs[server] += 1;
        let fresh = Server::new(self.servers[server].settings);
        self.servers[server] = Server {
            started_at: Some(now),
            ..fresh
        };
    }

    /// A server works so many times slower from now on.
    pub fn set_slowdown(&mut self, server: usize, factor: f64) {
        self.servers[server].slowdown = factor.max(1e-3);
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn start_job(&mut self, now: Time, server: usize, job: Job) {
        let state = &mut self.servers[server];
        state.busy += 1;
        state.in_progress.insert(job.id, job);
        let speed = state.settings.speed * state.warm_share(now) / state.slowdown;
        let end = now + job.work.div_f64(speed.max(1e-6));
        let epoch = self.epochs[server];
        self.schedule(
            end,
            Event::Core {
                server,
                epoch,
                job: job.id,
            },
        );
    }

    /// Moves time on: every job that has ended by `now`, with its server.
    pub fn advance(&mut self, now: Time, finished: &mut Vec<(usize, JobId, JobResult)>) {
        while let Some(Reverse((at, _, event))) = self
            .events
            .peek()
            .copied()
            .filter(|Reverse((at, _, _))| *at <= now)
        {
            self.events.pop();
            match event {
                Event::Core { server, epoch, job } if epoch == self.epochs[server] => {
                    self.finish_work(at, server, job, finished)
                }
                Event::Worker { call, epoch } if epoch == self.database.epoch => {
                    self.database.working -= 1;
                    if let Some(call) = self.database.calls.remove(&call) {
                        self.finish_call(call, true, finished);
                    }
                    self.start_calls(at);
                }
                Event::Back { epoch } if epoch == self.database.epoch => self.database.down = false,
                _ => {}
            }
        }
    }

    fn finish_work(
        &mut self,
        now: Time,
        server: usize,
        job: JobId,
        finished: &mut Vec<(usize, JobId, JobResult)>,
    ) {
        let state = &mut self.servers[server];
        state.busy -= 1;
        let epoch = self.epochs[server];
        let cold = state.warm_share(now) < 1.0;
        if let Some(job) = state.in_progress.get(&job).copied() {
            if job.write {
                let call = Call::Write {
                    server,
                    epoch,
                    job: job.id,
                    key: job.key,
                };
                self.submit_call(now, call, false, finished);
            } else if state.cache.get(&job.key).is_some() {
                state.in_progress.remove(&job.id);
                finished.push((server, job.id, JobResult::Ok(CacheResult::Hit)));
            } else {
                let waiting = state.fetching.entry(job.key).or_default();
                waiting.push(job.id);
                if waiting.len() == 1 {
                    let call = Call::Fetch {
                        server,
                        epoch,
                        key: job.key,
                        size: job.size,
                    };
                    self.submit_call(now, call, cold, finished);
                }
            }
        }
        let state = &mut self.servers[server];
        if state.busy < state.settings.cores {
            if let Some(next) = state.waiting.pop_front() {
                self.start_job(now, server, next);
            }
        }
    }
}

#[cfg(test)]
mod tests;
