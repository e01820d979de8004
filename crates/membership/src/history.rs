//! The changes of the last versions, one for each server, within bounds.

use crate::message::{EndpointRecord, Version};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Changes are kept up to so many bytes; beyond that the oldest are dropped, and a caller that is behind them gets the
/// whole list. A release that changes all of 4,600 servers takes about 1 MiB.
pub const MAX_HISTORY_BYTES: usize = 2 << 20;
/// Versions that a caller may name are kept up to this number.
pub const MAX_HISTORY_VERSIONS: usize = 1 << 16;

/// The newest change of each server that changed since the oldest version kept.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// By the version that has them.
    changes: BTreeMap<(Version, Arc<str>), EndpointRecord>,
    /// Each server's key in `changes`.
    changed_at: HashMap<Arc<str>, Version>,
    /// Versions that this replica itself held: what changed since one of these is known. Another one in between may have
    /// had a state that came and went.
    held: BTreeSet<Version>,
    bytes: usize,
}

impl History {
    /// Forgets everything; from here on only this version is known.
    pub(crate) fn restart(&mut self, version: Version) {
        *self = Self::default();
        self.held.insert(version);
    }

    /// A version with these changes is held now. It is not older than the one before.
    pub(crate) fn record(
        &mut self,
        version: Version,
        changes: impl IntoIterator<Item = EndpointRecord>,
    ) {
        for record in changes {
            self.replace(version, record);
        }
        self.held.insert(version);
        while self.bytes > MAX_HISTORY_BYTES {
            self.drop_oldest_change();
        }
        while self.held.len() > MAX_HISTORY_VERSIONS {
            self.held.pop_first();
        }
    }

    fn replace(&mut self, version: Version, record: EndpointRecord) {
        let host = record.host().clone();
        self.bytes += record.bytes();
        if let Some(before) = self.changed_at.insert(host.clone(), version) {
            if let Some(old) = self.changes.remove(&(before, host.clone())) {
                self.bytes -= old.bytes();
            }
        }
        self.changes.insert((version, host), record);
    }

    /// Who is behind a change that is dropped cannot be told by changes any more.
    fn drop_oldest_change(&mut self) {
        let Some(((version, host), record)) = self.changes.pop_first() else {
            return;
        };
        self.changed_at.remove(&host);
        self.bytes -= record.bytes();
        self.held = self.held.split_off(&version);
    }

    /// Whether what changed since a version is known.
    pub(crate) fn holds(&self, version: Version) -> bool {
        self.held.contains(&version)
    }

    /// What changed since a version, the newest state of each server; `None` where that is not known.
    pub(crate) fn since(&self, version: Version) -> Option<Vec<EndpointRecord>> {
        if !self.holds(version) {
            return None;
        }
        // No name sorts before the empty one; after the last version there is nothing.
        let Some(next) = version.0.checked_add(1).map(Version) else {
            return Some(Vec::new());
        };
        let newer = self.changes.range((next, Arc::from(""))..);
        Some(newer.map(|(_, record)| record.clone()).collect())
    }

    /// Bytes of the changes that are kept.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}
