//! The world behind the nodes: cache servers and the player database, as machines without I/O. Jobs come in with a
//! time, and what has ended goes out.
//!
//! A server has cores of one speed each (a multiple of the standard core), a waiting room in order of arrival, and an
//! LRU memory bounded in bytes. A job needs a core for its work. A read of a key that it holds is then done (`hit`);
//! otherwise the core is given back while the database fetches, one fetch a key and server at a time (the others are
//! `pending`). A write goes on to the database and voids all kept copies. A server that starts is cold: its speed rises
//! evenly from `cold_share` to all of it over `warm`. The database has so many workers, one queue, and log-normal times.

mod database;
mod recent;
mod server;

pub use database::Origin;
pub use server::Terms;

use crate::record::Fell;
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
    database: Database,
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
        Self {
            epochs: vec![0; servers.len()],
            servers: servers.into_iter().map(Server::new).collect(),
            database: Database::new(origin, seed),
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
        self.database.calls.len()
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
                Due::Worker { call, epoch } if epoch == self.database.epoch => {
                    self.database.working -= 1;
                    if let Some(call) = self.database.calls.remove(&call) {
                        self.called(call, true, ended);
                    }
                    self.work_on(at);
                }
                Due::Back { epoch } if epoch == self.database.epoch => self.database.down = false,
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
}

#[cfg(test)]
mod tests;
