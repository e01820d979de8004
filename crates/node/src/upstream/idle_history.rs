//! Timeout of idle connections to endpoints, learnt from the requests lost on reused connections.

use std::time::Duration;
use tokio::time::Instant;

/// Minimum number of requests lost at about the same idle time from which endpoints count as
/// silently dropping connections after that time.
const MIN_DROPS: u32 = 3;
/// Minimum share of requests lost at about the same idle time for the same conclusion. Both
/// minimums must be met.
const MIN_DROP_RATE: f64 = 0.2;
/// Connections also break for causes that are independent of their idle time. Losses count as drops
/// only from this multiple of the loss rate at shorter idle times.
const MIN_DROP_EXCESS: f64 = 3.0;
/// The history is discarded after this time, because the cause of the drops may no longer exist.
pub(super) const HISTORY_LIFETIME: Duration = Duration::from_secs(120);
/// Number of buckets of idle times: one for each power of two of milliseconds, the last one for all
/// idle times above about half a minute.
const BUCKETS: usize = 17;

/// Requests on connections of about the same idle time.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Number of all requests.
    requests: u32,
    /// Number of requests whose connection broke before the response.
    lost: u32,
}

impl Bucket {
    /// Returns the share of lost requests, from 0 to 1; 0 without requests.
    fn loss_rate(self) -> f64 {
        f64::from(self.lost) / f64::from(self.requests.max(1))
    }
}

/// Requests and losses by the idle time of their connections, and the resulting idle timeout.
/// Endpoints state the latest time at which they close idle connections. Some drop connections far
/// earlier without notice, and the next request on such a connection is lost: its class may not
/// allow a retry.
pub(super) struct IdleHistory {
    /// Idle timeout if no drops are known.
    max_idle_timeout: Duration,
    /// Bucket `n` holds the idle times below 2^n ms that belong to no earlier bucket.
    buckets: [Bucket; BUCKETS],
    /// Start of the history.
    since: Instant,
}

impl IdleHistory {
    /// Creates an empty history, whose idle timeout is the maximum.
    pub(super) fn new(max_idle_timeout: Duration, now: Instant) -> Self {
        Self {
            max_idle_timeout,
            buckets: [Bucket::default(); BUCKETS],
            since: now,
        }
    }

    /// Changes the idle timeout that applies if no drops are known.
    pub(super) fn set_max_idle_timeout(&mut self, max_idle_timeout: Duration) {
        self.max_idle_timeout = max_idle_timeout;
    }

    /// Records a request on a connection that had been idle for this time, and whether the request
    /// was lost.
    pub(super) fn record(&mut self, idle_time: Duration, lost: bool, now: Instant) {
        if now - self.since >= HISTORY_LIFETIME {
            *self = Self::new(self.max_idle_timeout, now);
        }
        let bucket = &mut self.buckets[bucket_index(idle_time)];
        bucket.requests += 1;
        bucket.lost += u32::from(lost);
    }

    /// Returns the shortest idle time at which requests are lost to drops; at most the maximum
    /// timeout.
    pub(super) fn idle_timeout(&self) -> Duration {
        let mut shorter_idle_times = Bucket::default();
        for (index, bucket) in self.buckets.iter().enumerate() {
            let min_rate = MIN_DROP_RATE.max(shorter_idle_times.loss_rate() * MIN_DROP_EXCESS);
            let has_drops = bucket.lost >= MIN_DROPS && bucket.loss_rate() >= min_rate;
            if has_drops && shorter_idle_times.requests > 0 {
                return min_idle_time(index).min(self.max_idle_timeout);
            }
            shorter_idle_times.requests += bucket.requests;
            shorter_idle_times.lost += bucket.lost;
        }
        self.max_idle_timeout
    }
}

/// Returns the bucket of an idle time.
fn bucket_index(idle_time: Duration) -> usize {
    let significant_bits = u64::BITS - (idle_time.as_millis() as u64).leading_zeros();
    (significant_bits as usize).min(BUCKETS - 1)
}

/// Returns the shortest idle time of a bucket.
fn min_idle_time(index: usize) -> Duration {
    Duration::from_millis(1 << index >> 1)
}
