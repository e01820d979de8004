//! For how long an idle connection to an endpoint is worth keeping, learnt from the requests lost on those that were kept.

use std::time::Duration;
use tokio::time::Instant;

/// Fewest requests lost on connections of about the same idle time that show that endpoints drop connections silently after
/// that time.
const MIN_DROPS: u32 = 3;
/// Least rate of requests lost among all on connections of about the same idle time that shows the same; both must be met.
const MIN_DROP_RATE: f64 = 0.2;
/// Connections break for other causes as well, whatever their idle time: only losses above this multiple of that rate
/// count as drops.
const MIN_DROP_EXCESS: f64 = 3.0;
/// The history is discarded after this: the cause of the drops may be gone.
pub(super) const HISTORY_LIFETIME: Duration = Duration::from_secs(120);
/// The buckets of idle times: one for each power of two of milliseconds, the last for all above about half a minute.
const BUCKETS: usize = 17;

/// The requests on connections of about the same idle time.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// All of them.
    requests: u32,
    /// Those whose connection broke before their response.
    lost: u32,
}

impl Bucket {
    /// Requests lost among all, from 0 to 1; 0 without requests.
    fn loss_rate(self) -> f64 {
        f64::from(self.lost) / f64::from(self.requests.max(1))
    }
}

/// The requests and their losses by the idle time of their connections, and the idle timeout that follows from them.
/// Endpoints state when they close idle connections at the latest; some drop them far earlier without notice, and the
/// next request there is lost: its class may not allow a retry.
pub(super) struct IdleHistory {
    /// The idle timeout where no drops are known.
    max_idle_timeout: Duration,
    /// Bucket `n` holds the idle times under 2^n ms that the buckets before do not.
    buckets: [Bucket; BUCKETS],
    /// When the history began.
    since: Instant,
}

impl IdleHistory {
    /// No history: the idle timeout is the longest.
    pub(super) fn new(max_idle_timeout: Duration, now: Instant) -> Self {
        Self {
            max_idle_timeout,
            buckets: [Bucket::default(); BUCKETS],
            since: now,
        }
    }

    /// Records a request on a connection that had been idle for so long, and whether it was lost.
    pub(super) fn record(&mut self, idle_time: Duration, lost: bool, now: Instant) {
        if now - self.since >= HISTORY_LIFETIME {
            *self = Self::new(self.max_idle_timeout, now);
        }
        let bucket = &mut self.buckets[bucket_index(idle_time)];
        bucket.requests += 1;
        bucket.lost += u32::from(lost);
    }

    /// The shortest idle time that costs requests, at most the longest timeout.
    pub(super) fn idle_timeout(&self) -> Duration {
        let mut shorter = Bucket::default();
        for (index, bucket) in self.buckets.iter().enumerate() {
            let min_rate = MIN_DROP_RATE.max(shorter.loss_rate() * MIN_DROP_EXCESS);
            let drops = bucket.lost >= MIN_DROPS && bucket.loss_rate() >= min_rate;
            if drops && shorter.requests > 0 {
                return min_idle_time(index).min(self.max_idle_timeout);
            }
            shorter.requests += bucket.requests;
            shorter.lost += bucket.lost;
        }
        self.max_idle_timeout
    }
}

/// The bucket that an idle time belongs to.
fn bucket_index(idle_time: Duration) -> usize {
    let significant_bits = u64::BITS - (idle_time.as_millis() as u64).leading_zeros();
    (significant_bits as usize).min(BUCKETS - 1)
}

/// The shortest idle time of a bucket.
fn min_idle_time(index: usize) -> Duration {
    Duration::from_millis(1 << index >> 1)
}
