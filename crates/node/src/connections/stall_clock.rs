//! Detection of stalls: times in which the node did not run.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Longest stall that is ignored: clients and servers allow for it, and the exact arrival of bytes
/// within it is not known.
const STALL_TOLERANCE: Duration = Duration::from_millis(150);

/// Time of the last regular tick, from which a stall is detected.
///
/// A stall is known until the sockets were polled once more: the wait for them may have been
/// interrupted by the end of the stall, and the tick come before the bytes that arrived meanwhile.
#[derive(Debug)]
pub(super) struct StallClock {
    interval: Duration,
    last_tick: Cell<Instant>,
    /// The stall before the last tick, until it is forgotten.
    last_stall: Cell<Duration>,
}

impl StallClock {
    /// Creates a clock that is ticked at this interval.
    pub(super) fn new(interval: Duration) -> Self {
        Self {
            interval,
            last_tick: Cell::new(Instant::now()),
            last_stall: Cell::default(),
        }
    }

    /// Records a tick. Returns whether there was a stall before it.
    pub(super) fn tick(&self, now: Instant) -> bool {
        self.last_stall.set(self.overdue(now));
        self.last_tick.set(now);
        !self.last_stall.get().is_zero()
    }

    /// Forgets the stall before the last tick: what arrived in it was found.
    pub(super) fn forget_stall(&self) {
        self.last_stall.set(Duration::ZERO);
    }

    /// Returns the duration of the stall in which bytes that are found unread now may have waited;
    /// zero if there was none.
    pub(super) fn stall(&self, now: Instant) -> Duration {
        self.overdue(now).max(self.last_stall.get())
    }

    /// Returns the time for which the tick is overdue, if that is more than a stall that is ignored.
    fn overdue(&self, now: Instant) -> Duration {
        let overdue = now
            .saturating_duration_since(self.last_tick.get())
            .saturating_sub(self.interval);
        if overdue > STALL_TOLERANCE {
            overdue
        } else {
            Duration::ZERO
        }
    }
}

#[cfg(test)]
mod tests;
