//! For how long an idle connection to a server is worth keeping, learnt from those that were lost.

use std::time::Duration;
use tokio::time::Instant;

/// This many requests lost on connections of about the same idle time, and this share of all of them, show that servers
/// drop connections silently after that time.
const MIN_DROPS: u32 = 3;
const MIN_DROP_SHARE: f64 = 0.2;
/// Connections break for other causes as well, whatever their idle time: only losses above this multiple of that rate
/// count as drops.
const MIN_DROP_EXCESS: f64 = 3.0;
/// The history is discarded after this: the cause of the drops may be gone.
pub(super) const HISTORY_LIFETIME: Duration = Duration::from_secs(120);

/// The requests on kept connections and their losses by idle time, and how long an idle connection is kept because of
/// them. Servers state when they close idle connections at the latest; some drop them far earlier without notice, and the
/// next request there is lost: its class may not allow a retry.
pub(super) struct IdleHistory {
    stated: Duration,
    /// Of the idle times under each power of two of milliseconds: requests, and those that met a drop.
    spans: [(u32, u32); Self::SPANS],
    since: Instant,
}

impl IdleHistory {
    /// The last one holds all times over about half a minute.
    const SPANS: usize = 17;

    pub(super) fn new(stated: Duration, now: Instant) -> Self {
        Self {
            stated,
            spans: [(0, 0); Self::SPANS],
            since: now,
        }
    }

    pub(super) fn record(&mut self, idle: Duration, dropped: bool, now: Instant) {
        if now - self.since >= HISTORY_LIFETIME {
            *self = Self::new(self.stated, now);
        }
        let bits = u64::BITS - (idle.as_millis() as u64).leading_zeros();
        let (all, lost) = &mut self.spans[(bits as usize).min(Self::SPANS - 1)];
        *all += 1;
        *lost += u32::from(dropped);
    }

    /// The shortest idle time that costs requests, or what is stated.
    pub(super) fn limit(&self) -> Duration {
        let (mut all, mut lost) = (0, 0);
        for (bits, span) in self.spans.iter().enumerate() {
            let share = f64::from(span.1) / f64::from(span.0.max(1));
            let usual = f64::from(lost) / f64::from(all.max(1));
            if all > 0
                && span.1 >= MIN_DROPS
                && share >= MIN_DROP_SHARE.max(usual * MIN_DROP_EXCESS)
            {
                return Duration::from_millis(1 << bits >> 1).min(self.stated);
            }
            (all, lost) = (all + span.0, lost + span.1);
        }
        self.stated
    }
}
