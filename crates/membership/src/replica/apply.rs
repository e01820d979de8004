//! Application of updates from upstream.

use super::{RejectedUpdate, Replica, UnknownVersion, UpstreamCall};
use crate::message::{ListUpdate, Version};
use crate::record::EndpointRecord;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Effect of an applied update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// Whether waiting clients have to be answered.
    pub changed: bool,
    /// Whether a new epoch began, because upstream's versions regressed or a version was reused.
    pub new_epoch: bool,
    /// Number of records replaced by a later record of the same message.
    pub duplicates: usize,
}

impl Replica {
    /// Applies the answer to a call that was sent at `sent_at`. The answer was read at `read_at`.
    ///
    /// # Errors
    ///
    /// If the update must not be applied. The held list and its lease are then unchanged.
    pub fn apply(
        &mut self,
        call: UpstreamCall,
        update: ListUpdate,
        sent_at: Duration,
        read_at: Duration,
    ) -> Result<ApplyOutcome, RejectedUpdate> {
        if let UpstreamCall::Confirm(version) = call {
            self.record_confirmation(version, &update, sent_at);
        }
        self.endpoint_bytes = self.validate(call, &update)?;
        self.snapshot_reason = None;
        self.upstream_is_ahead = false;
        self.lease.renew(read_at);
        self.unconfirmed = self.unconfirmed.filter(|version| *version > update.version);
        Ok(if update.complete {
            self.apply_snapshot(update, read_at)
        } else {
            self.apply_delta(update)
        })
    }

    /// Records the answer to a call that confirms a client's version, even if the update is then
    /// rejected. A client that needs another confirmation queries again.
    fn record_confirmation(&mut self, version: Version, update: &ListUpdate, sent_at: Duration) {
        self.unconfirmed = None;
        if update.version < version {
            self.unknown = Some(UnknownVersion {
                version,
                call_sent_at: sent_at,
            });
        }
    }

    fn apply_snapshot(&mut self, snapshot: ListUpdate, now: Duration) -> ApplyOutcome {
        let version = snapshot.version;
        let record_count = snapshot.records.len();
        // The last record of an endpoint replaces earlier records.
        let mut endpoints: BTreeMap<_, _> = snapshot
            .records
            .into_iter()
            .map(|record| (record.name().clone(), record))
            .collect();
        let duplicates = record_count - endpoints.len();
        endpoints.retain(|_, record| !record.is_removed());
        let changes = self.changes_to(&endpoints);
        let version_reused = self.version == Some(version) && !changes.is_empty();
        let version_regressed = self.version.is_some_and(|held| version < held);
        let new_epoch = version_reused || version_regressed;
        let changed = new_epoch || self.version != Some(version);
        if new_epoch || self.version.is_none() {
            self.epochs.begin(self.version, now);
            self.history.restart(version);
        } else {
            self.history.record(version, changes);
        }
        self.endpoints = endpoints;
        self.version = Some(version);
        ApplyOutcome {
            changed,
            new_epoch,
            duplicates,
        }
    }

    /// Returns the records that change the held endpoints into `endpoints`.
    fn changes_to(&self, endpoints: &BTreeMap<Arc<str>, EndpointRecord>) -> Vec<EndpointRecord> {
        let removed = self
            .endpoints
            .iter()
            .filter(|(name, _)| !endpoints.contains_key(*name))
            .map(|(_, record)| record.to_removed());
        let changed = endpoints
            .iter()
            .filter(|(name, record)| self.endpoints.get(*name) != Some(*record))
            .map(|(_, record)| record.clone());
        removed.chain(changed).collect()
    }

    fn apply_delta(&mut self, delta: ListUpdate) -> ApplyOutcome {
        let changes: Vec<_> = delta.effective_records().cloned().collect();
        let duplicates = delta.records.len() - changes.len();
        let changed = self.version != Some(delta.version) || !changes.is_empty();
        for record in &changes {
            if record.is_removed() {
                self.endpoints.remove(record.name());
            } else {
                self.endpoints.insert(record.name().clone(), record.clone());
            }
        }
        self.history.record(delta.version, changes);
        self.version = Some(delta.version);
        ApplyOutcome {
            changed,
            new_epoch: false,
            duplicates,
        }
    }
}
