//! What becomes of a request that has no final response and no attempt in flight: it is sent,
//! queued or given up.

use super::Balancer;
use crate::api::{Action, Request, Timestamp};
use crate::hashing::routing_key;
use crate::idempotency;
use crate::pending::{Attempt, BreakerEpochs, PendingRequest};
use crate::queue;
use crate::retry_budget::{RETRY_COST, RETRY_COST_AFTER_REJECTION};
use crate::slow_start;
use std::time::Duration;

/// The `Retry-After` of a shed request, as a fraction of its latency objective.
const RETRY_AFTER_FRACTION: f64 = 0.02;

impl Balancer {
    /// Sends the request, queues it or gives it up.
    pub(super) fn dispatch(
        &mut self,
        pending: PendingRequest,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if pending.has_attempt_in_flight() {
            return self.keep(pending);
        }
        if pending.finished {
            return;
        }
        if self.must_give_up(&pending, now) {
            return self.give_up(pending, now, actions);
        }
        let origin_is_full = self.origin.is_full_for(&pending);
        if let Some(index) = self.select_endpoint(&pending, origin_is_full, now) {
            return self.send(pending, index, now, actions);
        }
        let next_dispatch = self.next_dispatch(&pending, now);
        match next_dispatch.filter(|_| !origin_is_full) {
            Some(at) => {
                self.queue.push(at, pending.request.id.clone());
                self.keep(pending);
            }
            None => self.give_up(pending, now, actions),
        }
    }

    fn must_give_up(&mut self, pending: &PendingRequest, now: Timestamp) -> bool {
        let is_new = pending.attempts.is_empty();
        let shed = is_new && self.load_shedder.sheds(pending.dither);
        let cost = self.retry_cost(pending);
        // While the origin's breaker is open, only reads known to be cached are sent: with a queue
        // longer than anyone waits the origin would serve nobody.
        let origin_admits = || self.is_cached(&pending.request) || self.origin.breaker.admits(now);
        shed || cost.is_some_and(|cost| !self.retry_budget.affords(cost))
            || now >= pending.request.deadline
            || !origin_admits()
    }

    /// What the next attempt takes from the retry budget; `None` if it is no retry.
    fn retry_cost(&self, pending: &PendingRequest) -> Option<f64> {
        let cost = if self.is_large_deployment() && pending.last_attempt_was_rejected() {
            RETRY_COST_AFTER_REJECTION
        } else {
            RETRY_COST
        };
        pending.next_is_retry().then_some(cost)
    }

    /// Whether the request is a read that the last answer to its key shows to need no origin.
    fn is_cached(&self, request: &Request) -> bool {
        !request.write && self.cached_keys.contains(routing_key(request))
    }

    /// When a request that found no capacity is to be dispatched again; `None` if it must not wait.
    fn next_dispatch(&self, pending: &PendingRequest, now: Timestamp) -> Option<Timestamp> {
        let is_new = pending.attempts.is_empty();
        let mut endpoints = self.endpoints.iter();
        if !is_new || !endpoints.any(|state| self.is_ready_cache(&state.endpoint)) {
            return None;
        }
        let request = &pending.request;
        let objective = self.class(request).latency_objective;
        let average = self.latencies.average(self.class_index(request));
        let give_up = (pending.arrived + objective).min(request.deadline);
        queue::next_dispatch(now, objective, Duration::from_secs_f64(average), give_up)
    }

    fn send(
        &mut self,
        mut pending: PendingRequest,
        index: usize,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        match self.retry_cost(&pending) {
            Some(cost) => self.retry_budget.spend(cost),
            None => self.retry_budget.earn(),
        }
        let request = &pending.request;
        let idempotency = self.class(request).idempotency;
        let timeout = request.deadline.since(now);
        let deduplicated = idempotency::remaining_deduplication_time(idempotency, &pending, now);
        let attempt = self.begin_attempt(request, index, now);
        actions.push(Action::Send {
            id: request.id.clone(),
            endpoint: attempt.endpoint.id.clone(),
            timeout,
            begin_within: deduplicated.min(timeout),
        });
        pending.attempts.push(attempt);
        self.keep(pending);
    }

    /// Reports an attempt at the endpoint at `index` to each mechanism.
    fn begin_attempt(&mut self, request: &Request, index: usize, now: Timestamp) -> Attempt {
        let class = self.class_index(request);
        let likely_miss = self.is_likely_miss(request, &self.endpoints[index]);
        if likely_miss {
            self.origin.on_likely_miss_sent();
        }
        let origin = self.note_origin_send(request, now);
        let slot = slow_start::slot_at(&self.settings, now);
        let state = &mut self.endpoints[index];
        let zone = self.zones.on_send(&state.endpoint.zone, now);
        state.slow_start.record_send(slot);
        state.concurrency.on_send();
        state.record_send(now);
        state.breaker.on_send(now);
        state.class_breakers[class].on_send(now);
        Attempt {
            endpoint: state.endpoint.clone(),
            incarnation: state.incarnation,
            sent: now,
            epochs: BreakerEpochs {
                endpoint: state.breaker.epoch(),
                class: state.class_breakers[class].epoch(),
                origin,
                zone,
            },
            likely_miss,
            status: None,
        }
    }

    /// Reports an attempt that may need the origin to the origin's breaker; returns the epoch of
    /// the breaker if the attempt's result is to count there. A cached read is not counted as a
    /// trial; its result counts only while the breaker is closed.
    fn note_origin_send(&mut self, request: &Request, now: Timestamp) -> Option<u32> {
        let cached = self.is_cached(request);
        let breaker = &mut self.origin.breaker;
        if !cached {
            breaker.on_send(now);
        }
        (!cached || breaker.is_closed()).then_some(breaker.epoch())
    }

    /// Gives the request its final response: shed where the client may send it again, else failed.
    pub(super) fn give_up(
        &mut self,
        pending: PendingRequest,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        // Its rejection was not counted while the request might go on to another endpoint.
        if self.is_large_deployment() && pending.last_attempt_was_rejected() {
            self.load_shedder.record_bad();
        }
        let request = &pending.request;
        let idempotency = self.class(request).idempotency;
        let may_retry = idempotency::client_may_retry(idempotency, &pending);
        if may_retry && now < request.deadline {
            let retry_after = self.retry_after(request, now);
            let id = pending.request.id;
            actions.push(Action::Shed { id, retry_after });
        } else {
            let id = pending.request.id;
            actions.push(Action::Fail { id });
        }
    }

    /// How long the client of a shed request should wait: until the origin's breaker admits its
    /// first trial, or a short time, since the request that it sends again may come to another
    /// node, which may have capacity.
    fn retry_after(&self, request: &Request, now: Timestamp) -> Duration {
        let mut endpoints = self.endpoints.iter();
        let origin = endpoints.find(|state| self.is_origin(&state.endpoint));
        let breaker = origin.map_or(&self.origin.breaker, |state| &state.breaker);
        let objective = self.class(request).latency_objective;
        let short = objective.mul_f64(RETRY_AFTER_FRACTION);
        let open_for = breaker.open_until().map(|until| until.since(now));
        open_for
            .map_or(short, |time| time.max(short))
            .min(self.settings.max_retry_after)
    }
}
