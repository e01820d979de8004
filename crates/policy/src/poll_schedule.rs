//! The pause before discovery is polled again after a call that failed.
//!
//! Unlike an exponential backoff the pause does not grow: while a node has no list it counts as
//! notified of each change a fixed time after it, so it must not stay away for longer. Jitter keeps
//! nodes that lost the same discovery together from coming back together.

use crate::api::Timestamp;
use std::time::Duration;

/// Mean pause. A call that failed makes each change count as notified 6 s after discovery had it:
/// two further ones that fail, with a wait of 2 s in discovery's queue, must fit into that.
const POLL_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// A pause differs from the mean by up to this part of it.
const POLL_RETRY_JITTER: f64 = 0.4;
/// Without a watch, a node that has not polled for the longest poll interval counts as notified: a
/// pause is at most this part of that interval.
const PAUSES_PER_POLL_INTERVAL: u32 = 4;

/// When discovery is to be polled next.
#[derive(Debug)]
pub(crate) struct PollSchedule {
    next: Option<Timestamp>,
}

impl PollSchedule {
    /// The first poll is due at once.
    pub(crate) fn new() -> Self {
        Self {
            next: Some(Timestamp::default()),
        }
    }

    /// Takes in that a call failed. `random` is uniform between 0 and 1.
    pub(crate) fn on_failure(&mut self, now: Timestamp, random: f64, max_poll_interval: Duration) {
        let jitter = 1.0 + POLL_RETRY_JITTER * (2.0 * random - 1.0);
        let pause = POLL_RETRY_PAUSE.min(max_poll_interval / PAUSES_PER_POLL_INTERVAL);
        self.next = Some(now + pause.mul_f64(jitter));
    }

    /// Whether a poll is due; if so it is taken as made.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> bool {
        let due = self.next.is_some_and(|at| now >= at);
        if due {
            self.next = None;
        }
        due
    }

    /// When the next poll is due, if one is to be made.
    pub(crate) fn next(&self) -> Option<Timestamp> {
        self.next
    }
}
