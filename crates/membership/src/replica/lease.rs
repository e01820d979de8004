//! The lease: for how long after an applied update the replica may answer.

use std::time::Duration;
use thiserror::Error;

/// Why clients get an error in place of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unavailable {
    /// No list has been applied yet.
    #[error("no list has come from upstream yet")]
    NoList,
    /// The lease has expired.
    #[error("nothing was heard from upstream for {} ms; the lease is {} ms", silent.as_millis(), lease.as_millis())]
    LeaseExpired {
        /// Time since the last applied update was read.
        silent: Duration,
        /// Duration of the lease.
        lease: Duration,
    },
}

/// A lease that each applied update renews.
#[derive(Debug)]
pub(super) struct Lease {
    duration: Duration,
    /// When the last applied update was read.
    renewed_at: Option<Duration>,
}

impl Lease {
    /// Creates a lease that begins with its first renewal.
    pub(super) fn new(duration: Duration) -> Self {
        Self {
            duration,
            renewed_at: None,
        }
    }

    /// Renews the lease from `now` on.
    pub(super) fn renew(&mut self, now: Duration) {
        self.renewed_at = Some(now);
    }

    /// The last moment at which the lease holds; `None` before its first renewal.
    pub(super) fn expires_at(&self) -> Option<Duration> {
        self.renewed_at.map(|renewed_at| renewed_at + self.duration)
    }

    /// Checks that the lease holds at `now`.
    ///
    /// # Errors
    ///
    /// If it was never renewed, or has expired.
    pub(super) fn check(&self, now: Duration) -> Result<(), Unavailable> {
        let renewed_at = self.renewed_at.ok_or(Unavailable::NoList)?;
        let silent = now.saturating_sub(renewed_at);
        if silent > self.duration {
            return Err(Unavailable::LeaseExpired {
                silent,
                lease: self.duration,
            });
        }
        Ok(())
    }
}
