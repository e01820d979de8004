//! Runs the decision module (`slatelink-policy`): provides its clock, queues its events and
//! executes its actions.
//!
//! The decision module itself has no clock and no I/O. Events are handled in the order in which
//! they are queued, and all actions of an event are executed before the next event is handled.

use slatelink_config::EndpointList;
use slatelink_policy::{Action, Balancer, Endpoint, EndpointUpdate, Event, Timestamp};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that counts from the system time at its start.
///
/// Timestamps are Unix times, because discovery states the start of an endpoint's process in Unix
/// time. The clock is monotonic, so later corrections of the system time do not affect timestamps.
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
    /// Creates an empty queue, and a clock that starts now.
    pub fn new(balancer: Balancer) -> Self {
        Self {
            balancer,
            clock: Clock::start(),
            queue: VecDeque::new(),
        }
    }

    /// Returns the time of an instant on the decision module's clock.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        self.clock.timestamp(instant)
    }

    /// Appends an event to the queue.
    pub fn enqueue(&mut self, event: Event) {
        self.queue.push_back(event);
    }

    /// Appends an endpoint list from discovery: a snapshot if the list is complete, a delta
    /// otherwise.
    pub fn enqueue_endpoints(&mut self, endpoints: Arc<[Endpoint]>, complete: bool) {
        let update = if complete {
            EndpointUpdate::Snapshot(endpoints)
        } else {
            EndpointUpdate::Delta(endpoints)
        };
        self.enqueue(Event::Endpoints(update));
    }

    /// Passes the oldest queued event to the decision module and appends the resulting actions.
    /// Returns `false` if the queue is empty.
    fn handle_next(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(event) = self.queue.pop_front() else {
            return false;
        };
        let now = self.clock.timestamp(Instant::now());
        self.balancer.handle(now, event, actions);
        true
    }
}

/// Executes the actions of a decision module.
pub trait ActionExecutor {
    /// Returns the runner of the decision module whose actions are executed.
    fn policy(&mut self) -> &mut PolicyRunner;

    /// Executes one action. Resulting events are queued, not handled.
    fn execute(&mut self, action: Action);

    /// Handles events until the queue is empty, including the events that the actions queue.
    fn handle_queued_events(&mut self) {
        let mut actions = Vec::new();
        while self.policy().handle_next(&mut actions) {
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }
}

/// Converts the endpoints of a list to the decision module's type, in the order of the list.
pub fn endpoints(list: &EndpointList) -> Arc<[Endpoint]> {
    list.endpoints
        .iter()
        .map(|record| record.endpoint())
        .collect()
}
