//! A cache server of the model: settings, queue, cache and warm-up.

use super::rolling_sum::RollingSum;
use super::{Job, JobId, Time};
use lru::LruCache;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Settings of a cache server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Number of cores.
    pub cores: usize,
    /// Speed of each core, as a multiple of the standard core.
    pub speed: f64,
    /// Capacity of the queue.
    pub queue: usize,
    /// Cache size in bytes of values.
    pub memory: usize,
    /// Share of the full capacity right after a start.
    pub cold_share: f64,
    /// Time from a start to full capacity.
    pub warm: Duration,
    /// A cold server stops when the work sent within `overload_window` exceeds this multiple of its
    /// present capacity.
    pub overload_factor: f64,
    /// Time window of `overload_factor`.
    pub overload_window: Duration,
    /// Whether cancelled jobs are removed from the queue.
    pub drops_cancelled: bool,
}

pub(super) struct Server {
    pub(super) settings: ServerSettings,
    /// Time of the start during the run; `None` for a server that was already warm when the run
    /// started.
    pub(super) started_at: Option<Time>,
    pub(super) down: bool,
    /// Divisor of the speed.
    pub(super) slowdown: f64,
    pub(super) waiting: VecDeque<Job>,
    pub(super) busy: usize,
    /// Jobs on a core or at the database; discarded when the server stops.
    pub(super) in_progress: HashMap<JobId, Job>,
    pub(super) cache: LruCache<u64, usize>,
    pub(super) cached_bytes: usize,
    /// Jobs that wait for the fetch of a key, by key.
    pub(super) fetching: HashMap<u64, Vec<JobId>>,
    /// Work received within `overload_window` while the server was cold.
    pub(super) recent: RollingSum,
}

impl Server {
    pub(super) fn new(settings: ServerSettings) -> Self {
        Self {
            settings,
            started_at: None,
            down: false,
            slowdown: 1.0,
            waiting: VecDeque::new(),
            busy: 0,
            in_progress: HashMap::new(),
            cache: LruCache::unbounded(),
            cached_bytes: 0,
            fetching: HashMap::new(),
            recent: RollingSum::default(),
        }
    }

    pub(super) fn warm_share(&self, now: Time) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at).as_secs_f64()
            / self.settings.warm.as_secs_f64().max(1e-6);
        (self.settings.cold_share + (1.0 - self.settings.cold_share) * age).min(1.0)
    }

    /// Returns the seconds of work per second of a warm server.
    pub(super) fn full_capacity(&self) -> f64 {
        self.settings.cores as f64 * self.settings.speed
    }

    pub(super) fn capacity(&self, now: Time) -> f64 {
        self.full_capacity() * self.warm_share(now)
    }

    pub(super) fn insert(&mut self, key: u64, size: usize) {
        self.invalidate(key);
        self.cache.put(key, size);
        self.cached_bytes += size;
        while self.cached_bytes > self.settings.memory {
            let Some((_, size)) = self.cache.pop_lru() else {
                break;
            };
            self.cached_bytes -= size;
        }
    }

    pub(super) fn invalidate(&mut self, key: u64) {
        self.cached_bytes -= self.cache.pop(&key).unwrap_or(0);
    }
}
