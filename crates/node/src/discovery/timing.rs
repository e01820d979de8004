//! Timeouts, intervals and backoffs of the discovery client, derived from the rules in `notified`.

use super::notified::{
    NOTIFIED_AFTER_FAILED_CALL, NOTIFIED_AFTER_WATCH_WAIT, QUEUE_LIMIT, WATCH_CONTINUITY_GAP,
};
use std::ops::Range;
use std::time::Duration;

/// A randomized duration: nodes whose calls failed at the same time don't retry at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Jittered {
    /// Midpoint of the range.
    pub mean: Duration,
    /// Half the width of the range, as a fraction of `mean`.
    pub jitter: f64,
}

impl Jittered {
    /// Draws a duration uniformly from the range.
    pub fn draw(self, random: &mut fastrand::Rng) -> Duration {
        self.mean
            .mul_f64(1.0 + self.jitter * (2.0 * random.f64() - 1.0))
    }

    /// Returns the end of the range, in milliseconds.
    const fn longest_millis(self) -> u128 {
        (self.mean.as_millis() as f64 * (1.0 + self.jitter)).ceil() as u128
    }
}

/// Wait that a watch requests; the longest that discovery grants. A stalled watch has to be
/// detected within this time.
pub const WATCH_WAIT: Duration = Duration::from_secs(60);
/// Time from the end of a watch's wait until the watch counts as failed if it was not answered.
pub const WATCH_ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Time from the opening of a watch to its renewal. Watches aren't renewed more often because a
/// call costs discovery, which serves all nodes, as much as dozens of list entries.
pub const WATCH_RENEWAL_INTERVAL: Jittered = Jittered {
    mean: Duration::from_secs(15),
    jitter: 0.2,
};
/// Time to the first renewal, as a fraction of `max_poll_interval`, while discovery hasn't answered
/// any call. If the watch has not reached discovery, the node is notified after
/// `max_poll_interval`. The range is wide so that nodes that start together don't fill discovery's
/// queue together.
pub const FIRST_RENEWAL_FRACTION: Range<f64> = 0.2..0.77;
/// Time after which a renewal that hasn't failed replaces the newest watch. By then discovery has
/// taken the renewal from its queue.
pub const RENEWAL_OVERLAP: Duration = Duration::from_secs(3);
/// Backoff after a renewal that failed early.
pub const RENEWAL_BACKOFF: Jittered = Jittered {
    mean: Duration::from_millis(600),
    jitter: 0.4,
};

/// Wait requested by a poll that checks whether a watch has missed a change. The answer contains
/// every change that discovery had.
pub const CATCH_UP_WAIT: Duration = Duration::from_millis(50);
/// Time from the opening of a watch after a failed call to the poll that verifies the watch. By
/// then discovery has taken the watch from its queue. An earlier poll would double the load of the
/// queue after a failure that affects many nodes.
pub const WATCH_VERIFICATION_DELAY: Jittered = Jittered {
    mean: Duration::from_millis(2100),
    jitter: 0.05,
};
/// Time from the unanswered end of a call to the poll that verifies the open watches. After a
/// change of discovery's address, the first lists of most nodes have left the queue by then.
pub const UNANSWERED_VERIFICATION_DELAY: Jittered = Jittered {
    mean: Duration::from_millis(2000),
    jitter: 0.25,
};
/// Time without an answer after which a poll that verifies a watch is hedged.
pub const VERIFICATION_HEDGE_DELAY: Duration = Duration::from_millis(800);

/// Timeout of a poll. A late answer is still read for `LATE_ANSWER_READ_TIME`.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(2250);
/// How long the client reads the answers to watches and hedged calls after another call's answer
/// has superseded them.
pub const SUPERSEDED_READ_TIME: Duration = RENEWAL_OVERLAP;
/// How long the client reads the answers to timed-out polls, and to all calls to a previous address
/// of discovery.
pub const LATE_ANSWER_READ_TIME: Duration = Duration::from_secs(10);

/// Time after which a failure counts as late: the call waited in discovery's queue or was lost. Two
/// late failures in a row take up most of `NOTIFIED_AFTER_FAILED_CALL`.
pub const LATE_FAILURE_THRESHOLD: Duration = Duration::from_millis(1500);
/// Mean backoff after a late failure.
pub const LATE_FAILURE_BACKOFF: Duration = Duration::from_millis(200);
/// Time without an answer after which the call that follows a late failure is hedged.
pub const LATE_FAILURE_HEDGE_DELAY: Duration = Duration::from_millis(600);

/// Mean backoff after a call that was refused or reset at a new address, before the first list from
/// that address.
pub const ADDRESS_CHANGE_BACKOFF: Duration = Duration::from_millis(500);
/// After an error status (mostly 503), a node whose last answer is more recent than this uses the
/// longer [`RECENT_ANSWER_BACKOFF`]. That leaves discovery's queue to nodes without a recent
/// answer.
pub const RECENT_ANSWER_WINDOW: Duration = Duration::from_secs(1);
/// Backoff after an error status within [`RECENT_ANSWER_WINDOW`] of an answer.
pub const RECENT_ANSWER_BACKOFF: Jittered = Jittered {
    mean: Duration::from_millis(1800),
    jitter: 0.2,
};
/// Mean backoff after repeated failures where lists are pushed, as a fraction of `drain_grace`. The
/// agent serves this node only, so the calls delay no other node.
pub const PUSHED_BACKOFF_DRAIN_GRACE_FRACTION: f64 = 0.4;
/// Jitter of all backoffs that don't specify another value.
pub const BACKOFF_JITTER: f64 = 0.5;

/// An answer without a newer version that arrives within this time did not wait for a change.
pub const EARLY_ANSWER_THRESHOLD: Duration = Duration::from_secs(10);
/// Pause before the call that follows an early or outdated answer. Prevents a busy loop of calls.
pub const EARLY_ANSWER_PAUSE: Duration = Duration::from_millis(50);

const _: () = {
    assert!(WATCH_ANSWER_GRACE.as_millis() < NOTIFIED_AFTER_WATCH_WAIT.as_millis());
    assert!(RENEWAL_OVERLAP.as_millis() > QUEUE_LIMIT.as_millis());
    assert!(POLL_TIMEOUT.as_millis() > QUEUE_LIMIT.as_millis());
    assert!(WATCH_VERIFICATION_DELAY.mean.as_millis() > QUEUE_LIMIT.as_millis());
    assert!(
        WATCH_VERIFICATION_DELAY.longest_millis()
            + VERIFICATION_HEDGE_DELAY.as_millis()
            + POLL_TIMEOUT.as_millis()
            < NOTIFIED_AFTER_FAILED_CALL.as_millis()
    );
    assert!(
        UNANSWERED_VERIFICATION_DELAY.longest_millis()
            + VERIFICATION_HEDGE_DELAY.as_millis()
            + POLL_TIMEOUT.as_millis()
            < NOTIFIED_AFTER_FAILED_CALL.as_millis()
    );
    assert!(EARLY_ANSWER_PAUSE.as_millis() < WATCH_CONTINUITY_GAP.as_millis());
};
