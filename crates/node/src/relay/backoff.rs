//! Pauses between calls to upstream.

use std::time::Duration;

/// Mean pause after the first round in which all upstream addresses failed.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum pause, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Pause after an answer that was rejected or changed nothing; without the pause, calls would
/// repeat in a busy loop.
pub const UNPRODUCTIVE_CALL_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of doublings; far more than needed to reach [`MAX_BACKOFF`].
const MAX_DOUBLINGS: u32 = 16;

/// Returns the pause after `rounds` rounds, at least one, in which all addresses failed. Jitter
/// changes the pause by up to half.
pub fn pause_after_failed_rounds(rounds: u32, random: &mut fastrand::Rng) -> Duration {
    let jitter = 0.5 + random.f64();
    doubled_pause(INITIAL_BACKOFF, rounds.saturating_sub(1)).mul_f64(jitter)
}

/// Returns the pause after `rejections` consecutive rejected updates, at least one. The call after
/// the first rejection fetches the missing data; if answers continue to be rejected, calls become
/// less frequent.
pub fn pause_after_rejections(rejections: u32) -> Duration {
    doubled_pause(UNPRODUCTIVE_CALL_PAUSE, rejections.saturating_sub(1))
}

fn doubled_pause(pause: Duration, times: u32) -> Duration {
    pause
        .saturating_mul(1 << times.min(MAX_DOUBLINGS))
        .min(MAX_BACKOFF)
}
