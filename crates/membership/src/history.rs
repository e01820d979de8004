//! Bounded history of the list: the latest change of each endpoint.

use crate::message::Version;
use crate::record::EndpointRecord;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Maximum memory of the stored changes, in bytes. Beyond this limit the oldest changes are
/// dropped, and a client with an older version receives a snapshot. A release that changes all of
/// 4,600 endpoints takes about 1 MiB.
pub const MAX_HISTORY_BYTES: usize = 2 << 20;
/// Maximum number of versions from which a delta can be computed. Beyond this limit the oldest
/// versions are dropped.
pub const MAX_HISTORY_VERSIONS: usize = 1 << 16;

/// The latest change of each endpoint that changed since the oldest stored version.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Changed records by the version of the change and the endpoint's name.
    changes: BTreeMap<(Version, Arc<str>), EndpointRecord>,
    /// Version of each endpoint in the keys of `changes`.
    changed_at: HashMap<Arc<str>, Version>,
    /// Versions that this replica has held. Deltas are known only from these versions, because a
    /// skipped version may contain intermediate states that are not in this history.
    held: BTreeSet<Version>,
    /// Memory of the records in `changes`, in bytes.
    bytes: usize,
}

impl History {
    /// Clears the history; only this version is then known.
    pub(crate) fn restart(&mut self, version: Version) {
        *self = Self::default();
        self.held.insert(version);
    }

    /// Adds the newly held version with its changes. The version must not be older than the
    /// previous version.
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

    /// Drops the oldest change, and the versions before the change: a delta from an earlier version
    /// would lack the change.
    fn drop_oldest_change(&mut self) {
        let Some(((version, name), change)) = self.changes.pop_first() else {
            return;
        };
        self.changed_at.remove(&name);
        self.bytes -= change.memory_bytes();
        self.held = self.held.split_off(&version);
    }

    /// Returns whether a delta from this version is known.
    pub(crate) fn holds(&self, version: Version) -> bool {
        self.held.contains(&version)
    }

    /// Returns the delta from this version, with the latest record of each changed endpoint; `None`
    /// if the delta is not known.
    pub(crate) fn changes_since(&self, version: Version) -> Option<Vec<EndpointRecord>> {
        if !self.holds(version) {
            return None;
        }
        // No version follows the highest possible version.
        let Some(next) = version.0.checked_add(1).map(Version) else {
            return Some(Vec::new());
        };
        // The empty name sorts before all other names.
        let newer = self.changes.range((next, Arc::from(""))..);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }

    /// Returns the memory of the stored changes, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}
