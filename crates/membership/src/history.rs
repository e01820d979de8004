//! The most recent changes of the list, one for each endpoint, within bounds.

use crate::message::Version;
use crate::record::EndpointRecord;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Upper bound of the changes kept, in bytes. Beyond it the oldest are dropped, and a client that is behind them gets a
/// snapshot. A release that changes all of 4,600 endpoints takes about 1 MiB.
pub const MAX_HISTORY_BYTES: usize = 2 << 20;
/// Upper bound of the versions from which a delta can be given; beyond it the oldest are dropped.
pub const MAX_HISTORY_VERSIONS: usize = 1 << 16;

/// The latest change of each endpoint that changed since the oldest version kept.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// By the version that brought the change.
    changes: BTreeMap<(Version, Arc<str>), EndpointRecord>,
    /// Each endpoint's version in the keys of `changes`.
    changed_at: HashMap<Arc<str>, Version>,
    /// Versions that this replica itself held, which are those from which a delta is known. A skipped
    /// version may contain intermediate states that this history never saw.
    held: BTreeSet<Version>,
    /// Memory of the records in `changes`.
    bytes: usize,
}

impl History {
    /// Drops everything; from here on only this version is known.
    pub(crate) fn restart(&mut self, version: Version) {
        *self = Self::default();
        self.held.insert(version);
    }

    /// Adds the version that is held from now on, with its changes. It must not be older than the one before.
    pub(crate) fn record(
        &mut self,
        version: Version,
        changes: impl IntoIterator<Item = EndpointRecord>,
    ) {
        for change in changes {
            self.replace_change(version, change);
        }
        self.held.insert(version);
        while self.bytes > MAX_HISTORY_BYTES {
            self.drop_oldest_change();
        }
        while self.held.len() > MAX_HISTORY_VERSIONS {
            self.held.pop_first();
        }
    }

    fn replace_change(&mut self, version: Version, change: EndpointRecord) {
        let name = change.name().clone();
        self.bytes += change.memory_bytes();
        if let Some(previous_version) = self.changed_at.insert(name.clone(), version) {
            if let Some(previous) = self.changes.remove(&(previous_version, name.clone())) {
                self.bytes -= previous.memory_bytes();
            }
        }
        self.changes.insert((version, name), change);
    }

    /// Drops the oldest change, and with it the versions before it: a delta from these would lack the change.
    fn drop_oldest_change(&mut self) {
        let Some(((version, name), change)) = self.changes.pop_first() else {
            return;
        };
        self.changed_at.remove(&name);
        self.bytes -= change.memory_bytes();
        self.held = self.held.split_off(&version);
    }

    /// Whether a delta from this version is known.
    pub(crate) fn holds(&self, version: Version) -> bool {
        self.held.contains(&version)
    }

    /// The delta from this version, the latest state of each endpoint that changed; `None` where it is not known.
    pub(crate) fn changes_since(&self, version: Version) -> Option<Vec<EndpointRecord>> {
        if !self.holds(version) {
            return None;
        }
        // After the last possible version there is nothing.
        let Some(next) = version.0.checked_add(1).map(Version) else {
            return Some(Vec::new());
        };
        // No name sorts before the empty one.
        let newer = self.changes.range((next, Arc::from(""))..);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }

    /// Memory of the changes kept, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}
