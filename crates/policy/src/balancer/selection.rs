//! Selection of the endpoint of an attempt.
//!
//! Ready endpoints are ranked by weighted rendezvous hashing of the request's key. The first few
//! endpoints that the rules, breakers and budgets allow are checked for capacity in that order.

use super::Balancer;
use crate::api::{Availability, CacheMode, Timestamp};
use crate::hashing::{rendezvous_distance, routing_key};
use crate::idempotency;
use crate::pending::PendingRequest;
use crate::slow_start;

/// Number of eligible endpoints, by rank for the key, that are checked for capacity. Small, because
/// in a slow fleet more candidates would turn hits into misses.
const MAX_CANDIDATES: usize = 3;
/// Fraction of an endpoint's concurrency limit that is available to requests whose first eligible
/// endpoint is another one.
const OVERFLOW_FRACTION: f64 = 0.5;

impl Balancer {
    /// Returns the position of the endpoint for the request's next attempt, if an endpoint can
    /// accept the attempt now. `exclude_likely_misses` excludes endpoints that probably have to
    /// fetch the value.
    pub(super) fn select_endpoint(
        &self,
        pending: &PendingRequest,
        exclude_likely_misses: bool,
        now: Timestamp,
    ) -> Option<usize> {
        let max_attempts = self.settings.max_attempts.min(pending.max_attempts);
        if pending.attempts.len() >= max_attempts as usize {
            return None;
        }
        let is_eligible =
            |index: &usize| self.is_eligible(*index, pending, exclude_likely_misses, now);
        if self.needs_origin(pending) {
            let mut indices = 0..self.endpoints.iter().len();
            return indices
                .find(|i| self.is_origin(&self.endpoints[*i].endpoint) && is_eligible(i))
                .filter(|i| self.has_capacity(*i, 1.0, pending, now));
        }
        let mut ranked = self.rank(routing_key(&pending.request), now).peekable();
        let first = *ranked.peek()?;
        let candidates: Vec<usize> = ranked.filter(is_eligible).take(MAX_CANDIDATES).collect();
        if candidates.is_empty() {
            let usable =
                !exclude_likely_misses && self.is_usable_as_last_resort(first, pending, now);
            return usable.then_some(first);
        }
        self.first_with_capacity(&candidates, pending, now)
            .or_else(|| self.first_with_spare_cores(&candidates, now))
    }

    /// Checks whether the node itself must send this request to the origin (cache-aside).
    fn needs_origin(&self, pending: &PendingRequest) -> bool {
        matches!(self.settings.mode, CacheMode::CacheAside { .. })
            && (pending.request.write || pending.has_missed())
    }

    /// Checks whether the rules, breakers and budgets allow the request at this endpoint now.
    fn is_eligible(
        &self,
        index: usize,
        pending: &PendingRequest,
        exclude_likely_misses: bool,
        now: Timestamp,
    ) -> bool {
        let state = &self.endpoints[index];
        if exclude_likely_misses && self.is_likely_miss(&pending.request, state) {
            return false;
        }
        let endpoint = &state.endpoint;
        let class = self.class_index(&pending.request);
        endpoint.availability == Availability::Ready
            && idempotency::may_attempt(pending.terms.idempotency, pending, endpoint, now)
            && state.breaker.admits(now)
            && state.class_breakers[class].admits(now)
            && self.zones.admits(&endpoint.zone, now)
            && self.has_slow_start_budget(index, now)
            && !pending.was_attempted_at(endpoint)
    }

    /// Checks whether a new request may be sent to the first endpoint of its key although no
    /// endpoint is eligible.
    fn is_usable_as_last_resort(
        &self,
        first: usize,
        pending: &PendingRequest,
        now: Timestamp,
    ) -> bool {
        self.has_slow_start_budget(first, now)
            && pending.attempts.is_empty()
            && self.has_capacity(first, 1.0, pending, now)
    }

    fn first_with_capacity(
        &self,
        candidates: &[usize],
        pending: &PendingRequest,
        now: Timestamp,
    ) -> Option<usize> {
        let fraction = |rank| if rank == 0 { 1.0 } else { OVERFLOW_FRACTION };
        let mut ranked = candidates.iter().copied().enumerate();
        ranked
            .find(|(rank, index)| self.has_capacity(*index, fraction(*rank), pending, now))
            .map(|(_, index)| index)
    }

    /// Returns the first candidate with an empty queue and fewer attempts in flight than the
    /// initial limit. Concurrency limits shrink at all endpoints when misses wait for a slow
    /// origin; therefore an endpoint with an empty queue may exceed its limit. The initial limit is
    /// the bound, because many requests may share the endpoint's cores although no request is
    /// queued.
    fn first_with_spare_cores(&self, candidates: &[usize], now: Timestamp) -> Option<usize> {
        let has_spare_cores = |index: &usize| {
            let state = &self.endpoints[*index];
            self.has_no_queue(state, now)
                && f64::from(state.concurrency.in_flight()) < self.concurrency.initial
        };
        candidates.iter().copied().find(has_spare_cores)
    }

    /// Checks whether this fraction of the endpoint's concurrency limit has capacity for the
    /// request.
    fn has_capacity(
        &self,
        index: usize,
        fraction: f64,
        pending: &PendingRequest,
        now: Timestamp,
    ) -> bool {
        let state = &self.endpoints[index];
        let fractional_limit_allows = || {
            let idle = now.since(state.last_send());
            let average = self.latencies.average(self.class_index(&pending.request));
            state
                .concurrency
                .fractional_limit_allows(fraction, idle, average)
        };
        state.concurrency.has_capacity(fraction, pending.dither)
            || self.is_large_deployment() && fractional_limit_allows()
    }

    /// Returns the positions of the ready cache servers, by increasing distance from this key.
    fn rank(&self, key: u64, now: Timestamp) -> impl Iterator<Item = usize> + use<> {
        let ready = self
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, state)| self.is_ready_cache(&state.endpoint));
        let mut ranked: Vec<(u64, usize)> = ready
            .map(|(index, state)| {
                let capacity = self.capacity(state, now);
                (rendezvous_distance(key, state.hash, capacity), index)
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, index)| index)
    }

    /// Checks whether a warming endpoint may receive one more request in the current slot; true for
    /// any other endpoint.
    fn has_slow_start_budget(&self, index: usize, now: Timestamp) -> bool {
        let state = &self.endpoints[index];
        let endpoint = &state.endpoint;
        if self.is_origin(endpoint)
            || slow_start::capacity_fraction(&self.settings, endpoint, now) >= 1.0
        {
            return true;
        }
        let ready = self.endpoints.iter();
        let ready = ready.filter(|state| self.is_ready_cache(&state.endpoint));
        let total_capacity: f64 = ready.map(|state| self.capacity(state, now)).sum();
        let capacity_share = self.capacity(state, now) / total_capacity;
        let budget =
            slow_start::slot_budget(&self.settings, self.load_shedder.good(), capacity_share);
        let slot = slow_start::slot_at(&self.settings, now);
        let max_sends = (budget + self.random.fixed(state.hash ^ slot)).floor();
        f64::from(state.slow_start.sends_in(slot)) < max_sends
    }
}
