//! Evaluates the end of an attempt and reports it to each mechanism.

use super::Balancer;
use crate::api::{
    Action, BreakerScope, CacheMode, CacheResult, LoadReport, Outcome, Request, Status, Timestamp,
};
use crate::breaker::{CallResult, Verdict, COOLDOWN};
use crate::hashing::routing_key;
use crate::outlier;
use crate::pending::{Attempt, BreakerEpochs};
use crate::slow_start;
use std::time::Duration;

/// Utilization from which on an endpoint has no cores to spare.
const BUSY_UTILIZATION: f64 = 0.8;
/// Up to this many nodes, each sends to an endpoint often enough for the queue length that it
/// reports to reflect this node's load.
const MAX_NODES_FOR_QUEUE_REPORTS: u32 = 100;
/// Mean number of waiting requests under which an endpoint has no queue.
const QUEUE_LENGTH_OF_NONE: f64 = 1.0;
/// Longest interval between two sends to an endpoint at which idle connections to it are kept open:
/// this time divided by the number of nodes, 13 s for one of 300. A handshake is work for the
/// endpoint and costs time, and an idle connection uses up part of its connection limit.
const CONNECTION_KEPT_OPEN: Duration = Duration::from_secs(4_000);
/// Least expected work, in seconds: it is divided by.
const MIN_EXPECTED_WORK: f64 = 1e-6;

/// What the end of an attempt shows, as judged once for all mechanisms.
#[derive(Debug)]
struct Evaluation {
    /// How the attempt ended.
    status: Status,
    /// What it shows of the endpoint.
    result: CallResult,
    /// The endpoint had to fetch the value from the origin, as it reported.
    fetched: bool,
    /// Position of the request's class.
    class: usize,
    /// Of the breakers, when the attempt was sent.
    epochs: BreakerEpochs,
    /// The endpoint had recently reported an empty queue, before this attempt ended.
    recent_queue_was_empty: bool,
    /// A time-out at an endpoint that recently reported an empty queue: something else took long (a
    /// miss that waits for the origin, say). Not counted by the endpoint's breaker nor by load
    /// shedding, since its keys would be missed elsewhere; the concurrency limit still decreases.
    timeout_without_queue: bool,
    /// Its latency is within the time allowed for its expected work and latency objective.
    in_time: bool,
    /// The endpoint has cores to spare, as it reported.
    has_spare_cores: bool,
    /// Whether the endpoint reported an empty queue at this end; `None` without a report.
    reported_queue_empty: Option<bool>,
    /// Whether the endpoint's queue counts as empty: it was reported empty, in a deployment small
    /// enough for the report to reflect this node's load, or this is a `timeout_without_queue`.
    queue_is_empty: bool,
}

impl Evaluation {
    fn succeeded(&self) -> bool {
        self.result == CallResult::Success
    }

    fn failed(&self) -> bool {
        self.result == CallResult::Failure
    }

    /// Answered late by an endpoint without cores to spare: one that has them took long for the
    /// work itself.
    fn is_late(&self) -> bool {
        self.succeeded() && !self.in_time && !self.has_spare_cores
    }

    /// Rejected with an empty queue, so overload is not the cause.
    fn is_rejected_without_load(&self) -> bool {
        self.status == Status::Rejected
            && self.recent_queue_was_empty
            && self.reported_queue_empty != Some(false)
    }

    /// Rejected because of load, or timed out.
    fn is_overloaded(&self) -> bool {
        let rejected_or_timed_out = matches!(self.status, Status::Rejected | Status::TimedOut);
        self.timeout_without_queue
            || self.failed() && !self.is_rejected_without_load() && rejected_or_timed_out
    }
}

