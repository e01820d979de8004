//! Dispatch of a request without a final response and without an attempt in flight: the request is
//! sent, queued, or finished without being served.

use super::Balancer;
use crate::api::{Action, ClassTerms, Request, Timestamp};
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
    /// Sends the request, queues it, or finishes it without serving it.
    pub(super) fn dispatch(
        &mut self,
        pending: PendingRequest,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if pending.has_attempt_in_flight() {
            return self.store_pending(pending);
        }
        if pending.finished {
            return;
        }
        if self.must_finish_unserved(&pending, now) {
            return self.finish_unserved(pending, now, actions);
        }
        let origin_is_full = self.origin.is_full_for(&pending);
        if let Some(index) = self.select_endpoint(&pending, origin_is_full, now) {
            return self.send(pending, index, now, actions);
        }
        let next_dispatch = self.next_dispatch(&pending, now);
        match next_dispatch.filter(|_| !origin_is_full) {
            Some(at) => {
                self.queue.push(at, pending.request.id.clone());
                self.store_pending(pending);
            }
            None => self.finish_unserved(pending, now, actions),
        }
    }

    fn must_finish_unserved(&mut self, pending: &PendingRequest, now: Timestamp) -> bool {
        let is_new = pending.attempts.is_empty();
        let shed = is_new && self.load_shedder.sheds(pending.dither);
        let cost = self.retry_cost(pending);
        // While the origin's breaker is open, only reads known to be cached are sent: an origin
        // whose queueing delay exceeds the clients' timeouts would serve no request in time.
        let origin_admits = || self.is_cached(&pending.request) || self.origin.breaker.admits(now);
        shed || cost.is_some_and(|cost| !self.retry_budget.affords(cost))
            || now >= pending.request.deadline
            || !origin_admits()
    }

    /// Returns the cost of the next attempt in the retry budget; `None` if the attempt is not a
    /// retry.
    fn retry_cost(&self, pending: &PendingRequest) -> Option<f64> {
        let cost = if self.is_large_deployment() && pending.last_attempt_was_rejected() {
            RETRY_COST_AFTER_REJECTION
        } else {
            RETRY_COST
        };
        pending.next_is_retry().then_some(cost)
    }

    /// Checks whether the request is a read whose key needed no origin at the last response.
    fn is_cached(&self, request: &Request) -> bool {
        !request.write && self.cached_keys.contains(routing_key(request))
    }

    /// Returns the time of the next dispatch of a request for which no endpoint was selected;
    /// `None` if the request must not be queued.
    fn next_dispatch(&self, pending: &PendingRequest, now: Timestamp) -> Option<Timestamp> {
        let is_new = pending.attempts.is_empty();
        let mut endpoints = self.endpoints.iter();
        if !is_new || !endpoints.any(|state| self.is_ready_cache(&state.endpoint)) {
            return None;
        }
        let request = &pending.request;
        let objective = pending.terms.latency_objective;
        let average = self.latencies.average(self.class_index(request));
        let expiry = (pending.arrived + objective).min(request.deadline);
        queue::next_dispatch(now, objective, Duration::from_secs_f64(average), expiry)
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
        let idempotency = pending.terms.idempotency;
        let timeout = request.deadline.since(now);
        let deduplicated_for =
            idempotency::remaining_deduplication_time(idempotency, &pending, now);
        let attempt = self.begin_attempt(request, index, now);
        actions.push(Action::Send {
            id: request.id.clone(),
            endpoint: attempt.endpoint.id.clone(),
            timeout,
            begin_within: deduplicated_for.min(timeout),
        });
        pending.attempts.push(attempt);
        self.store_pending(pending);
    }

    /// Creates an attempt at the endpoint at `index` and reports the attempt to each mechanism.
    fn begin_attempt(&mut self, request: &Request, index: usize, now: Timestamp) -> Attempt {
        let class = self.class_index(request);
        let likely_miss = self.is_likely_miss(request, &self.endpoints[index]);
        if likely_miss {
            self.origin.on_likely_miss_sent();
        }
        let origin = self.record_origin_send(request, now);
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

    /// Reports an attempt that may need the origin to the origin's breaker. Returns the breaker's
    /// epoch if the attempt's result counts there. A cached read does not count as a trial; its
    /// result counts only while the breaker is closed.
    fn record_origin_send(&mut self, request: &Request, now: Timestamp) -> Option<u32> {
        let cached = self.is_cached(request);
        let breaker = &mut self.origin.breaker;
        if !cached {
            breaker.on_send(now);
        }
        (!cached || breaker.is_closed()).then_some(breaker.epoch())
    }

    /// Finishes a request without serving it: sheds the request if the client may send it again,
    /// otherwise fails it.
    pub(super) fn finish_unserved(
        &mut self,
        pending: PendingRequest,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        // The rejection was not counted while a retry at another endpoint was possible.
        if self.is_large_deployment() && pending.last_attempt_was_rejected() {
            self.load_shedder.record_bad();
        }
        let request = &pending.request;
        let may_retry = idempotency::client_may_retry(pending.terms.idempotency, &pending);
        if may_retry && now < request.deadline {
            let retry_after = self.retry_after(pending.terms, now);
            let id = pending.request.id;
            actions.push(Action::Shed { id, retry_after });
        } else {
            let id = pending.request.id;
            actions.push(Action::Fail { id });
        }
    }

    /// Returns the Retry-After of a shed request: the time until the origin's breaker admits its
    /// first trial, and at least a short delay. The minimum is short, because another node may
    /// receive the repeated request and have capacity.
    fn retry_after(&self, terms: ClassTerms, now: Timestamp) -> Duration {
        let mut endpoints = self.endpoints.iter();
        let origin = endpoints.find(|state| self.is_origin(&state.endpoint));
        let breaker = origin.map_or(&self.origin.breaker, |state| &state.breaker);
        let short_delay = terms.latency_objective.mul_f64(RETRY_AFTER_FRACTION);
        let open_for = breaker.open_until().map(|until| until.since(now));
        open_for
            .map_or(short_delay, |time| time.max(short_delay))
            .min(self.settings.max_retry_after)
    }
}
