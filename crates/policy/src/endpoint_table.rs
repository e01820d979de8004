//! The endpoint table: what this node knows of each listed endpoint, and which incarnation of it
//! that is about.
//!
//! An endpoint that started anew, or is listed again after it was removed, is another incarnation
//! under the same id: attempts that were sent to an earlier one tell nothing of it and do not count
//! as in flight there.

use crate::api::{Availability, Endpoint, EndpointId, Timestamp};
use crate::breaker::{CircuitBreaker, WINDOW};
use crate::concurrency_limit::{ConcurrencyBounds, ConcurrencyLimit};
use crate::hashing::endpoint_hash;
use crate::slow_start::SlotUsage;
use std::ops::{Index, IndexMut};
use std::time::Duration;

/// Window of the breaker of a class at an endpoint. Short: a class that is rejected where nobody
/// waits is rejected for good, and what was served before would hide it for the rest of a long
/// window.
const CLASS_WINDOW: Duration = Duration::from_secs(1);
/// For so long what an endpoint reported of its queue tells of its present state: reports are this
/// old at most.
const REPORT_FRESH: Duration = Duration::from_millis(500);
/// For so long after its last answer an endpoint that rejects attempts is busy, not broken, which
/// its concurrency limit answers. A breaker would block all it can do for a cooldown, and its load
/// would fill the queue of the next one, until that one's breaker opens too. An endpoint that
/// drains or hangs soon answers no more.
const BUSY_AFTER_ANSWER: Duration = Duration::from_secs(1);

/// What this node knows of an endpoint.
#[derive(Debug)]
pub(crate) struct EndpointState {
    /// As discovery listed it last.
    pub(crate) endpoint: Endpoint,
    /// Number of the present incarnation, unique in the table.
    pub(crate) incarnation: u64,
    /// Of its id, for rendezvous hashing.
    pub(crate) hash: u64,
    /// The breaker of all requests to it.
    pub(crate) breaker: CircuitBreaker,
    /// By class: an endpoint may reject one class and serve the others (a release that does not
    /// know it, a quota of that class's own). Blocked as a whole, it would lose the keys of all
    /// classes to endpoints that lack them. It does harm if the class is rejected for a moment
    /// only: its keys are missed elsewhere meanwhile.
    pub(crate) class_breakers: Vec<CircuitBreaker>,
    /// What it was sent in the present slot of slow start.
    pub(crate) slow_start: SlotUsage,
    /// How many attempts may be in flight there, and how many are.
    pub(crate) concurrency: ConcurrencyLimit,
    /// When it was last sent to; when it was listed, before the first send.
    last_sent: Timestamp,
    /// Time between the last two sends; the longest time before the second one.
    send_interval: Duration,
    /// When it last answered, in this incarnation.
    last_answer: Option<Timestamp>,
    /// When it last reported that it has no queue, unless it has reported one since.
    no_queue_reported: Option<Timestamp>,
}

impl EndpointState {
    /// When it was last sent to; when it was listed, before the first send.
    pub(crate) fn last_sent(&self) -> Timestamp {
        self.last_sent
    }

    /// Time between the last two sends; the longest time before the second one.
    pub(crate) fn send_interval(&self) -> Duration {
        self.send_interval
    }

    /// Notes when it is sent to.
    pub(crate) fn record_send(&mut self, now: Timestamp) {
        self.send_interval = now.since(self.last_sent);
        self.last_sent = now;
    }

    /// Notes an answer.
    pub(crate) fn record_answer(&mut self, now: Timestamp) {
        self.last_answer = Some(now);
    }

    /// Notes what it reports of its queue.
    pub(crate) fn record_queue_report(&mut self, queue_is_empty: bool, now: Timestamp) {
        self.no_queue_reported = queue_is_empty.then_some(now);
    }

    /// Whether it reported of late that it has no queue.
    pub(crate) fn reported_no_queue(&self, now: Timestamp) -> bool {
        self.no_queue_reported
            .is_some_and(|at| now.since(at) < REPORT_FRESH)
    }

    /// Whether a rejection shows load and not a fault: what is in flight there will be answered or
    /// time out, and tell more, and an endpoint that has just answered works.
    pub(crate) fn is_busy(&self, now: Timestamp) -> bool {
        let answered_of_late = || {
            self.last_answer
                .is_some_and(|at| now.since(at) < BUSY_AFTER_ANSWER)
        };
        self.concurrency.in_flight() > 0 || answered_of_late()
    }

    fn begin_incarnation(&mut self, incarnation: u64, now: Timestamp) {
        self.incarnation = incarnation;
        self.concurrency.forget_in_flight();
        self.last_answer = None;
        self.no_queue_reported = None;
        self.breaker.close(now);
        for breaker in &mut self.class_breakers {
            breaker.close(now);
        }
    }
}

/// What a newly listed endpoint starts with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewEndpoint {
    /// Number of classes, each with a breaker of its own.
    pub(crate) classes: usize,
    /// Where its concurrency limit starts.
    pub(crate) concurrency: ConcurrencyBounds,
    /// The present slot of slow start.
    pub(crate) slot: u64,
}

/// The listed endpoints, sorted by id. Draining ones stay until discovery removes them.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    states: Vec<EndpointState>,
    /// Incarnations so far, of all endpoints.
    incarnations: u64,
}

impl EndpointTable {
    /// All endpoints, in the order of their ids.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, EndpointState> {
        self.states.iter()
    }

    /// Where this incarnation of an endpoint stands, if it is the present one.
    pub(crate) fn position(&self, id: &EndpointId, incarnation: u64) -> Option<usize> {
        let index = self.search(id).ok()?;
        (self.states[index].incarnation == incarnation).then_some(index)
    }

    /// Removes the endpoints that a complete list lacks.
    pub(crate) fn retain_listed(&mut self, list: &[Endpoint]) {
        self.states
            .retain(|state| list.iter().any(|listed| listed.id == state.endpoint.id));
    }

    /// Takes in what discovery says of an endpoint.
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
            self.incarnations += 1;
            state.begin_incarnation(self.incarnations, now);
        }
        state.endpoint = listed.clone();
    }

    fn insert_at(&mut self, index: usize, listed: &Endpoint, new: NewEndpoint, now: Timestamp) {
        self.incarnations += 1;
        let class_breaker = |_| CircuitBreaker::new(CLASS_WINDOW, now);
        let state = EndpointState {
            endpoint: listed.clone(),
            incarnation: self.incarnations,
            hash: endpoint_hash(&listed.id),
            breaker: CircuitBreaker::new(WINDOW, now),
            class_breakers: (0..new.classes).map(class_breaker).collect(),
            slow_start: SlotUsage::exhausted(new.slot),
            concurrency: ConcurrencyLimit::new(new.concurrency),
            last_sent: now,
            send_interval: Duration::MAX,
            last_answer: None,
            no_queue_reported: None,
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
