//! Epochs: periods within which upstream's versions only grow.
//!
//! Upstream begins an epoch when it restarts with lower versions. A number alone does not tell to which epoch a client's
//! version belongs, so for a while after the change every version that an earlier epoch may have used is ambiguous.

use crate::message::Version;
use std::time::Duration;

/// How long after an epoch began the versions of earlier epochs may still be named by clients. Clients that name a version
/// which may be of either epoch get snapshots. A watch lasts 60 s at most, so each client has had an answer of the new epoch
/// by then.
pub const EPOCH_AMBIGUITY_WINDOW: Duration = Duration::from_secs(120);

/// The epochs before the present one.
#[derive(Clone, Copy, Debug)]
struct EarlierEpochs {
    /// The highest version of them that was held here.
    highest: Version,
    /// When the present epoch began.
    ended_at: Duration,
}

/// The present epoch, and what has to be remembered of earlier ones.
#[derive(Debug, Default)]
pub(super) struct Epochs {
    /// Epochs begun.
    count: u64,
    earlier: Option<EarlierEpochs>,
}

impl Epochs {
    /// Number of epochs begun.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Begins an epoch at `now`. `last_version` is the version held until then; `None` for the first epoch.
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

    /// Whether a version that a client names at `now` may be one of an earlier epoch.
    pub(super) fn is_ambiguous(&self, version: Version, now: Duration) -> bool {
        let recent = self
            .earlier
            .filter(|earlier| now.saturating_sub(earlier.ended_at) <= EPOCH_AMBIGUITY_WINDOW);
        recent.is_some_and(|earlier| version <= earlier.highest)
    }

    /// Whether a query that was received at this time came after the change to the present epoch, if there was one.
    pub(super) fn follows_change(&self, received_at: Duration) -> bool {
        self.earlier
            .is_some_and(|earlier| received_at >= earlier.ended_at)
    }
}
