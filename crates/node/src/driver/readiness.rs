//! Readiness of the node: whether `/healthz` reports it as ready for clients.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Where discovery pushes changes, a new process is not ready before its first list. If discovery
/// does not answer, the wait ends with the first failed call after this time.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Conditions for readiness. Once they are met, the node stays ready until it shuts down.
pub struct Readiness {
    /// Flag that `/healthz` reads.
    ready: Rc<Cell<bool>>,
    /// Time from which a failed call ends the wait for the first list; `None` if there is no such
    /// wait or the wait is over.
    first_list_deadline: Option<Instant>,
    has_ready_endpoint: bool,
}

impl Readiness {
    /// Starts as not ready. With `awaits_first_list`, readiness also requires a list from
    /// discovery.
    pub fn new(ready: Rc<Cell<bool>>, awaits_first_list: bool) -> Self {
        Self {
            ready,
            first_list_deadline: awaits_first_list.then(|| Instant::now() + FIRST_LIST_TIMEOUT),
            has_ready_endpoint: false,
        }
    }

    /// Records that discovery has sent a list.
    pub fn on_list_received(&mut self) {
        self.first_list_deadline = None;
    }

    /// Records that an endpoint list was applied; `has_ready_endpoint` is true if one of its
    /// endpoints is ready.
    pub fn on_list_applied(&mut self, has_ready_endpoint: bool) {
        self.has_ready_endpoint |= has_ready_endpoint;
        self.update();
    }

    /// Records that a call to discovery has failed.
    pub fn on_discovery_failed(&mut self) {
        let now = Instant::now();
        self.first_list_deadline = self.first_list_deadline.filter(|deadline| now < *deadline);
        self.update();
    }

    fn update(&self) {
        if self.has_ready_endpoint && self.first_list_deadline.is_none() {
            self.ready.set(true);
        }
    }
}

#[cfg(test)]
mod tests;
