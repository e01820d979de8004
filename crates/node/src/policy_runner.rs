//! Runs the decision module (`slatelink-policy`): its clock, the queue of events that it is still to handle, and the
//! loop that carries out its actions.
//!
//! The module itself has no clock and no I/O. Events are handled in the order in which they are queued, and the actions
//! of each are carried out before the next event is handled.

use slatelink_config::EndpointList;
use slatelink_policy::{Action, Balancer, Endpoint, EndpointUpdate, Event, Timestamp};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that counts from the system's time at its start.
///
/// Timestamps are Unix times, since discovery states the start of an endpoint's process in Unix time; being monotonic,
/// they don't follow later corrections of the system's time.
#[derive(Clone, Copy, Debug)]
struct Clock {
    started_at: Instant,
    /// Unix time at `started_at`.
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
        let since_start = instant.saturating_duration_since(self.started_at);
        let micros = (self.unix_at_start + since_start).as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// The decision module with its clock and event queue.
pub struct PolicyRunner {
    balancer: Balancer,
    clock: Clock,
    queue: VecDeque<Event>,
}

impl PolicyRunner {
    /// An empty queue, and a clock that starts now.
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

    /// Appends an event to the queue.
    pub fn enqueue(&mut self, event: Event) {
        self.queue.push_back(event);
    }

    /// Appends an endpoint list that discovery has sent: a snapshot if it is complete, a delta otherwise.
    pub fn enqueue_endpoints(&mut self, endpoints: Arc<[Endpoint]>, complete: bool) {
        let update = if complete {
            EndpointUpdate::Snapshot(endpoints)
        } else {
            EndpointUpdate::Delta(endpoints)
        };
        self.enqueue(Event::Endpoints(update));
    }

    /// Has the module handle the oldest queued event, now, and appends its actions. Returns `false` if none is queued.
    fn handle_next(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(event) = self.queue.pop_front() else {
            return false;
        };
        let now = self.clock.timestamp(Instant::now());
        self.balancer.handle(now, event, actions);
        true
    }
}

/// Carries out the actions of a decision module.
pub trait ActionExecutor {
    /// The module whose actions are carried out.
    fn policy(&mut self) -> &mut PolicyRunner;

    /// Carries out one action. Events that it leads to are queued, not handled.
    fn execute(&mut self, action: Action);

    /// Has the module handle queued events until there are none, those included that its actions queue.
    fn handle_queued_events(&mut self) {
        let mut actions = Vec::new();
        while self.policy().handle_next(&mut actions) {
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }
}

/// The endpoints of a list in the decision module's type, in the list's order.
pub fn endpoints(list: &EndpointList) -> Arc<[Endpoint]> {
    list.endpoints
        .iter()
        .map(|record| record.endpoint())
        .collect()
}
