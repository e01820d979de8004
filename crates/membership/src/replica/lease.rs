//! The lease: the time after an applied update during which the replica may answer.

use std::time::Duration;
use thiserror::Error;

/// Reason why clients receive an error instead of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unavailable {
    /// No list has been applied yet.
    #[error("no list has come from upstream yet")]
    NoList,
    /// The lease has expired.
    #[error("nothing was heard from upstream for {} ms; the lease is {} ms", since_renewal.as_millis(), lease.as_millis())]
    LeaseExpired {
        /// Time since the last applied update was read.
        since_renewal: Duration,
        /// Duration of the lease.
        lease: Duration,
    },
}

/// A lease that is renewed by each applied update.
#[derive(Debug)]
pub(super) struct Lease {
    duration: Duration,
    /// Time at which the last applied update was read.
    renewed_at: Option<Duration>,
}

impl Lease {
    /// Creates a lease that starts with its first renewal.
    pub(super) fn new(duration: Duration) -> Self {
        Self {
            duration,
            renewed_at: None,
        }
    }

    /// Renews the lease at `now`.
    pub(super) fn renew(&mut self, now: Duration) {
        self.renewed_at = Some(now);
    }

    /// Returns the last time at which the lease is valid; `None` before the first renewal.
    pub(super) fn expires_at(&self) -> Option<Duration> {
        self.renewed_at.map(|renewed_at| renewed_at + self.duration)
    }

    /// Checks that the lease is valid at `now`.
    ///
    /// # Errors
    ///
    /// If the lease was never renewed, or has expired.
    pub(super) fn check(&self, now: Duration) -> Result<(), Unavailable> {
        let renewed_at = self.renewed_at.ok_or(Unavailable::NoList)?;
        let since_renewal = now.saturating_sub(renewed_at);
        if since_renewal > self.duration {
            return Err(Unavailable::LeaseExpired {
                since_renewal,
                lease: self.duration,
            });
        }
        Ok(())
    }
}
