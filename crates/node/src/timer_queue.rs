//! A queue of timers, each of which expires at a given time.

use std::collections::BTreeSet;
use std::future::pending;
use tokio::time::{sleep_until, Instant};

/// Timers in the order of their times, and at equal times in the order of `T`. Setting or canceling
/// a timer costs O(log n).
///
/// A timer that is set twice for the same time is stored once.
#[derive(Debug)]
pub struct TimerQueue<T> {
    timers: BTreeSet<(Instant, T)>,
}

impl<T: Ord> TimerQueue<T> {
    /// Creates an empty queue.
    pub const fn new() -> Self {
        Self {
            timers: BTreeSet::new(),
        }
    }

    /// Sets a timer for a point in time.
    pub fn schedule(&mut self, at: Instant, timer: T) {
        self.timers.insert((at, timer));
    }

    /// Removes the timer that is set for this time, if there is one.
    pub fn cancel(&mut self, at: Instant, timer: T) {
        self.timers.remove(&(at, timer));
    }

    /// Removes and returns the earliest timer if its time is not after `now`.
    pub fn pop_expired(&mut self, now: Instant) -> Option<T> {
        let (at, _) = self.timers.first()?;
        if *at > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// Waits until the time of the earliest timer; forever if there is none.
    pub async fn next_expiry(&self) {
        let earliest = self.timers.first().map(|(at, _)| *at);
        sleep_until_some(earliest).await;
    }
}

/// Waits until a point in time; forever if there is none.
pub async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => pending().await,
    }
}

#[cfg(test)]
mod tests;
