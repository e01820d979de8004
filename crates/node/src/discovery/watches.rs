//! The watches that a node has open at discovery: the newest one, and the one that it renewed.

use super::in_flight::{CallId, CallsInFlight};
use super::timing::SUPERSEDED_READ_TIME;
use std::time::Duration;

/// The open watches, two at most. Superseded calls aren't among them.
#[derive(Default)]
pub struct Watches {
    newest: Option<CallId>,
    /// The watch that the newest one renewed. It stays open until the next renewal: closing it would count as a failed
    /// call, and the newest one may have been lost without a sign.
    previous: Option<CallId>,
}

impl Watches {
    /// With one open watch.
    pub fn new(newest: CallId) -> Self {
        Self {
            newest: Some(newest),
            previous: None,
        }
    }

    /// The open watches, the older one first.
    pub fn open(&self) -> impl Iterator<Item = CallId> {
        self.previous.into_iter().chain(self.newest)
    }

    /// Whether a call is one of the open watches.
    pub fn contains(&self, call: CallId) -> bool {
        self.open().any(|watch| watch == call)
    }

    /// Whether the newest watch has failed, or there was none.
    pub fn newest_failed(&self) -> bool {
        self.newest.is_none()
    }

    /// Makes `renewal` the newest watch and the newest one the previous one. A watch that was the previous one before is
    /// superseded.
    pub fn renew(&mut self, renewal: CallId, in_flight: &mut CallsInFlight) {
        if let Some(newest) = self.newest.replace(renewal) {
            if let Some(oldest) = self.previous.replace(newest) {
                in_flight.supersede([oldest], SUPERSEDED_READ_TIME);
            }
        }
    }

    /// Removes a watch that has ended.
    pub fn remove(&mut self, ended: CallId) {
        self.newest = self.newest.filter(|watch| *watch != ended);
        self.previous = self.previous.filter(|watch| *watch != ended);
    }

    /// Marks all as superseded; their answers are read for `read_for`.
    pub fn supersede(&mut self, in_flight: &mut CallsInFlight, read_for: Duration) {
        in_flight.supersede(self.open(), read_for);
        *self = Self::default();
    }
}
