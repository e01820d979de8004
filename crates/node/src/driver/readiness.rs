//! Readiness of the node: whether `/healthz` reports it as ready for clients.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Where discovery pushes changes, a new process waits for its first list before it is ready; if discovery does not
/// answer, for no longer than this.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The conditions for readiness. Once they hold the node stays ready until it shuts down.
pub struct Readiness {
    /// What `/healthz` reads.
    ready: Rc<Cell<bool>>,
    /// Until when the first list is waited for; `None` if it is not waited for, or no longer.
    first_list_deadline: Option<Instant>,
    has_ready_endpoint: bool,
}

impl Readiness {
    /// Not ready. With `awaits_first_list`, not before a list has come from discovery either.
    pub fn new(ready: Rc<Cell<bool>>, awaits_first_list: bool) -> Self {
        Self {
            ready,
            first_list_deadline: awaits_first_list.then(|| Instant::now() + FIRST_LIST_TIMEOUT),
            has_ready_endpoint: false,
        }
    }

    /// Discovery has sent a list.
    pub fn on_list_received(&mut self) {
        self.first_list_deadline = None;
    }

    /// An endpoint list was applied; `has_ready_endpoint` if one of its endpoints is ready.
    pub fn on_list_applied(&mut self, has_ready_endpoint: bool) {
        self.has_ready_endpoint |= has_ready_endpoint;
        self.update();
    }

    /// A call to discovery has failed.
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
