//! The decision module with what feeds it: the clock that its times are told in, and the events that wait for it.

use slatelink_policy::{Action, Balancer, Endpoint, EndpointUpdate, Event, Timestamp};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The one clock: it runs evenly, from the system's time at the start, which discovery's times are told in.
#[derive(Clone, Copy, Debug)]
struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            origin: Instant::now(),
            unix,
        }
    }

    fn at(&self, instant: Instant) -> Timestamp {
        let time = self.unix + instant.saturating_duration_since(self.origin);
        Timestamp::from_micros(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }
}

/// See the module's page.
pub struct Decisions {
    balancer: Balancer,
    clock: Clock,
    due: VecDeque<Event>,
}

impl Decisions {
    /// With a clock that starts now.
    pub fn new(balancer: Balancer) -> Self {
        Self {
            balancer,
            clock: Clock::start(),
            due: VecDeque::new(),
        }
    }

    /// This instant on the module's clock.
    pub fn at(&self, instant: Instant) -> Timestamp {
        self.clock.at(instant)
    }

    /// Has an event wait for its turn.
    pub fn push(&mut self, event: Event) {
        self.due.push_back(event);
    }

    /// The same for a list of servers.
    pub fn push_list(&mut self, entries: Arc<[Endpoint]>, whole: bool) {
        let list = if whole {
            EndpointUpdate::Snapshot(entries)
        } else {
            EndpointUpdate::Delta(entries)
        };
        self.push(Event::Endpoints(list));
    }

    /// Has the module handle the event that has waited for longest, and appends what it wants done. `false` where none
    /// waits.
    pub fn handle_next(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(event) = self.due.pop_front() else {
            return false;
        };
        self.balancer
            .handle(self.clock.at(Instant::now()), event, actions);
        true
    }
}
