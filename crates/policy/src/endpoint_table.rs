//! Endpoint table: this node's state of each listed endpoint, for the endpoint's current
//! incarnation.
//!
//! An endpoint that restarts, or is listed again after its removal, is a new incarnation under the
//! same id. Attempts sent to an earlier incarnation give no information about the current one and
//! do not count as in flight there.

use crate::api::{Availability, Class, Endpoint, EndpointId, Timestamp};
use crate::breaker::{CircuitBreaker, WINDOW};
use crate::class_states::carry_over;
use crate::concurrency_limit::{ConcurrencyBounds, ConcurrencyLimit};
use crate::hashing::endpoint_hash;
use crate::slow_start::SlotUsage;
use std::ops::{Index, IndexMut};
use std::time::Duration;

/// Window of the breaker of a class at an endpoint. Short, because a class that is rejected at an
/// endpoint without a queue is rejected permanently, and requests served earlier in a long window
/// would hide the rejections until its end.
const CLASS_WINDOW: Duration = Duration::from_secs(1);
/// Maximum age of an endpoint's queue report: older reports do not reflect the current state.
const MAX_QUEUE_REPORT_AGE: Duration = Duration::from_millis(500);
/// Time after an endpoint's last success during which a rejection counts as load, not as a fault.
/// The endpoint's concurrency limit handles load. A breaker would block the whole endpoint for a
/// cooldown, and the endpoint's load would fill the queue of the next endpoint until that
/// endpoint's breaker opens too. A draining or hanging endpoint soon has no more successes.
const BUSY_TIME_AFTER_SUCCESS: Duration = Duration::from_secs(1);

/// This node's state of one endpoint.
#[derive(Debug)]
pub(crate) struct EndpointState {
    /// The endpoint as last listed by discovery.
    pub(crate) endpoint: Endpoint,
    /// Number of the current incarnation, unique in the table.
    pub(crate) incarnation: u64,
    /// Hash of the endpoint's id, for rendezvous hashing.
    pub(crate) hash: u64,
    /// Breaker of all requests to the endpoint.
    pub(crate) breaker: CircuitBreaker,
    /// Breakers by class. An endpoint may reject one class and serve the others: its release may
    /// not know the class, or the class may have its own quota. A breaker for the whole endpoint
    /// would move the keys of all classes to endpoints that have not cached the keys. A class
    /// breaker does harm if the rejection is short: the class's keys are misses at other endpoints
    /// meanwhile.
    pub(crate) class_breakers: Vec<CircuitBreaker>,
    /// Sends to the endpoint in the current slot of slow start.
    pub(crate) slow_start: SlotUsage,
    /// Concurrency limit and number of attempts in flight.
    pub(crate) concurrency: ConcurrencyLimit,
    /// Time of the last send; before the first send, the time of listing.
    last_send: Timestamp,
    /// Time between the last two sends, where the listing counts as a send; `Duration::MAX` before
    /// the first send.
    send_interval: Duration,
    /// Time of the last successful attempt of the current incarnation.
    last_success: Option<Timestamp>,
    /// Time of the last queue report, if the report was of an empty queue.
    empty_queue_reported_at: Option<Timestamp>,
}

impl EndpointState {
    /// Returns the time of the last send; before the first send, the time of listing.
    pub(crate) fn last_send(&self) -> Timestamp {
        self.last_send
    }

    /// Returns the time between the last two sends, where the listing counts as a send;
    /// `Duration::MAX` before the first send.
    pub(crate) fn send_interval(&self) -> Duration {
        self.send_interval
    }

    /// Records a send to the endpoint.
    pub(crate) fn record_send(&mut self, now: Timestamp) {
        self.send_interval = now.since(self.last_send);
        self.last_send = now;
    }

    /// Records a successful attempt.
    pub(crate) fn record_success(&mut self, now: Timestamp) {
        self.last_success = Some(now);
    }

    /// Records the endpoint's report of its queue.
    pub(crate) fn record_queue_report(&mut self, queue_is_empty: bool, now: Timestamp) {
        self.empty_queue_reported_at = queue_is_empty.then_some(now);
    }

    /// Checks whether the endpoint recently reported an empty queue.
    pub(crate) fn reported_empty_queue(&self, now: Timestamp) -> bool {
        self.empty_queue_reported_at
            .is_some_and(|at| now.since(at) < MAX_QUEUE_REPORT_AGE)
    }

