//! The replica: applies updates from upstream and answers clients.

mod answer;
mod apply;
mod epoch;
mod lease;
mod validation;

pub use answer::{Answer, ListQuery};
pub use apply::ApplyOutcome;
pub use epoch::EPOCH_AMBIGUITY_WINDOW;
pub use lease::Unavailable;
pub use validation::{RejectedUpdate, MAX_LIST_BYTES, UNCONFIRMED_SHRINK_FACTOR};

use crate::history::History;
use crate::message::Version;
use crate::record::EndpointRecord;
use epoch::Epochs;
use lease::Lease;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A call to upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamCall {
    /// Requests a snapshot.
    Snapshot,
    /// Watches for changes after the held version.
    Watch(Version),
    /// Requests the changes after a client's version that is newer than the held version, without a
    /// wait.
    Confirm(Version),
}

/// Reason why a snapshot is needed before another update can be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SnapshotReason {
    /// Upstream's versions regressed.
    VersionRegressed,
    /// A snapshot had far fewer endpoints than the held list, and a second snapshot has to confirm
    /// the decrease.
    Shrunk,
}

/// A version that is unknown to upstream.
#[derive(Clone, Copy, Debug)]
struct UnknownVersion {
    version: Version,
    /// Send time of the call whose answer showed that the version is unknown.
    call_sent_at: Duration,
}

/// A copy of the endpoint list with the history of recent changes.
#[derive(Debug)]
pub struct Replica {
    version: Option<Version>,
    /// Endpoints of the held version by name, without removed endpoints.
    endpoints: BTreeMap<Arc<str>, EndpointRecord>,
    /// Memory of the records in `endpoints`, in bytes.
    endpoint_bytes: usize,
    history: History,
    lease: Lease,
    epochs: Epochs,
    /// Set while only a snapshot can be applied.
    snapshot_reason: Option<SnapshotReason>,
    /// Newest client version that is newer than the held version and not yet confirmed by upstream.
    unconfirmed: Option<Version>,
    /// Whether upstream is known to have a newer version. A watch then fetches the newer version
    /// before a client's version is confirmed.
    upstream_is_ahead: bool,
    /// The last version found to be unknown to upstream.
    unknown: Option<UnknownVersion>,
}

impl Replica {
    /// Creates a replica without a list. Each applied update renews the lease, during which the
    /// replica answers clients.
    pub fn new(lease: Duration) -> Self {
        Self {
            version: None,
            endpoints: BTreeMap::new(),
            endpoint_bytes: 0,
            history: History::default(),
            lease: Lease::new(lease),
            epochs: Epochs::default(),
            snapshot_reason: None,
            unconfirmed: None,
            upstream_is_ahead: false,
            unknown: None,
        }
    }

    /// Returns the held version; `None` before the first list.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Returns the number of endpoints in the held list.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the number of epochs begun: one with the first list, and one each time upstream's
    /// versions regressed or a version was reused.
    pub fn epochs(&self) -> u64 {
        self.epochs.count()
    }

    /// Returns the memory of the changes stored for deltas, in bytes; at most
    /// [`MAX_HISTORY_BYTES`](crate::MAX_HISTORY_BYTES).
    pub fn history_bytes(&self) -> usize {
        self.history.bytes()
    }

    /// Returns the end of the lease; `None` before the first list.
    pub fn lease_expires_at(&self) -> Option<Duration> {
        self.lease.expires_at()
    }

    /// Returns the next call to upstream, which may be a call that confirms a client's version.
    pub fn next_call(&self) -> UpstreamCall {
        match (self.next_list_call(), self.unconfirmed) {
            (UpstreamCall::Watch(_), Some(version)) if !self.upstream_is_ahead => {
                UpstreamCall::Confirm(version)
            }
            (call, _) => call,
        }
    }

    /// Returns the next call to upstream, excluding calls that confirm a client's version.
    pub fn next_list_call(&self) -> UpstreamCall {
        self.version
            .filter(|_| self.snapshot_reason.is_none())
            .map_or(UpstreamCall::Snapshot, UpstreamCall::Watch)
    }

    /// Records that the next call goes to another upstream. The state observed at the previous
    /// upstream does not apply there.
    pub fn upstream_changed(&mut self) {
        self.snapshot_reason = None;
        self.upstream_is_ahead = false;
    }
}
