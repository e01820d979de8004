//! The player database of the model: one queue, so many workers, and what becomes of its calls.

use super::rolling_sum::RollingSum;
use super::{CacheResult, Cluster, Event, JobId, JobResult, Time};
use crate::plan::mix;
use crate::record::Overload;
use rand::distr::Distribution;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::LogNormal;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The database's settings.
#[derive(Clone, Copy, Debug)]
pub struct DatabaseSettings {
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

/// A call at the database, and the server that it came from.
#[derive(Clone, Copy, Debug)]
pub(super) enum Call {
    Fetch {
        server: usize,
        epoch: u32,
        key: u64,
        size: usize,
    },
    Write {
        server: usize,
        epoch: u32,
        job: JobId,
        key: u64,
    },
}

/// The database, and the calls that it holds.
pub(super) struct Database {
    settings: DatabaseSettings,
    service_time: Option<LogNormal<f64>>,
    random: ChaCha8Rng,
    pub(super) calls: HashMap<u64, Call>,
    queue: VecDeque<u64>,
    pub(super) working: usize,
    /// Counts its stops, so that what died stays dead.
    pub(super) epoch: u32,
    pub(super) down: bool,
    recent: RollingSum,
    next_call: u64,
}

impl Database {
    pub(super) fn new(settings: DatabaseSettings, seed: u64) -> Self {
        // The mean of a log-normal is exp(mu + sigma^2 / 2).
        let sigma: f64 = 0.5;
        let mean = settings.work.as_secs_f64().max(1e-6);
        Self {
            settings,
            service_time: LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).ok(),
            random: ChaCha8Rng::seed_from_u64(mix(seed)),
            calls: HashMap::new(),
            queue: VecDeque::new(),
            working: 0,
            epoch: 0,
            down: false,
            recent: RollingSum::default(),
            next_call: 0,
        }
    }
}

impl Cluster {
    pub(super) fn submit_call(
        &mut self,
        now: Time,
        call: Call,
        cold: bool,
        finished: &mut Vec<(usize, JobId, JobResult)>,
    ) {
        self.fetches += 1;
        let work = self.database.settings.work.as_secs_f64();
        let span = self.database.settings.fall_span;
        let cold_work = if cold { work } else { 0.0 };
        let (sent, sent_cold) = self.database.recent.add(now, work, cold_work, span);
        let capacity = self.database.settings.workers as f64 * span.as_secs_f64();
        if !self.database.down && sent > self.database.settings.fall_times * capacity {
            let cold_share = sent_cold / sent;
            self.overloads.push(Overload {
                server: None,
                at: now.as_micros() as u64,
                sent,
                capacity,
                cold_share,
            });
            self.database.epoch += 1;
            self.database.down = true;
            (self.database.working, self.database.recent) = (0, RollingSum::default());
            self.database.queue.clear();
            let mut lost: Vec<_> = self.database.calls.drain().collect();
            lost.sort_unstable_by_key(|(number, _)| *number);
            lost.into_iter()
                .for_each(|(_, call)| self.finish_call(call, false, finished));
            let back = Event::Back {
                epoch: self.database.epoch,
            };
            self.schedule(now + self.database.settings.down, back);
        }
        if self.database.down || self.database.queue.len() >= self.database.settings.queue {
            return self.finish_call(call, false, finished);
        }
        self.database.next_call += 1;
        self.database.calls.insert(self.database.next_call, call);
        self.database.queue.push_back(self.database.next_call);
        self.start_calls(now);
    }

    pub(super) fn start_calls(&mut self, now: Time) {
        while self.database.working < self.database.settings.workers {
            let Some(call) = self.database.queue.pop_front() else {
                return;
            };
            self.database.working += 1;
            let mean = self.database.settings.work.as_secs_f64();
            let took = self.database.service_time.map_or(mean, |distribution| {
                distribution.sample(&mut self.database.random)
            });
            let epoch = self.database.epoch;
            self.schedule(
                now + Duration::from_secs_f64(took),
                Event::Worker { call, epoch },
            );
        }
    }

    pub(super) fn finish_call(
        &mut self,
        call: Call,
        succeeded: bool,
        finished: &mut Vec<(usize, JobId, JobResult)>,
    ) {
        match call {
            Call::Fetch {
                server,
                epoch,
                key,
                size,
            } => {
                if epoch != self.epochs[server] {
                    return;
                }
                let state = &mut self.servers[server];
                if succeeded {
                    state.insert(key, size);
                }
                for (position, job) in state
                    .fetching
                    .remove(&key)
                    .unwrap_or_default()
                    .into_iter()
                    .enumerate()
                {
                    if state.in_progress.remove(&job).is_some() {
                        let cache_result = if position == 0 {
                            CacheResult::Miss
                        } else {
                            CacheResult::Pending
                        };
                        let result = if succeeded {
                            JobResult::Ok(cache_result)
                        } else {
                            JobResult::Error
                        };
                        finished.push((server, job, result));
                    }
                }
            }
            Call::Write {
                server,
                epoch,
                job,
                key,
            } => {
                // It was carried out, whoever still waits for it.
                if succeeded {
                    self.servers
                        .iter_mut()
                        .for_each(|state| state.invalidate(key));
                }
                if epoch == self.epochs[server]
                    && self.servers[server].in_progress.remove(&job).is_some()
                {
                    let result = if succeeded {
                        JobResult::Ok(CacheResult::Miss)
                    } else {
                        JobResult::Error
                    };
                    finished.push((server, job, result));
                }
            }
        }
    }
}
