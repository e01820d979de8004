//! What endpoints probably hold in their caches, as far as this node's own requests tell.
//!
//! Two memories of bounded size: which key was answered by which incarnation of an endpoint a
//! moment ago, and whether the last answer to a key was served from a cache, where endpoints tell.

use crate::api::Timestamp;
use crate::endpoint_table::EndpointState;
use crate::hashing::mix;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Most keys that are remembered in a map, or in one of the two generations of answers.
const MAX_KEYS: usize = 4096;
/// Length of a generation: an endpoint most likely holds what it answered in the present one or the
/// one before.
const GENERATION: Duration = Duration::from_secs(5);

/// Keys that endpoints answered of late, in two generations of which the older is dropped as a
/// whole: what is known of endpoints that were removed is forgotten with it. Never walked.
#[derive(Debug, Default)]
pub(crate) struct RecentAnswers {
    /// Hashes of key and incarnation.
    present: HashSet<u64>,
    previous: HashSet<u64>,
    since: Timestamp,
}

impl RecentAnswers {
    /// Begins a new generation once the present one is old or full.
    pub(crate) fn rotate(&mut self, now: Timestamp) {
        if now.since(self.since) >= GENERATION || self.present.len() >= MAX_KEYS {
            self.previous = std::mem::take(&mut self.present);
            self.since = now;
        }
    }

    /// Notes that the endpoint answered a request of this key.
    pub(crate) fn insert(&mut self, key: u64, endpoint: &EndpointState) {
        self.present.insert(answer_hash(key, endpoint));
    }

    /// Whether the endpoint answered a request of this key of late.
    pub(crate) fn contains(&self, key: u64, endpoint: &EndpointState) -> bool {
        let hash = answer_hash(key, endpoint);
        self.present.contains(&hash) || self.previous.contains(&hash)
    }
}

/// An endpoint that started anew has an empty cache: its start is part of the hash.
fn answer_hash(key: u64, endpoint: &EndpointState) -> u64 {
    let started = endpoint.endpoint.started;
    mix(key ^ mix(endpoint.hash ^ started.map_or(0, Timestamp::as_micros)))
}

/// By key, whether the last answer to it here could be had without the origin. Never walked.
#[derive(Debug, Default)]
pub(crate) struct CachedKeys {
    cached: HashMap<u64, bool>,
}

impl CachedKeys {
    /// Notes whether the key's value is cached now. All is forgotten once there are too many keys.
    pub(crate) fn insert(&mut self, key: u64, cached: bool) {
        if self.cached.len() > MAX_KEYS {
            self.cached.clear();
        }
        self.cached.insert(key, cached);
    }

    /// Whether the key's value was cached at its last answer; false for an unknown key.
    pub(crate) fn contains(&self, key: u64) -> bool {
        self.cached.get(&key) == Some(&true)
    }
}
