//! Evaluation of an attempt's outcome and update of each mechanism.

use super::Balancer;
use crate::api::{
    Action, BreakerScope, CacheMode, CacheResult, ClassTerms, LoadReport, Outcome, Request, Status,
    Timestamp,
};
use crate::breaker::{CallResult, Verdict, COOLDOWN};
use crate::hashing::routing_key;
use crate::outlier;
use crate::pending::{Attempt, BreakerEpochs, PendingRequest};
use crate::slow_start;
use std::time::Duration;

/// Utilization from which an endpoint has no spare cores.
const BUSY_UTILIZATION: f64 = 0.8;
/// Maximum number of nodes at which each node sends to an endpoint often enough for the endpoint's
/// reported queue length to reflect the node's own load.
const MAX_NODES_FOR_QUEUE_REPORTS: u32 = 100;
/// Mean number of queued requests below which an endpoint's queue counts as empty.
const EMPTY_QUEUE_LENGTH: f64 = 1.0;
/// Longest interval between two sends to an endpoint at which the node keeps idle connections to
/// the endpoint open, multiplied by the number of nodes: 13 s at 300 nodes. A handshake costs work
/// at the endpoint and time, and an idle connection uses part of the endpoint's connection limit.
const KEEP_OPEN_INTERVAL_ALL_NODES: Duration = Duration::from_secs(4_000);
/// Minimum expected work in seconds; prevents a division by zero.
const MIN_EXPECTED_WORK_SECONDS: f64 = 1e-6;

/// Evaluation of an attempt's outcome, made once for all mechanisms.
#[derive(Debug)]
struct Evaluation {
    /// Status of the attempt.
    status: Status,
    /// Result as evidence about the endpoint.
    result: CallResult,
    /// Whether the endpoint reported that it fetched the value from the origin.
    fetched: bool,
    /// Position of the request's class.
    class: usize,
    /// Latency objective of the request.
    latency_objective: Duration,
    /// Epochs of the breakers when the attempt was sent.
    epochs: BreakerEpochs,
    /// Whether the endpoint had recently reported an empty queue, before this attempt ended.
    recent_queue_was_empty: bool,
    /// Whether the attempt timed out at an endpoint that recently reported an empty queue. The
    /// queue is not the cause of such a timeout; a miss that waits for the origin is a possible
    /// cause. The endpoint's breaker and load shedding do not count the timeout, because the
    /// endpoint's keys would be misses at other endpoints. The concurrency limit still decreases.
    timeout_without_queue: bool,
    /// Whether the latency is within the time allowed for the expected work and latency objective.
    in_time: bool,
    /// Whether the endpoint reported spare cores.
    has_spare_cores: bool,
    /// Whether the endpoint reported an empty queue with this outcome; `None` without a report.
    reported_queue_empty: Option<bool>,
    /// Whether the endpoint's queue counts as empty: the endpoint reported an empty queue and the
    /// deployment is small enough for the report to reflect this node's load, or
    /// `timeout_without_queue` is set.
    queue_is_empty: bool,
}

impl Evaluation {
    fn succeeded(&self) -> bool {
        self.result == CallResult::Success
    }

    fn failed(&self) -> bool {
        self.result == CallResult::Failure
    }

    /// Checks whether the response was late and the endpoint had no spare cores. With spare cores,
    /// the work itself took long.
    fn is_late(&self) -> bool {
        self.succeeded() && !self.in_time && !self.has_spare_cores
    }

    /// Checks whether the endpoint rejected the attempt with an empty queue, so that overload is
    /// not the cause.
    fn is_rejected_without_load(&self) -> bool {
        self.status == Status::Rejected
            && self.recent_queue_was_empty
            && self.reported_queue_empty != Some(false)
    }

    /// Checks whether the attempt was rejected because of load, or timed out.
    fn is_overloaded(&self) -> bool {
        let rejected_or_timed_out = matches!(self.status, Status::Rejected | Status::TimedOut);
        self.timeout_without_queue
            || self.failed() && !self.is_rejected_without_load() && rejected_or_timed_out
    }
}

