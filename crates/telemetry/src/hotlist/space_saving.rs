//! Counts of the most requested keys in bounded memory, by the Space-Saving method: in a full list,
//! a new key replaces the entry with the lowest count and continues from that count.
//!
//! A count therefore exceeds the real count by at most the total divided by the capacity, and every
//! key with more requests than that quotient is in the list.

use super::key::{TruncatedKey, MAX_KEY_BYTES};
use std::time::Duration;
use tokio::time::Instant;

/// Estimated allocator overhead of one key.
pub(super) const ALLOCATION_OVERHEAD: usize = 16;
/// Maximum memory of one entry.
pub(super) const MAX_ENTRY_BYTES: usize = size_of::<Entry>() + MAX_KEY_BYTES + ALLOCATION_OVERHEAD;

/// A key and its counts.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// The key, truncated.
    pub(super) key: Box<str>,
    /// Hash of the key, compared before the key itself.
    key_hash: u64,
    /// Number of requests for the key, overestimated by at most [`HotKeys::max_error`].
    pub(super) count: u64,
    /// Number of requests since the key entered the list, each decaying by a factor of e per
    /// window; as of `updated_at`.
    decayed_count: f64,
    /// Time of the key's last request.
    updated_at: Instant,
}

impl Entry {
    /// Returns the decayed count as of `now`.
    fn decayed_count(&self, now: Instant, window: Duration) -> f64 {
        let windows = (now - self.updated_at).as_secs_f64() / window.as_secs_f64();
        self.decayed_count * (-windows).exp()
    }
}

/// The most requested keys of a stream of requests.
#[derive(Clone, Debug)]
pub(super) struct HotKeys {
    capacity: usize,
    /// Time in which decayed counts fall by a factor of e.
    window: Duration,
    /// Total number of requests.
    pub(super) total: u64,
    pub(super) entries: Vec<Entry>,
}

impl HotKeys {
    /// Creates an empty list of at most `capacity` keys, whose decayed counts decay over `window`.
    pub(super) fn new(capacity: usize, window: Duration) -> Self {
        Self {
            capacity,
            window,
            total: 0,
            // Reserves the full capacity: a vector that grows on demand could take twice as much
            // memory.
            entries: Vec::with_capacity(capacity),
        }
    }

    /// Returns the maximum number of keys.
    pub(super) const fn capacity(&self) -> usize {
        self.capacity
    }

    /// Counts a request for this key.
    pub(super) fn count(&mut self, key: &str, now: Instant) {
        self.total += 1;
        let key = TruncatedKey::new(key);
        let key_hash = key.hash();
        // A linear search over a few hundred entries takes less time than the rest of the request's
        // processing.
        let index = self
            .entries
            .iter()
            .position(|entry| entry.key_hash == key_hash && key.matches(&entry.key))
            .unwrap_or_else(|| self.insert(&key, key_hash, now));
        let window = self.window;
        let entry = &mut self.entries[index];
        entry.count += 1;
        entry.decayed_count = entry.decayed_count(now, window) + 1.0;
        entry.updated_at = now;
    }

    /// Adds a key that is not in the list, replacing the entry with the lowest count if the list is
    /// full. Returns the index of the new entry.
    fn insert(&mut self, key: &TruncatedKey, key_hash: u64, now: Instant) -> usize {
        let new_entry = |count| Entry {
            key: key.text(),
            key_hash,
            count,
            decayed_count: 0.0,
            updated_at: now,
        };
        let is_full = self.entries.len() >= self.capacity;
        let least = self
            .entries
            .iter_mut()
            .enumerate()
            .min_by_key(|(_, entry)| entry.count);
        match least.filter(|_| is_full) {
            Some((index, least)) => {
                *least = new_entry(least.count);
                index
            }
            None => {
                self.entries.push(new_entry(0));
                self.entries.len() - 1
            }
        }
    }

    /// Returns the maximum amount by which a count exceeds the real count.
    pub(super) fn max_error(&self) -> u64 {
        // A capacity of 0 in the settings turns the hot list off.
        self.total / self.capacity.max(1) as u64
    }

    /// Sorts the entries in descending order of counts. Sorts in place, because a list of
    /// references would take more memory.
    pub(super) fn sort_by_count(&mut self) {
        self.entries
            .sort_unstable_by(|a, b| b.count.cmp(&a.count).then_with(|| a.key.cmp(&b.key)));
    }

    /// Returns the entry's decayed count as of `now`.
    pub(super) fn decayed_count(&self, entry: &Entry, now: Instant) -> f64 {
        entry.decayed_count(now, self.window)
    }
}
