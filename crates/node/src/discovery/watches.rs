//! The node's open watches at discovery: the newest watch, and the watch that it renewed.

use super::in_flight::{CallId, CallsInFlight};
use super::timing::SUPERSEDED_READ_TIME;
use std::time::Duration;

/// The open watches, two at most. Superseded calls are not included.
#[derive(Default)]
pub struct Watches {
    newest: Option<CallId>,
    /// The watch that the newest watch renewed. It stays open until the next renewal: closing it
    /// would count as a failed call, and the newest watch may have been lost without an error.
    previous: Option<CallId>,
}

impl Watches {
    /// Creates the set with one open watch.
    pub fn new(newest: CallId) -> Self {
        Self {
            newest: Some(newest),
            previous: None,
        }
    }

    /// Returns the open watches, the older watch first.
    pub fn open(&self) -> impl Iterator<Item = CallId> {
        self.previous.into_iter().chain(self.newest)
    }

    /// Returns whether a call is an open watch.
    pub fn contains(&self, call: CallId) -> bool {
        self.open().any(|watch| watch == call)
    }

    /// Returns whether the newest watch has failed or never existed.
    pub fn newest_failed(&self) -> bool {
        self.newest.is_none()
    }

    /// Makes `renewal` the newest watch, and the former newest watch the previous watch. The former
    /// previous watch is superseded.
    pub fn renew(&mut self, renewal: CallId, in_flight: &mut CallsInFlight) {
        if let Some(newest) = self.newest.replace(renewal) {
            if let Some(oldest) = self.previous.replace(newest) {
                in_flight.supersede([oldest], SUPERSEDED_READ_TIME);
            }
        }
    }

    /// Removes a completed watch.
    pub fn remove(&mut self, completed: CallId) {
        self.newest = self.newest.filter(|watch| *watch != completed);
        self.previous = self.previous.filter(|watch| *watch != completed);
    }

    /// Marks all watches as superseded. Their answers are read for `read_for`.
    pub fn supersede(&mut self, in_flight: &mut CallsInFlight, read_for: Duration) {
        in_flight.supersede(self.open(), read_for);
        *self = Self::default();
    }
}
