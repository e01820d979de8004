//! The cluster behind the nodes: cache servers and the player database, simulated without I/O.
//! Jobs are submitted with a time, and finished jobs are returned.
//!
//! A server has cores of equal speed (a multiple of the standard core), a FIFO queue, and an LRU
//! cache bounded in bytes. Each job occupies a core for its work. A read of a cached key is then
//! finished (`hit`). Otherwise the core is released while the database fetches the value, with one
//! fetch per key and server at a time; the other reads of the key are `pending`. A write continues
//! to the database and invalidates all cached copies. A server that starts is cold: its speed rises
//! linearly from `cold_share` to full speed over `warm`. The database has a fixed number of
//! workers, one queue, and log-normal service times.

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

/// Time since the start of the run.
pub type Time = Duration;

/// Number of a job; never reused.
pub type JobId = u64;

/// One request at a cache server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of the job.
    pub id: JobId,
    /// Key that is read or written.
    pub key: u64,
    /// Size of the value in bytes.
    pub size: usize,
    /// Processing time on a standard core.
    pub work: Duration,
    /// Whether the job is a write, which continues to the database.
    pub write: bool,
}

/// Cache result of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheResult {
    /// The value was in the cache.
    Hit,
    /// The database was called: the value was fetched, or written.
    Miss,
    /// The job waited for another job's fetch of the same key.
    Pending,
}

/// Result of a finished job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobResult {
    /// The job succeeded.
    Ok(CacheResult),
    /// The database call failed; a write may have been executed.
    Error,
    /// The job was removed from the queue before it ran.
    Dropped,
}

/// Scheduled event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A core has finished the work of a job. The server's epoch excludes jobs from before a kill
    /// or start of the server.
    Core {
        server: usize,
        epoch: u32,
        job: JobId,
    },
    /// A database worker has finished a call.
    Worker { call: u64, epoch: u32 },
    /// The database restarts after an overload.
    DatabaseRestart { epoch: u32 },
}

/// All cache servers and the database.
pub struct Cluster {
    servers: Vec<Server>,
    epochs: Vec<u32>,
    database: Database,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    event_sequence: u64,
    /// Overloads that stopped a server or the database; read by the rule checker.
    pub overloads: Vec<Overload>,
    /// Number of fetches and writes sent to the database.
    pub fetches: u64,
}

/// Current load of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Busy cores.
    pub busy: usize,
    /// Requests queued for a core.
    pub waiting: usize,
    /// Number of cores.
    pub cores: usize,
}

/// A server's response to a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job runs or is queued.
    Accepted,
    /// The queue is full.
    Declined,
    /// The server is down.
    Down,
}

impl Cluster {
    /// Creates a cluster of warm servers with empty caches.
    pub fn new(servers: Vec<ServerSettings>, database: DatabaseSettings, seed: u64) -> Self {
        Self {
            epochs: vec![0; servers.len()],
            servers: servers.into_iter().map(Server::new).collect(),
            database: Database::new(database, seed),
            events: BinaryHeap::new(),
            event_sequence: 0,
            overloads: Vec::new(),
            fetches: 0,
        }
    }

    /// Returns the time of the next event.
    pub fn next_event(&self) -> Option<Time> {
        self.events.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Puts a value into a server's cache, as if it had been requested before the run.
    pub fn warm_up(&mut self, server: usize, key: u64, size: usize) {
        self.servers[server].insert(key, size);
    }

    /// Returns the number of requests in progress or queued at a server.
    pub fn request_count(&self, server: usize) -> usize {
        self.servers[server].in_progress.len() + self.servers[server].waiting.len()
    }

    /// Returns the current load of a server.
    pub fn load(&self, server: usize) -> ServerLoad {
        let state = &self.servers[server];
        ServerLoad {
            busy: state.busy,
            waiting: state.waiting.len(),
            cores: state.settings.cores,
        }
    }

    /// Returns the number of calls in progress or queued at the database.
    pub fn database_calls(&self) -> usize {
        self.database.calls.len()
    }

    /// Returns whether a server is down.
    pub fn is_down(&self, server: usize) -> bool {
        self.servers[server].down
    }

    /// Submits a job to a server. A cold server that this job overloads is killed.
    pub fn submit(&mut self, now: Time, server: usize, job: Job) -> Admission {
        let state = &mut self.servers[server];
        if state.down {
            return Admission::Down;
        }
        let capacity = state.capacity(now);
        if capacity < state.full_capacity() {
            let window = state.settings.overload_window;
            let (sent, _) = state.recent.add(now, job.work.as_secs_f64(), 0.0, window);
            let capacity_in_window = capacity * window.as_secs_f64();
            if sent > state.settings.overload_factor * capacity_in_window {
                self.overloads.push(Overload {
                    server: Some(server),
                    at: now.as_micros() as u64,
                    sent,
                    capacity: capacity_in_window,
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

    /// Cancels a job that its node has abandoned. Returns whether the job was removed from the
    /// queue.
    pub fn cancel(&mut self, server: usize, job: JobId) -> bool {
        let state = &mut self.servers[server];
        let before = state.waiting.len();
        if state.settings.drops_cancelled {
            state.waiting.retain(|waiting| waiting.id != job);
        }
        state.waiting.len() < before
    }

    /// Stops a server; its jobs and cached values are lost.
    pub fn kill(&mut self, server: usize) {
        self.epochs[server] += 1;
        let fresh = Server::new(self.servers[server].settings);
        self.servers[server] = Server {
            down: true,
            ..fresh
        };
    }

    /// Starts a server, cold and with an empty cache.
    pub fn start(&mut self, now: Time, server: usize) {
        self.epochs[server] += 1;
        let fresh = Server::new(self.servers[server].settings);
        self.servers[server] = Server {
            started_at: Some(now),
            ..fresh
        };
    }

    /// Divides the speed of a server by `factor` for jobs that start from now on.
    pub fn set_slowdown(&mut self, server: usize, factor: f64) {
        self.servers[server].slowdown = factor.max(1e-3);
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.event_sequence += 1;
        self.events.push(Reverse((at, self.event_sequence, event)));
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

    /// Advances the simulation to `now` and appends each job that has finished by then, with its
    /// server, to `finished`.
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
                    self.database.busy_workers -= 1;
                    if let Some(call) = self.database.calls.remove(&call) {
                        self.finish_call(call, true, finished);
                    }
                    self.start_calls(at);
                }
                Event::DatabaseRestart { epoch } if epoch == self.database.epoch => {
                    self.database.down = false
                }
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
