//! Validation of updates from upstream before they are applied.

use super::{Replica, SnapshotReason, UpstreamCall};
use crate::message::{ListUpdate, Version};
use crate::record::EndpointRecord;
use thiserror::Error;

/// A snapshot is rejected if it has no endpoints, or fewer than the number of held endpoints
/// divided by this factor; a second such snapshot in a row is applied. Otherwise a fault that
/// empties the list would take the whole fleet out of service.
pub const UNCONFIRMED_SHRINK_FACTOR: usize = 2;
/// Maximum memory of the held endpoints, in bytes. An update that would exceed this limit is
/// rejected. The limit is fifty times the memory of 4,600 endpoints.
pub const MAX_LIST_BYTES: usize = 32 << 20;

/// Reason why an update was not applied. The held list is unchanged, and [`Replica::next_call`]
/// returns another call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectedUpdate {
    /// The update shows that upstream has restarted its version numbers.
    #[error("delta {received} does not follow held list {held}: fetching a snapshot")]
    VersionRegressed {
        /// Held version.
        held: Version,
        /// Version of the update.
        received: Version,
    },
    /// The delta is based on a version other than the held version.
    #[error(
        "delta {received} is based on a version other than the held one: calling upstream again"
    )]
    BaseMismatch {
        /// Version of the update.
        received: Version,
    },
    /// The list would take too much memory. The held list is served until its lease expires.
    #[error(
        "list {received} would take {bytes} bytes, more than the limit of {MAX_LIST_BYTES} bytes"
    )]
    TooLarge {
        /// Version of the update.
        received: Version,
        /// Memory of all records after the update, in bytes.
        bytes: usize,
    },
    /// The snapshot has far fewer endpoints than the held list.
    #[error(
        "snapshot {received} has {endpoints} endpoints, held list {held} has {held_endpoints}: fetching the snapshot again"
    )]
    Shrunk {
        /// Held version.
        held: Version,
        /// Version of the update.
        received: Version,
        /// Number of held endpoints.
        held_endpoints: usize,
        /// Number of endpoints in the update.
        endpoints: usize,
    },
}

impl Replica {
    /// Checks an update, the answer to `call`. Returns the memory of the list after the update, in
    /// bytes.
    ///
    /// # Errors
    ///
    /// If the update must not be applied. The state for the next call to upstream is then updated.
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

    /// Rejects a snapshot that is far smaller than the held list, unless it is the second such
    /// snapshot in a row.
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

    /// Rejects a delta that is not based on the held version, or that shows a regression of
    /// upstream's versions.
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

    /// Returns the memory of the held records after this update, in bytes.
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
