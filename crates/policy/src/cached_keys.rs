//! Estimate of the endpoints' cache contents, from the responses to this node's own requests.
//!
//! There are two tables of bounded size: the keys recently served by each incarnation of an
//! endpoint, and, if endpoints report cache results, whether a key's last response came from a
//! cache.

use crate::api::Timestamp;
use crate::endpoint_table::EndpointState;
use crate::hashing::mix;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Maximum number of keys in [`CachedKeys`] and in one generation of [`RecentlyServedKeys`].
const MAX_KEYS: usize = 4096;
/// Duration of a generation. An endpoint most likely still caches the keys that it served in the
/// current or the previous generation.
const GENERATION_DURATION: Duration = Duration::from_secs(5);

/// Keys recently served by endpoints, in two generations. The older generation is dropped as a
/// whole, which also removes the entries of removed endpoints. Never iterated.
#[derive(Debug, Default)]
pub(crate) struct RecentlyServedKeys {
    /// Hashes of key and incarnation in the current generation.
    current: HashSet<u64>,
    previous: HashSet<u64>,
    generation_start: Timestamp,
}

impl RecentlyServedKeys {
    /// Begins a new generation if the current one is old or full.
    pub(crate) fn rotate(&mut self, now: Timestamp) {
        if now.since(self.generation_start) >= GENERATION_DURATION || self.current.len() >= MAX_KEYS
        {
            self.previous = std::mem::take(&mut self.current);
            self.generation_start = now;
        }
    }

    /// Records that the endpoint served a request with this key.
    pub(crate) fn insert(&mut self, key: u64, endpoint: &EndpointState) {
        self.current.insert(served_key_hash(key, endpoint));
    }

    /// Checks whether the endpoint recently served a request with this key.
    pub(crate) fn contains(&self, key: u64, endpoint: &EndpointState) -> bool {
        let hash = served_key_hash(key, endpoint);
        self.current.contains(&hash) || self.previous.contains(&hash)
    }
}

/// Returns a hash of the key and the endpoint's incarnation. The hash includes the endpoint's start
/// time, because a restarted endpoint has an empty cache.
fn served_key_hash(key: u64, endpoint: &EndpointState) -> u64 {
    let started = endpoint.endpoint.started;
    mix(key ^ mix(endpoint.hash ^ started.map_or(0, Timestamp::as_micros)))
}

/// By key, whether this node's last response for the key needed no origin. Never iterated.
#[derive(Debug, Default)]
pub(crate) struct CachedKeys {
    cached: HashMap<u64, bool>,
}

impl CachedKeys {
    /// Records whether the key's value is cached now. Clears the whole map if it has too many keys.
    pub(crate) fn insert(&mut self, key: u64, cached: bool) {
        if self.cached.len() > MAX_KEYS {
            self.cached.clear();
        }
        self.cached.insert(key, cached);
    }

    /// Checks whether the key's value was cached at its last response; false for an unknown key.
    pub(crate) fn contains(&self, key: u64) -> bool {
        self.cached.get(&key) == Some(&true)
    }
}
