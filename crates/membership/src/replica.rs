//! The replica: updates from upstream go in, answers to clients come out.

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
    /// For a snapshot.
    Snapshot,
    /// A watch for what is newer than the version held.
    Watch(Version),
    /// For what is newer than a version that a client has and this replica has not, without a wait.
    Confirm(Version),
}

/// Why a snapshot is needed before another update can be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SnapshotReason {
    /// Upstream's versions went back.
    VersionRegressed,
    /// A snapshot had far fewer endpoints than are held, and a second one has to confirm that.
    Shrunk,
}

/// A version that upstream did not know.
#[derive(Clone, Copy, Debug)]
struct UnknownVersion {
    version: Version,
    /// Send time of the call that revealed it.
    call_sent_at: Duration,
}

/// A copy of the endpoint list with its recent changes.
#[derive(Debug)]
pub struct Replica {
    version: Option<Version>,
    /// The endpoints of the version held, by name; none of them is removed.
    endpoints: BTreeMap<Arc<str>, EndpointRecord>,
    /// Memory of the records in `endpoints`, in bytes.
    endpoint_bytes: usize,
    history: History,
    lease: Lease,
    epochs: Epochs,
    /// Set while only a snapshot can be applied.
    snapshot_reason: Option<SnapshotReason>,
    /// The newest version that a client has and this replica has not.
    unconfirmed: Option<Version>,
    /// Upstream has shown that it is ahead: a watch fetches what is newer there before a version is confirmed.
    upstream_is_ahead: bool,
    /// The last version that upstream turned out not to know.
    unknown: Option<UnknownVersion>,
}

impl Replica {
    /// Creates a replica without a list. Each applied update allows it to answer for the duration of the lease.
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

    /// The version held; `None` before the first list.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Number of endpoints in the list held.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Epochs begun: one with the first list, and one each time upstream's versions went back.
    pub fn epochs(&self) -> u64 {
        self.epochs.count()
    }

    /// Memory of the changes kept for deltas, in bytes; at most [`MAX_HISTORY_BYTES`](crate::MAX_HISTORY_BYTES).
    pub fn history_bytes(&self) -> usize {
        self.history.bytes()
    }

    /// The last moment of the lease; `None` before the first list.
    pub fn lease_expires_at(&self) -> Option<Duration> {
        self.lease.expires_at()
    }

    /// The next call to make upstream, which may be one that confirms a client's version.
    pub fn next_call(&self) -> UpstreamCall {
        match (self.next_list_call(), self.unconfirmed) {
            (UpstreamCall::Watch(_), Some(version)) if !self.upstream_is_ahead => {
                UpstreamCall::Confirm(version)
            }
            (call, _) => call,
        }
    }

    /// The next call to make upstream while no client's version may be confirmed.
    pub fn next_list_call(&self) -> UpstreamCall {
        self.version
            .filter(|_| self.snapshot_reason.is_none())
            .map_or(UpstreamCall::Snapshot, UpstreamCall::Watch)
    }

    /// Notes that the next call goes to another upstream, of which the state of the previous one says nothing.
    pub fn upstream_changed(&mut self) {
        self.snapshot_reason = None;
        self.upstream_is_ahead = false;
    }
}
