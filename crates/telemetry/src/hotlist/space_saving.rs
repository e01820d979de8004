//! Counts of the hottest keys in bounded memory, by the Space-Saving method: of a full list the entry with the least count is
//! replaced, and its successor goes on from that count.
//!
//! So a count is over the real one by at most the total divided by the capacity, and a key with more requests than that is in
//! the list.

use super::key::{TruncatedKey, MAX_KEY_BYTES};
use std::time::Duration;
use tokio::time::Instant;

/// What the allocator may add to a key.
pub(super) const ALLOCATION_OVERHEAD: usize = 16;
/// The most that an entry takes.
pub(super) const MAX_ENTRY_BYTES: usize = size_of::<Entry>() + MAX_KEY_BYTES + ALLOCATION_OVERHEAD;

/// What is known of a key.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// The key, truncated.
    pub(super) key: Box<str>,
    /// Compared before the key itself.
    key_hash: u64,
    /// The key's requests, and as many more at most as the error's bound says.
    pub(super) count: u64,
    /// Its requests since it came in, each of which decays by a factor of e in a window; as of `updated_at`.
    decayed_count: f64,
    /// When the key was last counted.
    updated_at: Instant,
}

impl Entry {
    /// The decayed count as of `now`.
    fn decayed_count(&self, now: Instant, window: Duration) -> f64 {
        let windows = (now - self.updated_at).as_secs_f64() / window.as_secs_f64();
        self.decayed_count * (-windows).exp()
    }
}

/// The hottest keys of a stream of requests.
#[derive(Clone, Debug)]
pub(super) struct HotKeys {
    capacity: usize,
    /// Decayed counts decay by a factor of e in this time.
    window: Duration,
    /// All requests.
    pub(super) total: u64,
    pub(super) entries: Vec<Entry>,
}

impl HotKeys {
    /// An empty list of at most `capacity` keys, whose decayed counts decay over `window`.
    pub(super) fn new(capacity: usize, window: Duration) -> Self {
        Self {
            capacity,
            window,
            total: 0,
            // All that it may need: a list that grew would take twice as much.
            entries: Vec::with_capacity(capacity),
        }
    }

    /// Counts a request for this key.
    pub(super) fn count(&mut self, key: &str, now: Instant) {
        self.total += 1;
        let key = TruncatedKey::new(key);
        let key_hash = key.hash();
        // A linear search: of a few hundred entries it takes less than the request's other work.
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

    /// Adds a key that the list lacks, in place of the least one if the list is full. Returns its index.
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

    /// By how much a count is over the real one, at most.
    pub(super) fn max_error(&self) -> u64 {
        // Settings with a capacity of 0 turn the hot list off.
        self.total / self.capacity.max(1) as u64
    }

    /// Puts the entries with the highest counts first. In place: a list of references would take more memory.
    pub(super) fn sort_by_count(&mut self) {
        self.entries
            .sort_unstable_by(|a, b| b.count.cmp(&a.count).then_with(|| a.key.cmp(&b.key)));
    }

    /// The entry's decayed count as of `now`.
    pub(super) fn decayed_count(&self, entry: &Entry, now: Instant) -> f64 {
        entry.decayed_count(now, self.window)
    }
}
