//! Pauses before further calls to upstream.

use std::time::Duration;

/// The mean pause after the first round in which all upstream addresses failed.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of the pauses, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// The pause before the next call after an answer that was rejected or changed nothing: calls would spin without it.
pub const UNPRODUCTIVE_CALL_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of the doublings; far more than it takes to reach [`MAX_BACKOFF`].
const MAX_DOUBLINGS: u32 = 16;

/// The pause after this many rounds, at least one, in which all addresses failed, give or take half of it.
pub fn after_failed_rounds(rounds: u32, random: &mut fastrand::Rng) -> Duration {
    let jitter = 0.5 + random.f64();
    doubled(INITIAL_BACKOFF, rounds.saturating_sub(1)).mul_f64(jitter)
}

/// The pause after this many rejected updates in a row, at least one. The call after the first one fetches what was
/// missing; calls whose answers go on being rejected come less and less often.
pub fn after_rejections(rejections: u32) -> Duration {
    doubled(UNPRODUCTIVE_CALL_PAUSE, rejections.saturating_sub(1))
}

fn doubled(pause: Duration, times: u32) -> Duration {
    pause
        .saturating_mul(1 << times.min(MAX_DOUBLINGS))
        .min(MAX_BACKOFF)
}
