//! The watches that a node has open at discovery: the newest, and the one that it renewed.

use super::in_flight::{CallId, InFlight};
use super::timing::SUPERSEDED_READ_TIME;
use std::time::Duration;

/// The open watches: two at most, beside those that are only read to their end.
#[derive(Default)]
pub struct Watches {
    newest: Option<CallId>,
    /// The watch that the newest one renewed. It is not closed with that: a closed call counts as given up, and whether the
    /// newest one speaks shows only at its first word.
    previous: Option<CallId>,
}

impl Watches {
    pub fn new(newest: CallId) -> Self {
        Self {
            newest: Some(newest),
            previous: None,
        }
    }

    /// The calls, the older first.
    pub fn open(&self) -> impl Iterator<Item = CallId> {
        self.previous.into_iter().chain(self.newest)
    }

    pub fn contains(&self, call: CallId) -> bool {
        self.open().any(|watch| watch == call)
    }

    /// Whether the watch that changes are expected on is gone.
    pub fn is_broken(&self) -> bool {
        self.newest.is_none()
    }

    /// A new watch takes the newest one's place, and the newest one that of the watch before it.
    pub fn renew(&mut self, fresh: CallId, in_flight: &mut InFlight) {
        if let Some(newest) = self.newest.replace(fresh) {
            if let Some(oldest) = self.previous.replace(newest) {
                in_flight.supersede(oldest, SUPERSEDED_READ_TIME);
            }
        }
    }

    /// One has ended.
    pub fn remove(&mut self, ended: CallId) {
        self.newest = self.newest.filter(|watch| *watch != ended);
        self.previous = self.previous.filter(|watch| *watch != ended);
    }

    /// Another call takes the place of all: their answers are read for so long.
    pub fn supersede(&mut self, in_flight: &mut InFlight, read_for: Duration) {
        self.open()
            .for_each(|watch| in_flight.supersede(watch, read_for));
        *self = Self::default();
    }
}
