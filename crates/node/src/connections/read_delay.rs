//! The time that a request waits unread for a descriptor or for memory.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Delay of a connection's next request before the node begins to read it.
///
/// The deadline that a request states counts from when its client sent it, so the delay is part of
/// it.
#[derive(Debug)]
pub(super) struct ReadDelay {
    /// Completed waits of the request.
    total: Cell<Duration>,
    /// Start of the current wait.
    waiting_since: Cell<Option<Instant>>,
}

impl ReadDelay {
    /// Creates the delay of a connection that has waited this long for its descriptor.
    pub(super) fn new(descriptor_wait: Duration) -> Self {
        Self {
            total: Cell::new(descriptor_wait),
            waiting_since: Cell::new(None),
        }
    }

    /// Starts a wait, unless one has started already.
    pub(super) fn begin_wait(&self, now: Instant) {
        let since = self.waiting_since.get().unwrap_or(now);
        self.waiting_since.set(Some(since));
    }

    /// Ends the current wait, if any.
    pub(super) fn end_wait(&self, now: Instant) {
        if let Some(since) = self.waiting_since.take() {
            self.total.set(self.total.get() + (now - since));
        }
    }

    /// Discards the delay: no byte of the next request has arrived yet.
    pub(super) fn reset(&self) {
        self.total.set(Duration::ZERO);
        self.waiting_since.set(None);
    }

    /// Returns the delay of the request that was read, and resets it.
    pub(super) fn take(&self) -> Duration {
        let total = self.total.get();
        self.reset();
        total
    }
}

#[cfg(test)]
mod tests;
