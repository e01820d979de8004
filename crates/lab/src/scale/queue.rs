//! Discovery's time: one service that handles calls in turn, each with a stated cost. No I/O and no clock.

use std::time::Duration;

/// A call that would have to wait longer than this for its turn is turned away.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);

/// What discovery's work costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Costs {
    /// A call.
    pub call: Duration,
    /// An entry that is written.
    pub entry: Duration,
}

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The work is done then.
    Served(Duration),
    /// The call has waited for too long then, and is turned away.
    Refused(Duration),
}

/// The queue; times are counted from any origin.
#[derive(Debug)]
pub struct CallQueue {
    costs: Costs,
    free_at: Duration,
    busy: Duration,
}

impl CallQueue {
    /// An empty queue.
    pub fn new(costs: Costs) -> Self {
        Self {
            costs,
            free_at: Duration::ZERO,
            busy: Duration::ZERO,
        }
    }

    /// A call that comes now and that so many entries answer at once: its turn, or the end of its patience.
    pub fn call(&mut self, now: Duration, entries: usize) -> Admission {
        if self.free_at.saturating_sub(now) > MAX_QUEUE_TIME {
            return Admission::Refused(now + MAX_QUEUE_TIME);
        }
        Admission::Served(self.work(now, self.costs.call + self.entries(entries)))
    }

    /// News of so many entries for a watch: when it is written. The watch has had its turn as a call, so it is not
    /// turned away.
    pub fn news(&mut self, now: Duration, entries: usize) -> Duration {
        self.work(now, self.entries(entries))
    }

    /// All the time that was spent on work, or is to be.
    pub fn busy(&self) -> Duration {
        self.busy
    }

    fn entries(&self, count: usize) -> Duration {
        self.costs
            .entry
            .saturating_mul(u32::try_from(count).unwrap_or(u32::MAX))
    }

    fn work(&mut self, now: Duration, cost: Duration) -> Duration {
        self.free_at = self.free_at.max(now) + cost;
        self.busy += cost;
        self.free_at
    }
}

#[cfg(test)]
mod tests;
