//! Epochs: periods in which upstream's versions only grow.
//!
//! Upstream begins an epoch when it restarts with lower versions. A version number alone does not
//! identify the epoch of a client's version. For some time after the change, every version that an
//! earlier epoch may have used is therefore ambiguous.

use crate::message::Version;
use std::time::Duration;

/// Time after the start of an epoch in which clients may still name versions of earlier epochs.
/// Clients that name an ambiguous version receive snapshots. A watch lasts at most 60 s, so every
/// client has received an answer of the new epoch within this time.
pub const EPOCH_AMBIGUITY_WINDOW: Duration = Duration::from_secs(120);

/// The epochs before the current epoch.
#[derive(Clone, Copy, Debug)]
struct EarlierEpochs {
    /// Highest version of the earlier epochs that this replica held.
    highest: Version,
    /// Time at which the current epoch began.
    ended_at: Duration,
}

/// Number of epochs, with the highest version and the end time of the earlier epochs.
#[derive(Debug, Default)]
pub(super) struct Epochs {
    /// Number of epochs begun.
    count: u64,
    earlier: Option<EarlierEpochs>,
}

impl Epochs {
    /// Returns the number of epochs begun.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Begins an epoch at `now`. `last_version` is the version held until then; `None` for the
    /// first epoch.
    pub(super) fn begin(&mut self, last_version: Option<Version>, now: Duration) {
        self.count += 1;
        let Some(last_version) = last_version else {
            return;
        };
        let highest = self
            .earlier
            .map_or(last_version, |earlier| earlier.highest.max(last_version));
        self.earlier = Some(EarlierEpochs {
            highest,
            ended_at: now,
        });
    }

    /// Returns whether a version that a client names at `now` may belong to an earlier epoch.
    pub(super) fn is_ambiguous(&self, version: Version, now: Duration) -> bool {
        let recent = self
            .earlier
            .filter(|earlier| now.saturating_sub(earlier.ended_at) <= EPOCH_AMBIGUITY_WINDOW);
        recent.is_some_and(|earlier| version <= earlier.highest)
    }

    /// Returns whether `received_at` is at or after the start of the current epoch; false while
    /// there was no earlier epoch.
    pub(super) fn is_in_current_epoch(&self, received_at: Duration) -> bool {
        self.earlier
            .is_some_and(|earlier| received_at >= earlier.ended_at)
    }
}