    /// Checks whether a rejection indicates load and not a fault. Attempts in flight will end with
    /// a response or a timeout, which gives more information, and an endpoint with a recent
    /// successful attempt works.
    pub(crate) fn is_busy(&self, now: Timestamp) -> bool {
        let succeeded_recently = || {
            self.last_success
                .is_some_and(|at| now.since(at) < BUSY_TIME_AFTER_SUCCESS)
        };
        self.concurrency.in_flight() > 0 || succeeded_recently()
    }

    fn begin_incarnation(&mut self, incarnation: u64, now: Timestamp) {
        self.incarnation = incarnation;
        self.concurrency.reset_in_flight();
        self.last_success = None;
        self.empty_queue_reported_at = None;
        self.breaker.close(now);
        for breaker in &mut self.class_breakers {
            breaker.close(now);
        }
    }
}

/// Initial state of a newly listed endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewEndpoint {
    /// Number of classes; each class has its own breaker.
    pub(crate) classes: usize,
    /// Bounds of the endpoint's concurrency limit.
    pub(crate) concurrency: ConcurrencyBounds,
    /// Current slot of slow start.
    pub(crate) slot: u64,
}

/// The listed endpoints, sorted by id. Draining endpoints stay until discovery removes them.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    states: Vec<EndpointState>,
    /// Number of incarnations of all endpoints so far.
    incarnation_count: u64,
}

impl EndpointTable {
    /// Iterates over all endpoints in the order of their ids.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, EndpointState> {
        self.states.iter()
    }

    /// Returns the position of an endpoint, if `incarnation` is its current incarnation.
    pub(crate) fn position(&self, id: &EndpointId, incarnation: u64) -> Option<usize> {
        let index = self.search(id).ok()?;
        (self.states[index].incarnation == incarnation).then_some(index)
    }

    /// Adapts the breakers of classes to changed classes; see [`carry_over`].
    pub(crate) fn replace_classes(&mut self, before: &[Class], after: &[Class], now: Timestamp) {
        for state in &mut self.states {
            carry_over(&mut state.class_breakers, before, after, |_| {
                CircuitBreaker::new(CLASS_WINDOW, now)
            });
        }
    }

    /// Leaves no sends in the current slot of slow start, whose number has a new meaning.
    pub(crate) fn restart_slow_start_slots(&mut self, slot: u64) {
        for state in &mut self.states {
            state.slow_start = SlotUsage::exhausted(slot);
        }
    }

    /// Removes the endpoints that are missing from a complete list.
    pub(crate) fn retain_listed(&mut self, list: &[Endpoint]) {
        self.states
            .retain(|state| list.iter().any(|listed| listed.id == state.endpoint.id));
    }

    /// Applies discovery's listing of an endpoint.
    pub(crate) fn update(&mut self, listed: &Endpoint, new: NewEndpoint, now: Timestamp) {
        let removed = listed.availability == Availability::Removed;
        match self.search(&listed.id) {
            Ok(index) if removed => {
                self.states.remove(index);
            }
            Ok(index) => self.update_at(index, listed, now),
            Err(_) if removed => {}
            Err(index) => self.insert_at(index, listed, new, now),
        }
    }

    fn update_at(&mut self, index: usize, listed: &Endpoint, now: Timestamp) {
        let state = &mut self.states[index];
        if listed.started != state.endpoint.started {
            self.incarnation_count += 1;
            state.begin_incarnation(self.incarnation_count, now);
        }
        state.endpoint = listed.clone();
    }

    fn insert_at(&mut self, index: usize, listed: &Endpoint, new: NewEndpoint, now: Timestamp) {
        self.incarnation_count += 1;
        let class_breaker = |_| CircuitBreaker::new(CLASS_WINDOW, now);
        let state = EndpointState {
            endpoint: listed.clone(),
            incarnation: self.incarnation_count,
            hash: endpoint_hash(&listed.id),
            breaker: CircuitBreaker::new(WINDOW, now),
            class_breakers: (0..new.classes).map(class_breaker).collect(),
            slow_start: SlotUsage::exhausted(new.slot),
            concurrency: ConcurrencyLimit::new(new.concurrency),
            last_send: now,
            send_interval: Duration::MAX,
            last_success: None,
            empty_queue_reported_at: None,
        };
        self.states.insert(index, state);
    }

    fn search(&self, id: &EndpointId) -> Result<usize, usize> {
        self.states
            .binary_search_by(|state| state.endpoint.id.cmp(id))
    }
}

impl Index<usize> for EndpointTable {
    type Output = EndpointState;
    fn index(&self, index: usize) -> &EndpointState {
        &self.states[index]
    }
}

impl IndexMut<usize> for EndpointTable {
    fn index_mut(&mut self, index: usize) -> &mut EndpointState {
        &mut self.states[index]
    }
}
