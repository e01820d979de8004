//! The hottest keys of each class of requests, counted in bounded memory and printed at a signal.

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

/// All lists, and the copy of them that is being printed.
const MAX_MEMORY_BYTES: usize = 1_000_000;
/// Copies of each list in memory: the live one and the one being printed.
const COPIES: usize = 2;

/// The list of one class.
#[derive(Clone, Debug)]
struct ClassList {
    class: Name,
    keys: HotKeys,
}

/// Counts the keys of requests by class.
pub struct HotList {
    started_at: Instant,
    /// Rates are averaged over this.
    window: Duration,
    lists: RefCell<Vec<ClassList>>,
    sender: BoundedSender,
}

impl HotList {
    /// A list of `capacity` keys for each class, whose rates are averaged over `window`. More than fit the memory is an error.
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
        let list = |class: &Name| ClassList {
            class: class.clone(),
            keys: HotKeys::new(capacity, window),
        };
        Ok(Self {
            started_at: Instant::now(),
            window,
            lists: RefCell::new(classes.iter().map(list).collect()),
            // One print at a time: another signal meanwhile adds nothing.
            sender: writer.sender(1),
        })
    }

    /// A request for this key was received.
    pub fn request_received(&self, class: ClassId, key: &str) {
        if let Some(list) = self.lists.borrow_mut().get_mut(class.0) {
            list.keys.count(key, Instant::now());
        }
    }

    /// Writes all lists, as they are now, to standard error. Does nothing while another print is on its way.
    pub fn print(&self) {
        let lists = self.lists.borrow().clone();
        let now = Instant::now();
        let averaged_seconds = averaged_seconds(now - self.started_at, self.window);
        self.sender.try_send(move |stderr: &mut File| {
            let mut out = BufWriter::new(stderr);
            // There is nowhere to report an error to.
            let _ = lists
                .into_iter()
                .try_for_each(|list| print_list(&mut out, list, averaged_seconds, now));
        });
    }
}

/// Keys for each of so many classes that fit the memory.
fn max_capacity(classes: usize) -> usize {
    MAX_MEMORY_BYTES / (COPIES * MAX_ENTRY_BYTES * classes.max(1))
}

/// Effective averaging time in seconds at `elapsed`, the time since the start: divide a decayed count by it to get requests per
/// second. It tends to the window, and is less before, since only the time that has passed can be averaged over.
fn averaged_seconds(elapsed: Duration, window: Duration) -> f64 {
    let elapsed = elapsed.as_secs_f64().max(1.0);
    let window = window.as_secs_f64();
    window * -(-elapsed / window).exp_m1()
}

#[cfg(test)]
mod tests;
