//! The player database of the model: one queue, so many workers, and what becomes of its calls.

use super::recent::Recent;
use super::{Due, Ended, JobId, Note, Time, World};
use crate::plan::mix;
use crate::record::Fell;
use rand::distr::Distribution;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::LogNormal;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

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
pub(super) enum Call {
    Fetch { server: usize, epoch: u32, key: u64, size: usize },
    Write { server: usize, epoch: u32, job: JobId, key: u64 },
}

/// The database, and the calls that it holds.
pub(super) struct Database {
    terms: Origin,
    times: Option<LogNormal<f64>>,
    random: ChaCha8Rng,
    pub(super) calls: HashMap<u64, Call>,
    queue: VecDeque<u64>,
    pub(super) working: usize,
    /// Counts its stops, so that what died stays dead.
    pub(super) epoch: u32,
    pub(super) down: bool,
    recent: Recent,
    next_call: u64,
}

impl Database {
    pub(super) fn new(terms: Origin, seed: u64) -> Self {
        // The mean of a log-normal is exp(mu + sigma^2 / 2).
        let sigma: f64 = 0.5;
        let mean = terms.work.as_secs_f64().max(1e-6);
        Self {
            terms,
            times: LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).ok(),
            random: ChaCha8Rng::seed_from_u64(mix(seed)),
            calls: HashMap::new(),
            queue: VecDeque::new(),
            working: 0,
            epoch: 0,
            down: false,
            recent: Recent::default(),
            next_call: 0,
        }
    }
}

impl World {
    pub(super) fn call(&mut self, now: Time, call: Call, cold: bool, ended: &mut Vec<(usize, JobId, Ended)>) {
        self.fetches += 1;
        let work = self.database.terms.work.as_secs_f64();
        let span = self.database.terms.fall_span;
        let cold = if cold { work } else { 0.0 };
        let (sent, part) = self.database.recent.add(now, work, cold, span);
        let able = self.database.terms.workers as f64 * span.as_secs_f64();
        if !self.database.down && sent > self.database.terms.fall_times * able {
            let cold = part / sent;
            self.fell.push(Fell { server: None, at: now.as_micros() as u64, sent, able, cold });
            self.database.epoch += 1;
            self.database.down = true;
            (self.database.working, self.database.recent) = (0, Recent::default());
            self.database.queue.clear();
            let mut lost: Vec<_> = self.database.calls.drain().collect();
            lost.sort_unstable_by_key(|(number, _)| *number);
            lost.into_iter().for_each(|(_, call)| self.called(call, false, ended));
            let back = Due::Back { epoch: self.database.epoch };
            self.at(now + self.database.terms.down, back);
        }
        if self.database.down || self.database.queue.len() >= self.database.terms.queue {
            return self.called(call, false, ended);
        }
        self.database.next_call += 1;
        self.database.calls.insert(self.database.next_call, call);
        self.database.queue.push_back(self.database.next_call);
        self.work_on(now);
    }

    pub(super) fn work_on(&mut self, now: Time) {
        while self.database.working < self.database.terms.workers {
            let Some(call) = self.database.queue.pop_front() else { return };
            self.database.working += 1;
            let mean = self.database.terms.work.as_secs_f64();
            let took = self.database.times.map_or(mean, |times| times.sample(&mut self.database.random));
            let epoch = self.database.epoch;
            self.at(now + Duration::from_secs_f64(took), Due::Worker { call, epoch });
        }
    }

    pub(super) fn called(&mut self, call: Call, well: bool, ended: &mut Vec<(usize, JobId, Ended)>) {
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
