//! The number of waiting watches, by the version that their clients have.

use slatelink_membership::Version;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Counts of waiting watches by version. A version without a waiting watch has no entry.
#[derive(Debug, Default)]
pub struct WaitingWatches(RefCell<BTreeMap<Version, usize>>);

impl WaitingWatches {
    /// Counts a watch of a client that has this version, until the guard is dropped.
    pub fn register(&self, version: Version) -> WatchGuard<'_> {
        *self.0.borrow_mut().entry(version).or_default() += 1;
        WatchGuard {
            watches: self,
            version,
        }
    }

    /// Returns the number of waiting watches of clients that have this version.
    pub fn count(&self, version: Version) -> usize {
        self.0.borrow().get(&version).copied().unwrap_or(0)
    }
}

/// Guard of a counted watch; dropping the guard ends the count.
#[derive(Debug)]
pub struct WatchGuard<'a> {
    watches: &'a WaitingWatches,
    version: Version,
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        let mut watches = self.watches.0.borrow_mut();
        if let Some(count) = watches.get_mut(&self.version) {
            *count -= 1;
            if *count == 0 {
                watches.remove(&self.version);
            }
        }
    }
}
