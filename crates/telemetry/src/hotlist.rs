//! The most requested keys of each class, counted in bounded memory and printed when a signal
//! arrives.

mod key;
mod report;
mod space_saving;

use crate::error::TelemetryError;
use crate::writer::{BoundedSender, Writer};
use report::print_list;
use slatelink_policy::{ClassId, Name};
use space_saving::{HotKeys, MAX_ENTRY_BYTES};
use std::cell::RefCell;
use std::fs::File;
use std::io::BufWriter;
use std::time::Duration;
use tokio::time::Instant;

/// Memory limit of all lists together with the copy being printed.
const MAX_MEMORY_BYTES: usize = 1_000_000;
/// Copies of each list in memory: the live one and the one being printed.
const COPIES: usize = 2;

/// The hot list of one class.
#[derive(Clone, Debug)]
struct ClassList {
    class: Name,
    keys: HotKeys,
}

impl ClassList {
    fn new(class: &Name, capacity: usize, window: Duration) -> Self {
        Self {
            class: class.clone(),
            keys: HotKeys::new(capacity, window),
        }
    }
}

/// Counts the keys of requests by class.
pub struct HotList {
    started_at: Instant,
    /// Time window over which rates are averaged.
    window: Duration,
    /// Configured number of keys of each class.
    capacity: usize,
    lists: RefCell<Vec<ClassList>>,
    sender: BoundedSender,
}

impl HotList {
    /// Creates a list of `capacity` keys for each class, with rates averaged over `window`. Fails
    /// if the lists would exceed the memory limit.
    pub fn new(
        capacity: usize,
        window: Duration,
        classes: &[Name],
        writer: &Writer,
    ) -> Result<Self, TelemetryError> {
        let max_capacity = max_capacity(classes.len());
        if capacity > max_capacity {
            return Err(TelemetryError::HotListCapacity {
                capacity,
                max_capacity,
            });
        }
        let list = |class| ClassList::new(class, capacity, window);
        Ok(Self {
            started_at: Instant::now(),
            window,
            capacity,
            lists: RefCell::new(classes.iter().map(list).collect()),
            // One print at a time: another print requested meanwhile would add nothing.
            sender: writer.sender(1),
        })
    }

    /// See [`crate::Telemetry::classes_changed`]. A new class gets a list of the configured capacity,
    /// or of what the other lists leave of the memory.
    pub fn classes_changed(&self, classes: &[Name]) {
        let lists = &mut *self.lists.borrow_mut();
        lists.truncate(classes.len());
        let mut kept: Vec<_> = std::mem::take(lists).into_iter().map(Some).collect();
        kept.resize(classes.len(), None);
        for (kept, class) in kept.iter_mut().zip(classes) {
            kept.take_if(|list| list.class != *class);
        }
        let used: usize = kept.iter().flatten().map(|list| list.keys.capacity()).sum();
        let mut left = max_capacity(1).saturating_sub(used);
        for (kept, class) in kept.into_iter().zip(classes) {
            let list = kept.unwrap_or_else(|| {
                let capacity = self.capacity.min(left);
                left -= capacity;
                ClassList::new(class, capacity, self.window)
            });
            lists.push(list);
        }
    }

    /// Counts a received request for this key.
    pub fn request_received(&self, class: ClassId, key: &str) {
        if let Some(list) = self.lists.borrow_mut().get_mut(class.0) {
            list.keys.count(key, Instant::now());
        }
    }

    /// Writes the current state of all lists to standard error. Does nothing while another print is
    /// queued or running.
    pub fn print(&self) {
        let lists = self.lists.borrow().clone();
        let now = Instant::now();
        let averaging_seconds = averaging_seconds(now - self.started_at, self.window);
        self.sender.try_send(move |stderr: &mut File| {
            let mut out = BufWriter::new(stderr);
            // A write error cannot be reported anywhere.
            let _ = lists
                .into_iter()
                .try_for_each(|list| print_list(&mut out, list, averaging_seconds, now));
        });
    }
}

/// Returns the maximum number of keys for each of `classes` classes that fits in the memory limit.
fn max_capacity(classes: usize) -> usize {
    MAX_MEMORY_BYTES / (COPIES * MAX_ENTRY_BYTES * classes.max(1))
}

/// Returns the effective averaging time in seconds at `elapsed`, the time since the start. A
/// decayed count divided by the averaging time gives requests per second. The averaging time
/// approaches the window; it is shorter at first because rates can only be averaged over the time
/// elapsed so far.
fn averaging_seconds(elapsed: Duration, window: Duration) -> f64 {
    let elapsed = elapsed.as_secs_f64().max(1.0);
    let window = window.as_secs_f64();
    window * -(-elapsed / window).exp_m1()
}

#[cfg(test)]
mod tests;
