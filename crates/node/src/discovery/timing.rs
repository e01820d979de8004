//! Timeouts, intervals and backoffs of the discovery client, each with the rule of `notified` that it follows from.

use super::notified::{
    NOTIFIED_AFTER_FAILED_CALL, NOTIFIED_AFTER_WATCH_WAIT, QUEUE_LIMIT, WATCH_CONTINUITY_GAP,
};
use std::ops::Range;
use std::time::Duration;

/// A duration drawn anew each time, so that nodes which failed together don't call discovery together again.
#[derive(Clone, Copy, Debug)]
pub struct Jittered {
    /// The middle of the range.
    pub mean: Duration,
    /// Half the width of the range, as a fraction of `mean`.
    pub jitter: f64,
}

impl Jittered {
    /// Draws a duration, evenly from the range.
    pub fn draw(self, random: &mut fastrand::Rng) -> Duration {
        self.mean
            .mul_f64(1.0 + self.jitter * (2.0 * random.f64() - 1.0))
    }
}

/// The wait that a watch asks for, the longest that discovery grants. It is the time that a node has for noticing a
/// watch that has fallen silent.
pub const WATCH_WAIT: Duration = Duration::from_secs(60);
/// A watch without an answer so long after its wait is over has failed.
pub const WATCH_ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Time from the opening of a watch to its renewal. A call costs discovery, which serves all nodes, as much as dozens of
/// entries of a list, so watches aren't renewed more often.
pub const WATCH_RENEWAL_INTERVAL: Jittered = Jittered {
    mean: Duration::from_secs(15),
    jitter: 0.2,
};
/// Time to the first renewal, as a fraction of `max_poll_interval`, while discovery hasn't answered any call: the watch may
/// not have reached it, and then the node is notified after `max_poll_interval`. The range is wide because nodes that start
/// together would otherwise stand in discovery's queue together.
pub const FIRST_RENEWAL_FRACTION: Range<f64> = 0.2..0.77;
/// A renewal that hasn't failed within this time has been processed from discovery's queue and replaces the newest watch.
pub const RENEWAL_OVERLAP: Duration = Duration::from_secs(3);
/// Backoff between renewals, after one that failed early.
pub const RENEWAL_BACKOFF: Jittered = Jittered {
    mean: Duration::from_millis(600),
    jitter: 0.4,
};

/// The wait that a poll asks for which finds out whether a watch has missed a change. With its answer the node has every
/// change that discovery had.
pub const CATCH_UP_WAIT: Duration = Duration::from_millis(50);
/// Time from the opening of a watch after a failed call to the poll that verifies it. By then the watch has been
/// processed from discovery's queue; an earlier poll would double the queue's load after a failure that many nodes share.
pub const WATCH_VERIFICATION_DELAY: Jittered = Jittered {
    mean: Duration::from_millis(2100),
    jitter: 0.05,
};
/// A poll that verifies a watch is hedged after this time without an answer.
pub const VERIFICATION_HEDGE_DELAY: Duration = Duration::from_millis(800);

/// A poll without an answer after this time has failed. It is read on for `LATE_ANSWER_READ_TIME`.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(2250);
/// The answers to watches and hedged calls that another call's answer made superfluous are read for so long.
pub const SUPERSEDED_READ_TIME: Duration = RENEWAL_OVERLAP;
/// The answers to polls that timed out, and to all calls at an address that discovery has left, are read for so long.
pub const LATE_ANSWER_READ_TIME: Duration = Duration::from_secs(10);

/// A call that fails after this time has waited in discovery's queue or was lost. Two such failures in a row take up most
/// of `NOTIFIED_AFTER_FAILED_CALL`.
pub const LATE_FAILURE_THRESHOLD: Duration = Duration::from_millis(1500);
/// Mean backoff after a late failure.
pub const LATE_FAILURE_BACKOFF: Duration = Duration::from_millis(200);
/// The call after a late failure is hedged after this time without an answer.
pub const LATE_FAILURE_HEDGE_DELAY: Duration = Duration::from_millis(600);

/// Mean backoff after a call that was refused or reset at a new address, while no list has come from there.
pub const ADDRESS_CHANGE_BACKOFF: Duration = Duration::from_millis(500);
/// After an error status (mostly 503), a node answered within this time uses the longer [`RECENT_ANSWER_BACKOFF`]: it
/// leaves discovery's queue to nodes that were not.
pub const RECENT_ANSWER_WINDOW: Duration = Duration::from_secs(1);
/// Backoff after an error status within [`RECENT_ANSWER_WINDOW`] of an answer.
pub const RECENT_ANSWER_BACKOFF: Jittered = Jittered {
    mean: Duration::from_millis(1800),
    jitter: 0.2,
};
/// Mean backoff after repeated failures where lists are pushed, as a fraction of `drain_grace`. The agent is the node's
/// own, so that nobody else waits for its turn there.
pub const PUSHED_BACKOFF_DRAIN_GRACE_FRACTION: f64 = 0.4;
/// Jitter of all backoffs that don't state another.
pub const BACKOFF_JITTER: f64 = 0.5;

/// An answer without a newer version that comes earlier than this didn't wait for a change.
pub const EARLY_ANSWER_THRESHOLD: Duration = Duration::from_secs(10);
/// Pause before the call that follows an early or outdated answer: without it calls would spin.
pub const EARLY_ANSWER_PAUSE: Duration = Duration::from_millis(50);

const _: () = {
    assert!(WATCH_ANSWER_GRACE.as_millis() < NOTIFIED_AFTER_WATCH_WAIT.as_millis());
    assert!(RENEWAL_OVERLAP.as_millis() > QUEUE_LIMIT.as_millis());
    assert!(POLL_TIMEOUT.as_millis() > QUEUE_LIMIT.as_millis());
    assert!(WATCH_VERIFICATION_DELAY.mean.as_millis() > QUEUE_LIMIT.as_millis());
    assert!(
        WATCH_VERIFICATION_DELAY.mean.as_millis()
            + VERIFICATION_HEDGE_DELAY.as_millis()
            + POLL_TIMEOUT.as_millis()
            < NOTIFIED_AFTER_FAILED_CALL.as_millis()
    );
    assert!(EARLY_ANSWER_PAUSE.as_millis() < WATCH_CONTINUITY_GAP.as_millis());
};