impl Balancer {
    /// Handles the outcome of an attempt; ignores an attempt that is not in flight.
    pub(super) fn on_attempt_ended(
        &mut self,
        outcome: &Outcome,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut pending) = self.pending.remove(&outcome.id) else {
            return;
        };
        let Some(index) = pending.end_attempt(outcome) else {
            return self.store_pending(pending);
        };
        self.record_outcome(&pending, index, outcome, now, actions);
        pending.finished |= outcome.answered;
        self.dispatch(pending, now, actions);
    }

    /// Reports the outcome of an attempt to each mechanism.
    fn record_outcome(
        &mut self,
        pending: &PendingRequest,
        attempt_index: usize,
        outcome: &Outcome,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let request = &pending.request;
        let attempt = &pending.attempts[attempt_index];
        let position = self
            .endpoints
            .position(&outcome.endpoint, attempt.incarnation);
        self.update_zone_breaker(attempt, outcome.status, now, actions);
        let evaluation = self.evaluate(request, pending.terms, attempt, outcome, position, now);
        self.update_caches(request, position, outcome, &evaluation);
        self.update_origin_breaker(&evaluation, now, actions);
        if outcome.status == Status::Ok {
            self.latencies
                .record_latency(evaluation.class, outcome.latency);
        }
        let Some(position) = position else {
            return;
        };
        self.update_kind_speed(position, request, outcome.latency, &evaluation, now);
        self.update_concurrency(position, &evaluation, now);
        self.close_rarely_used_connections(position, actions);
        self.update_class_breaker(position, &evaluation, now, actions);
        self.update_endpoint_breaker(position, &evaluation, now, actions);
    }

    fn evaluate(
        &mut self,
        request: &Request,
        terms: ClassTerms,
        attempt: &Attempt,
        outcome: &Outcome,
        position: Option<usize>,
        now: Timestamp,
    ) -> Evaluation {
        let status = outcome.status;
        let recent_queue_was_empty =
            position.is_some_and(|index| self.has_no_queue(&self.endpoints[index], now));
        let timeout_without_queue = recent_queue_was_empty && status == Status::TimedOut;
        let fetched = outcome.cache_result == Some(CacheResult::Miss)
            && self.settings.mode == CacheMode::ReadThrough;
        let origin_at_fault = self.origin.on_attempt_ended(attempt, status, now) || fetched;
        let latency_objective = terms.latency_objective;
        let time_allowed = self
            .latencies
            .time_allowed(request.expected_work, latency_objective);
        let LoadReport {
            utilization,
            queue_length,
            ..
        } = outcome.load;
        let reported_queue_empty = queue_length.map(|length| length < EMPTY_QUEUE_LENGTH);
        let report_reflects_own_load = self.settings.nodes <= MAX_NODES_FOR_QUEUE_REPORTS;
        Evaluation {
            status,
            result: call_result(status, timeout_without_queue, origin_at_fault),
            fetched,
            class: self.class_index(request),
            latency_objective,
            epochs: attempt.epochs,
            recent_queue_was_empty,
            timeout_without_queue,
            in_time: outcome.latency <= time_allowed,
            has_spare_cores: utilization.is_some_and(|fraction| fraction < BUSY_UTILIZATION),
            reported_queue_empty,
            queue_is_empty: timeout_without_queue
                || report_reflects_own_load && reported_queue_empty == Some(true),
        }
    }

    fn update_zone_breaker(
        &mut self,
        attempt: &Attempt,
        status: Status,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let (zone, epoch) = (&attempt.endpoint.zone, attempt.epochs.zone);
        let opened = self
            .zones
            .on_outcome(zone, epoch, status, &mut self.random, now);
        actions.extend(opened.map(Action::BreakerOpened));
    }

    fn update_caches(
        &mut self,
        request: &Request,
        position: Option<usize>,
        outcome: &Outcome,
        evaluation: &Evaluation,
    ) {
        if let (Some(index), Some(key), Status::Ok) = (position, request.key, outcome.status) {
            self.recently_served_keys
                .insert(key, &self.endpoints[index]);
        }
        if evaluation.fetched || outcome.cache_result == Some(CacheResult::Hit) {
            let cached = evaluation.result != CallResult::Inconclusive;
            self.cached_keys.insert(routing_key(request), cached);
        }
    }

    fn update_origin_breaker(
        &mut self,
        evaluation: &Evaluation,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(epoch) = evaluation.epochs.origin else {
            return;
        };
        let result = match evaluation.result {
            _ if !evaluation.fetched => CallResult::Inconclusive,
            // A failed fetch is evidence about the origin, not about the endpoint.
            CallResult::Inconclusive => CallResult::Failure,
            CallResult::Success | CallResult::Failure => CallResult::Success,
        };
        // There is only one origin, so outlier detection does not apply.
        let breaker = &mut self.origin.breaker;
        if breaker.on_outcome(epoch, result, now) != Verdict::Keep {
            breaker.open(COOLDOWN, now);
            actions.push(Action::BreakerOpened(BreakerScope::Origin));
        }
    }

    /// Updates the speed of the endpoint's kind from outcomes that needed no origin, at endpoints
    /// with full capacity.
    fn update_kind_speed(
        &mut self,
        index: usize,
        request: &Request,
        latency: Duration,
        evaluation: &Evaluation,
        now: Timestamp,
    ) {
        let endpoint = &self.endpoints[index].endpoint;
        let indicates_speed = matches!(evaluation.status, Status::Ok | Status::TimedOut);
        if self.settings.weights_include_speed
            || !indicates_speed
            || evaluation.fetched
            || slow_start::capacity_fraction(&self.settings, endpoint, now) < 1.0
        {
            return;
        }
        let expected = request
            .expected_work
            .unwrap_or(evaluation.latency_objective);
        let expected = expected.as_secs_f64().max(MIN_EXPECTED_WORK_SECONDS);
        self.kind_speeds.record(&endpoint.kind, latency, expected);
    }

    /// Adapts the endpoint's concurrency limit and counts the outcome for load shedding.
    fn update_concurrency(&mut self, index: usize, evaluation: &Evaluation, now: Timestamp) {
        // A node of a large deployment cannot prevent endpoints from being full for short times. A
        // rejection is therefore not counted while the request is retried at another endpoint.
        let retries_elsewhere = self.is_large_deployment() && evaluation.status == Status::Rejected;
        let state = &mut self.endpoints[index];
        if let Some(queue_is_empty) = evaluation.reported_queue_empty {
            state.record_queue_report(queue_is_empty, now);
        }
        let is_late = evaluation.is_late();
        if evaluation.succeeded() && (!is_late || evaluation.queue_is_empty) {
            self.load_shedder.record_good();
        }
        let limit = &mut state.concurrency;
        if evaluation.succeeded() && evaluation.in_time && limit.is_in_use() {
            limit.increase();
        } else if is_late && evaluation.queue_is_empty {
            limit.decrease_without_queue(self.concurrency);
        } else if is_late || evaluation.is_overloaded() {
            if !evaluation.timeout_without_queue && !retries_elsewhere {
                self.load_shedder.record_bad();
            }
            limit.decrease(self.concurrency);
        }
        limit.on_end();
        if evaluation.succeeded() {
            state.record_success(now);
        }
    }

    /// Closes idle connections to an endpoint that receives few requests from this node. A node of
    /// a large deployment sends to an endpoint rarely; idle connections from all nodes would
    /// exhaust the endpoint's connection limit.
    fn close_rarely_used_connections(&self, index: usize, actions: &mut Vec<Action>) {
        let state = &self.endpoints[index];
        let max_send_interval = KEEP_OPEN_INTERVAL_ALL_NODES / self.settings.nodes.max(1);
        if state.concurrency.in_flight() == 0 && state.send_interval() > max_send_interval {
            actions.push(Action::CloseIdleConnections {
                endpoint: state.endpoint.id.clone(),
            });
        }
    }

    fn update_class_breaker(
        &mut self,
        index: usize,
        evaluation: &Evaluation,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let result = if evaluation.succeeded() {
            CallResult::Success
        } else if evaluation.is_rejected_without_load() {
            CallResult::Failure
        } else {
            // Other failures may be caused by the origin or affect the whole endpoint.
            CallResult::Inconclusive
        };
        let class = evaluation.class;
        let breaker = &mut self.endpoints[index].class_breakers[class];
        let opens = match breaker.on_outcome(evaluation.epochs.class, result, now) {
            Verdict::Keep => false,
            Verdict::TrialFailed => true,
            Verdict::RateExceeded => outlier::class_is_outlier(&self.endpoints, index, class, now),
        };
        if opens {
            let state = &mut self.endpoints[index];
            state.class_breakers[class].open(COOLDOWN, now);
            actions.push(Action::BreakerOpened(BreakerScope::EndpointClass {
                endpoint: state.endpoint.id.clone(),
                class,
            }));
        }
    }

    fn update_endpoint_breaker(
        &mut self,
        index: usize,
        evaluation: &Evaluation,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let state = &mut self.endpoints[index];
        let rejected = evaluation.status == Status::Rejected;
        let is_load_rejection = rejected && state.is_busy(now);
        let result = if is_load_rejection || evaluation.is_rejected_without_load() {
            CallResult::Inconclusive
        } else {
            evaluation.result
        };
        let epoch = evaluation.epochs.endpoint;
        let opens = match state.breaker.on_outcome(epoch, result, now) {
            Verdict::Keep => false,
            Verdict::TrialFailed => true,
            Verdict::RateExceeded => outlier::endpoint_is_outlier(&self.endpoints, index, now),
        };
        if opens {
            let state = &mut self.endpoints[index];
            state.breaker.open(COOLDOWN, now);
            let endpoint = state.endpoint.id.clone();
            actions.push(Action::BreakerOpened(BreakerScope::Endpoint(endpoint)));
        }
    }
}

/// Returns the result of an attempt as evidence about its endpoint. A failed fetch is a failure of
/// the origin: another endpoint would fetch from the same origin.
fn call_result(status: Status, timeout_without_queue: bool, origin_at_fault: bool) -> CallResult {
    match status {
        Status::Ok | Status::Miss => CallResult::Success,
        Status::Canceled | Status::NotSent => CallResult::Inconclusive,
        _ if timeout_without_queue || origin_at_fault => CallResult::Inconclusive,
        _ => CallResult::Failure,
    }
}
