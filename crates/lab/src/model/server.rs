//! A cache server of the model: its figures, what it holds, and how warm it is.

use super::recent::Recent;
use super::{Job, JobId, Time};
use lru::LruCache;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

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

pub(super) struct Server {
    pub(super) terms: Terms,
    /// `None` for long ago.
    pub(super) born: Option<Time>,
    pub(super) down: bool,
    /// So many times slower.
    pub(super) slow: f64,
    pub(super) waiting: VecDeque<Job>,
    pub(super) busy: usize,
    /// At work or at the database; removed when the server dies.
    pub(super) held: HashMap<JobId, Job>,
    pub(super) memory: LruCache<u64, usize>,
    pub(super) bytes: usize,
    /// Jobs that wait for a key's fetch.
    pub(super) fetching: HashMap<u64, Vec<JobId>>,
    /// Work that came within `fall_span` while it was cold.
    pub(super) recent: Recent,
}

impl Server {
    pub(super) fn new(terms: Terms) -> Self {
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

    pub(super) fn warmth(&self, now: Time) -> f64 {
        let Some(born) = self.born else { return 1.0 };
        let age = now.saturating_sub(born).as_secs_f64() / self.terms.warm.as_secs_f64().max(1e-6);
        (self.terms.cold_share + (1.0 - self.terms.cold_share) * age).min(1.0)
    }

    /// Seconds of work that it does in a second when warm.
    pub(super) fn full(&self) -> f64 {
        self.terms.cores as f64 * self.terms.speed
    }

    pub(super) fn capacity(&self, now: Time) -> f64 {
        self.full() * self.warmth(now)
    }

    pub(super) fn keep(&mut self, key: u64, size: usize) {
        self.void(key);
        self.memory.put(key, size);
        self.bytes += size;
        while self.bytes > self.terms.memory {
            let Some((_, size)) = self.memory.pop_lru() else { break };
            self.bytes -= size;
        }
    }

    pub(super) fn void(&mut self, key: u64) {
        self.bytes -= self.memory.pop(&key).unwrap_or(0);
    }
}
