//! Queue model of discovery: a single server that handles calls one after another, each at a
//! configured cost. No I/O and no clock.

use std::time::Duration;

/// Longest queueing time of a call; a call that would have to wait longer is refused.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);

/// Processing costs of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Costs {
    /// Cost of a call, without its entries.
    pub call: Duration,
    /// Cost of one entry written in an answer.
    pub entry: Duration,
}

/// Outcome of a call's arrival in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call is served; its processing ends at this time.
    Served(Duration),
    /// The call is refused at this time, when its queueing time reaches the limit.
    Refused(Duration),
}

/// Queue of calls. Times are offsets from an origin that the caller chooses.
#[derive(Debug)]
pub struct CallQueue {
    costs: Costs,
    free_at: Duration,
    busy: Duration,
}

impl CallQueue {
    /// Returns an empty queue.
    pub fn new(costs: Costs) -> Self {
        Self {
            costs,
            free_at: Duration::ZERO,
            busy: Duration::ZERO,
        }
    }

    /// Enqueues a call that arrives at `now` and is answered at once with this number of entries.
    pub fn enqueue_call(&mut self, now: Duration, entries: usize) -> Admission {
        if self.free_at.saturating_sub(now) > MAX_QUEUE_TIME {
            return Admission::Refused(now + MAX_QUEUE_TIME);
        }
        Admission::Served(self.enqueue_work(now, self.costs.call + self.entries_cost(entries)))
    }

    /// Enqueues the delayed answer to a watch and returns the time at which it is written. The
    /// watch was admitted when its call arrived, so its answer is never refused.
    pub fn enqueue_watch_answer(&mut self, now: Duration, entries: usize) -> Duration {
        self.enqueue_work(now, self.entries_cost(entries))
    }

    /// Returns the total processing time of all work enqueued so far, including unfinished work.
    pub fn busy(&self) -> Duration {
        self.busy
    }

    fn entries_cost(&self, count: usize) -> Duration {
        self.costs
            .entry
            .saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
    }

    fn enqueue_work(&mut self, now: Duration, cost: Duration) -> Duration {
        self.free_at = self.free_at.max(now) + cost;
        self.busy += cost;
        self.free_at
    }
}

#[cfg(test)]
mod tests;
