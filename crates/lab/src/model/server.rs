//! A cache server of the model: its settings, what it holds, and how warm it is.

use super::rolling_sum::RollingSum;
use super::{Job, JobId, Time};
use lru::LruCache;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// A server's settings.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
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

pub(super) struct Server {
    pub(super) settings: ServerSettings,
    /// `None` for long ago.
    pub(super) started_at: Option<Time>,
    pub(super) down: bool,
    /// So many times slower.
    pub(super) slowdown: f64,
    pub(super) waiting: VecDeque<Job>,
    pub(super) busy: usize,
    /// At work or at the database; removed when the server dies.
    pub(super) in_progress: HashMap<JobId, Job>,
    pub(super) cache: LruCache<u64, usize>,
    pub(super) cached_bytes: usize,
    /// Jobs that wait for a key's fetch.
    pub(super) fetching: HashMap<u64, Vec<JobId>>,
    /// Work that came within `fall_span` while it was cold.
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

    /// Seconds of work that it does in a second when warm.
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