impl Balancer {
    /// Handles the end of an attempt; one that is not in flight is ignored.
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
            return self.keep(pending);
        };
        self.learn_from(
            &pending.request,
            &pending.attempts[index],
            outcome,
            now,
            actions,
        );
        pending.finished |= outcome.answered;
        self.dispatch(pending, now, actions);
    }

    /// Reports the end of an attempt to each mechanism.
    fn learn_from(
        &mut self,
        request: &Request,
        attempt: &Attempt,
        outcome: &Outcome,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let position = self
            .endpoints
            .position(&outcome.endpoint, attempt.incarnation);
        self.update_zone_breaker(attempt, outcome.status, now, actions);
        let evaluation = self.evaluate(request, attempt, outcome, position, now);
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
        self.close_seldom_used_connections(position, actions);
        self.update_class_breaker(position, &evaluation, now, actions);
        self.update_endpoint_breaker(position, &evaluation, now, actions);
    }

    fn evaluate(
        &mut self,
        request: &Request,
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
        let objective = self.class(request).latency_objective;
        let time_allowed = self
            .latencies
            .time_allowed(request.expected_work, objective);
        let LoadReport {
            utilization,
            queue_length,
            ..
        } = outcome.load;
        let reported_queue_empty = queue_length.map(|waiting| waiting < QUEUE_LENGTH_OF_NONE);
        let report_counts = self.settings.nodes <= MAX_NODES_FOR_QUEUE_REPORTS;
        Evaluation {
            status,
            result: call_result(status, timeout_without_queue, origin_at_fault),
            fetched,
            class: self.class_index(request),
            epochs: attempt.epochs,
            recent_queue_was_empty,
            timeout_without_queue,
            in_time: outcome.latency <= time_allowed,
            has_spare_cores: utilization.is_some_and(|busy| busy < BUSY_UTILIZATION),
            reported_queue_empty,
            queue_is_empty: timeout_without_queue
                || report_counts && reported_queue_empty == Some(true),
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
        // There is one origin: it cannot be an outlier.
        let breaker = &mut self.origin.breaker;
        if breaker.on_outcome(epoch, result, now) != Verdict::Keep {
            breaker.open(COOLDOWN, now);
            actions.push(Action::BreakerOpened(BreakerScope::Origin));
        }
    }

    /// Learns the speed of the endpoint's kind from answers that needed no origin, of endpoints
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
        let measures = matches!(evaluation.status, Status::Ok | Status::TimedOut);
        if self.settings.weights_include_speed
            || !measures
            || evaluation.fetched
            || slow_start::capacity_fraction(&self.settings, endpoint, now) < 1.0
        {
            return;
        }
        let objective = self.settings.classes[evaluation.class].latency_objective;
        let expected = request.expected_work.unwrap_or(objective);
        let expected = expected.as_secs_f64().max(MIN_EXPECTED_WORK);
        self.kind_speeds.record(&endpoint.kind, latency, expected);
    }

    /// Adapts the endpoint's concurrency limit, and counts the end for load shedding.
    fn update_concurrency(&mut self, index: usize, evaluation: &Evaluation, now: Timestamp) {
        // A node of a large deployment cannot keep endpoints from being full for a moment: while
        // the request goes on to another one nothing is lost.
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

    /// Closes idle connections to an endpoint that is seldom sent to. A node of a large deployment
    /// sends to an endpoint rarely; idle connections from all nodes would exhaust the endpoint's
    /// connection limit.
    fn close_seldom_used_connections(&self, index: usize, actions: &mut Vec<Action>) {
        let state = &self.endpoints[index];
        let kept_open = CONNECTION_KEPT_OPEN / self.settings.nodes.max(1);
        if state.concurrency.in_flight() == 0 && state.send_interval() > kept_open {
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
            // Other failures may be the origin's or the whole endpoint's.
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
        let is_load = rejected && state.is_busy(now);
        let result = if is_load || evaluation.is_rejected_without_load() {
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

/// What an attempt's end shows of its endpoint. A fetch that failed is the origin's failure:
/// another endpoint would fetch from the same origin.
fn call_result(status: Status, timeout_without_queue: bool, origin_at_fault: bool) -> CallResult {
    match status {
        Status::Ok | Status::Miss => CallResult::Success,
        Status::Canceled | Status::NotSent => CallResult::Inconclusive,
        _ if timeout_without_queue || origin_at_fault => CallResult::Inconclusive,
        _ => CallResult::Failure,
    }
}
