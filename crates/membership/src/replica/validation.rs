//! Checks of an update from upstream before any of it is applied.

use super::{Replica, SnapshotReason, UpstreamCall};
use crate::message::{ListUpdate, Version};
use crate::record::EndpointRecord;
use thiserror::Error;

/// A snapshot with fewer endpoints than those held divided by this, or with none, is only applied if the next snapshot is
/// as small: a fault that empties the list would take the whole fleet out of service.
pub const UNCONFIRMED_SHRINK_FACTOR: usize = 2;
/// Upper bound of the memory of the endpoints held, in bytes. An update that would exceed it is rejected. Fifty times the
/// memory of 4,600 endpoints.
pub const MAX_LIST_BYTES: usize = 32 << 20;

/// Why an update was not applied. The list held stays as it is, and [`Replica::next_call`] is another call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectedUpdate {
    /// The update shows that upstream numbers its lists anew.
    #[error("delta {received} does not follow on list {held}: a snapshot is fetched")]
    VersionRegressed {
        /// Version held.
        held: Version,
        /// Version of the update.
        received: Version,
    },
    /// A delta from another version than the one held.
    #[error("delta {received} is based on a version that is not held: another call is made")]
    BaseMismatch {
        /// Version of the update.
        received: Version,
    },
    /// The list would take too much memory. The one held stays until its lease expires.
    #[error("list {received} would take {bytes} bytes: at most {MAX_LIST_BYTES} are kept")]
    TooLarge {
        /// Version of the update.
        received: Version,
        /// Memory of all records that would be held, in bytes.
        bytes: usize,
    },
    /// A snapshot has far fewer endpoints than are held.
    #[error(
        "snapshot {received} has {endpoints} endpoints and list {held} has {held_endpoints}: it is fetched again"
    )]
    Shrunk {
        /// Version held.
        held: Version,
        /// Version of the update.
        received: Version,
        /// Endpoints held.
        held_endpoints: usize,
        /// Endpoints in the update.
        endpoints: usize,
    },
}

impl Replica {
    /// Checks an update, the answer to `call`, and returns the memory of the list once it is applied, in bytes.
    ///
    /// # Errors
    ///
    /// If the update must not be applied. What has to be called for instead is noted.
    pub(super) fn validate(
        &mut self,
        call: UpstreamCall,
        update: &ListUpdate,
    ) -> Result<usize, RejectedUpdate> {
        match (update.complete, self.version) {
            (true, Some(held)) => self.validate_snapshot(update, held)?,
            (true, None) => {}
            (false, held) => self.validate_delta(call, update, held)?,
        }
        let bytes = self.bytes_after(update);
        if bytes > MAX_LIST_BYTES {
            return Err(RejectedUpdate::TooLarge {
                received: update.version,
                bytes,
            });
        }
        Ok(bytes)
    }

    /// Rejects a snapshot that is far smaller than the list held, unless it is the second one in a row.
    fn validate_snapshot(
        &mut self,
        update: &ListUpdate,
        held: Version,
    ) -> Result<(), RejectedUpdate> {
        let endpoints = update
            .effective_records()
            .filter(|record| !record.is_removed())
            .count();
        let held_endpoints = self.endpoints.len();
        let shrunk = endpoints < held_endpoints.div_ceil(UNCONFIRMED_SHRINK_FACTOR);
        if shrunk && self.snapshot_reason != Some(SnapshotReason::Shrunk) {
            self.snapshot_reason = Some(SnapshotReason::Shrunk);
            return Err(RejectedUpdate::Shrunk {
                held,
                received: update.version,
                held_endpoints,
                endpoints,
            });
        }
        Ok(())
    }

    /// Rejects a delta that is not based on the version held, or shows that upstream's versions went back.
    fn validate_delta(
        &mut self,
        call: UpstreamCall,
        update: &ListUpdate,
        held: Option<Version>,
    ) -> Result<(), RejectedUpdate> {
        let received = update.version;
        let Some(held) = held else {
            return Err(RejectedUpdate::BaseMismatch { received });
        };
        let is_below_client = matches!(call, UpstreamCall::Confirm(version) if received < version);
        let version_reused = received == held && !update.records.is_empty();
        if received < held || is_below_client || version_reused {
            self.snapshot_reason = Some(SnapshotReason::VersionRegressed);
            return Err(RejectedUpdate::VersionRegressed { held, received });
        }
        if call != UpstreamCall::Watch(held) {
            self.upstream_is_ahead = received > held;
            return Err(RejectedUpdate::BaseMismatch { received });
        }
        Ok(())
    }

    /// Memory of the records held once this update is applied, in bytes.
    fn bytes_after(&self, update: &ListUpdate) -> usize {
        let added: usize = update
            .effective_records()
            .filter(|record| !record.is_removed())
            .map(EndpointRecord::memory_bytes)
            .sum();
        if update.complete {
            return added;
        }
        let replaced: usize = update
            .effective_records()
            .filter_map(|record| self.endpoints.get(record.name()))
            .map(EndpointRecord::memory_bytes)
            .sum();
        self.endpoint_bytes + added - replaced
    }
}
