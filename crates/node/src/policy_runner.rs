//! The decision module with what feeds it: the clock that its times are told in, and the events that wait for it.

use slatelink_policy::{Action, Balancer, Endpoint, EndpointUpdate, Event, Timestamp};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The one clock: it runs evenly, from the system's time at the start, which discovery's times are told in.
#[derive(Clone, Copy, Debug)]
struct Clock {
    started_at: Instant,
    unix_at_start: Duration,
}

impl Clock {
    fn start() -> Self {
        let unix_at_start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_at: Instant::now(),
            unix_at_start,
        }
    }

    fn timestamp(&self, instant: Instant) -> Timestamp {
        let time = self.unix_at_start + instant.saturating_duration_since(self.started_at);
        Timestamp::from_micros(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }
}

/// See the module's page.
pub struct PolicyRunner {
    balancer: Balancer,
    clock: Clock,
    queue: VecDeque<Event>,
}

impl PolicyRunner {
    /// With a clock that starts now.
    pub fn new(balancer: Balancer) -> Self {
        Self {
            balancer,
            clock: Clock::start(),
            queue: VecDeque::new(),
        }
    }

    /// This instant on the module's clock.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        self.clock.timestamp(instant)
    }

    /// Has an event wait for its turn.
    pub fn enqueue(&mut self, event: Event) {
        self.queue.push_back(event);
    }

    /// The same for a list of servers.
    pub fn enqueue_endpoints(&mut self, entries: Arc<[Endpoint]>, whole: bool) {
        let list = if whole {
            EndpointUpdate::Snapshot(entries)
        } else {
            EndpointUpdate::Delta(entries)
        };
        self.enqueue(Event::Endpoints(list));
    }

    /// Has the module handle the event that has waited for longest, and appends what it wants done. `false` where none
    /// waits.
    pub fn handle_next(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(event) = self.queue.pop_front() else {
            return false;
        };
        self.balancer
            .handle(self.clock.timestamp(Instant::now()), event, actions);
        true
    }
}
