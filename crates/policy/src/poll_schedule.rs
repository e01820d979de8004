//! Pause before the next poll of discovery after a failed call.
//!
//! Unlike an exponential backoff, the pause does not grow: while a node has no list, the node
//! counts as notified of each change a fixed time after the change, so the pause must not exceed
//! that time. Jitter prevents nodes that lost the same discovery together from polling again
//! together.

use crate::api::Timestamp;
use std::time::Duration;

/// Mean pause. After a failed call, the node counts as notified of each change 6 s after discovery
/// had the change. Two further failed calls, with a wait of 2 s in discovery's queue, must fit into
/// this time.
const MEAN_POLL_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Maximum deviation of a pause from the mean, as a fraction of the mean.
const POLL_RETRY_JITTER: f64 = 0.4;
/// Minimum number of mean pauses per maximum poll interval. Without a watch, a node that has not
/// polled for the maximum poll interval counts as notified of all changes.
const MIN_PAUSES_PER_POLL_INTERVAL: u32 = 4;

/// Time of the next poll of discovery.
#[derive(Debug)]
pub(crate) struct PollSchedule {
    next: Option<Timestamp>,
}

impl PollSchedule {
    /// Returns a schedule whose first poll is due immediately.
    pub(crate) fn new() -> Self {
        Self {
            next: Some(Timestamp::default()),
        }
    }

    /// Schedules the next poll after a failed call. `random` is uniform between 0 and 1.
    pub(crate) fn on_failure(&mut self, now: Timestamp, random: f64, max_poll_interval: Duration) {
        let jitter = 1.0 + POLL_RETRY_JITTER * (2.0 * random - 1.0);
        let pause = MEAN_POLL_RETRY_PAUSE.min(max_poll_interval / MIN_PAUSES_PER_POLL_INTERVAL);
        self.next = Some(now + pause.mul_f64(jitter));
    }

    /// Checks whether a poll is due, and removes a due poll from the schedule.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> bool {
        let due = self.next.is_some_and(|at| now >= at);
        if due {
            self.next = None;
        }
        due
    }

    /// Returns the time of the next poll, if a poll is scheduled.
    pub(crate) fn next(&self) -> Option<Timestamp> {
        self.next
    }
}
