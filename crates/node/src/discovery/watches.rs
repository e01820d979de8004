//! The node's open watches at discovery: the newest watch, and the watches that it renewed.

use super::in_flight::{CallId, CallsInFlight};
use std::time::Duration;

/// Number of renewed watches that stay open beside the newest one. A watch must be closed before
/// the end of its wait.
const MAX_RENEWED: usize = 2;

/// The open watches. Superseded calls are not included.
#[derive(Default)]
pub struct Watches {
    newest: Option<CallId>,
    /// The watches that were renewed since the last close, oldest first; [`MAX_RENEWED`] at most.
    /// They stay open for a while, because a closed watch counts as a failed call, and the newest
    /// watch may have been lost without an error. They are closed together, so that one
    /// verification serves for all of them.
    renewed: Vec<CallId>,
}

impl Watches {
    /// Creates the set with one open watch.
    pub fn new(newest: CallId) -> Self {
        Self {
            newest: Some(newest),
            renewed: Vec::new(),
        }
    }

    /// Returns the open watches, the oldest watch first.
    pub fn open(&self) -> impl Iterator<Item = CallId> + '_ {
        self.renewed.iter().copied().chain(self.newest)
    }

    /// Returns whether a call is an open watch.
    pub fn contains(&self, call: CallId) -> bool {
        self.open().any(|watch| watch == call)
    }

    /// Returns whether the newest watch has failed or never existed.
    pub fn newest_failed(&self) -> bool {
        self.newest.is_none()
    }

    /// Returns whether the renewed watches have to be closed before the next renewal.
    pub fn renewed_limit_reached(&self) -> bool {
        self.renewed.len() >= MAX_RENEWED
    }

    /// Makes `renewal` the newest watch. The former newest watch stays open.
    pub fn renew(&mut self, renewal: CallId) {
        self.renewed.extend(self.newest.replace(renewal));
    }

    /// Closes the renewed watches, after reading the answers that have arrived.
    pub fn close_renewed(&mut self, in_flight: &mut CallsInFlight) {
        in_flight.supersede(self.renewed.drain(..), Duration::ZERO);
    }

    /// Removes a completed watch.
    pub fn remove(&mut self, completed: CallId) {
        self.newest = self.newest.filter(|watch| *watch != completed);
        self.renewed.retain(|watch| *watch != completed);
    }

    /// Marks all watches as superseded. Their answers are read for `read_for`.
    pub fn supersede(&mut self, in_flight: &mut CallsInFlight, read_for: Duration) {
        in_flight.supersede(self.open(), read_for);
        *self = Self::default();
    }
}
