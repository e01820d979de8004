//! The player database of the model: one queue and a fixed number of workers.

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

/// Settings of the database.
#[derive(Clone, Copy, Debug)]
pub struct DatabaseSettings {
    /// Fetches and writes that run in parallel.
    pub workers: usize,
    /// Mean service time of a call.
    pub work: Duration,
    /// Capacity of the queue; a call that finds the queue full fails at once.
    pub queue: usize,
    /// The database stops when the work sent within `overload_window` exceeds this multiple of its
    /// capacity.
    pub overload_factor: f64,
    /// Time window of `overload_factor`.
    pub overload_window: Duration,
    /// Time from a stop to the restart.
    pub restart_delay: Duration,
}

/// A database call, with the server that sent it.
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

/// State of the database, with its queued and running calls.
pub(super) struct Database {
    settings: DatabaseSettings,
    service_time: Option<LogNormal<f64>>,
    random: ChaCha8Rng,
    pub(super) calls: HashMap<u64, Call>,
    queue: VecDeque<u64>,
    pub(super) busy_workers: usize,
    /// Number of stops; events of an earlier epoch are ignored.
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
            busy_workers: 0,
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
        let window = self.database.settings.overload_window;
        let cold_work = if cold { work } else { 0.0 };
        let (sent, sent_cold) = self.database.recent.add(now, work, cold_work, window);
        let capacity = self.database.settings.workers as f64 * window.as_secs_f64();
        if !self.database.down && sent > self.database.settings.overload_factor * capacity {
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
            (self.database.busy_workers, self.database.recent) = (0, RollingSum::default());
            self.database.queue.clear();
            let mut lost: Vec<_> = self.database.calls.drain().collect();
            lost.sort_unstable_by_key(|(number, _)| *number);
            lost.into_iter()
                .for_each(|(_, call)| self.finish_call(call, false, finished));
            let restart = Event::DatabaseRestart {
                epoch: self.database.epoch,
            };
            self.schedule(now + self.database.settings.restart_delay, restart);
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
        while self.database.busy_workers < self.database.settings.workers {
            let Some(call) = self.database.queue.pop_front() else {
                return;
            };
            self.database.busy_workers += 1;
            let mean = self.database.settings.work.as_secs_f64();
            let call_duration = self.database.service_time.map_or(mean, |distribution| {
                distribution.sample(&mut self.database.random)
            });
            let epoch = self.database.epoch;
            self.schedule(
                now + Duration::from_secs_f64(call_duration),
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
                // The write was executed, even if its server was restarted or its job discarded.
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
