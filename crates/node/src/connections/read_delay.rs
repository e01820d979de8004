//! The time that bytes wait unread: for a descriptor, for the connection's turn, or while the node
//! is held up.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Delay of the bytes that a connection reads next.
///
/// The deadline that a request states counts from when its client sent it, so the delay is part of
/// it.
#[derive(Debug)]
pub(super) struct ReadDelay {
    /// Completed waits of the bytes.
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

    /// Raises the delay to this time, if it is shorter.
    pub(super) fn at_least(&self, delay: Duration) {
        self.total.set(self.total.get().max(delay));
    }

    /// Discards the delay: all bytes that have arrived were read.
    pub(super) fn reset(&self) {
        self.total.set(Duration::ZERO);
        self.waiting_since.set(None);
    }

    /// Returns the time at which bytes that were read at `now` would have been read without the
    /// delay. Later bytes may have waited for as long, until [`Self::reset`] is called.
    pub(super) fn arrival_before(&self, now: Instant) -> Instant {
        now.checked_sub(self.total.get()).unwrap_or(now)
    }
}

#[cfg(test)]
mod tests;
