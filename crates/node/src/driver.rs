//! The driver: takes a request from its arrival to its final response, as the decision module says.
//!
//! It alone owns the decision module and the open requests. Events come in by channel, become events of the
//! decision module, and its actions are carried out in order; no endpoint is chosen, nothing retried and nothing shed
//! here.
//!
//! The way of a request: `on_request_received` opens it, `start_attempt` forwards it, `on_attempt_ended` reports an
//! attempt's result to the decision module, `respond` gives the final response, and `remove_if_finished` forgets it. Two
//! events can cut that short: `on_client_disconnected` and `on_response_deadline`.

mod messages;
mod open_request;
mod readiness;

pub use messages::{ClientRequest, DriverEvent, FinalResponse};

use crate::policy_runner::{endpoints, ActionExecutor, PolicyRunner};
use crate::timer_queue::TimerQueue;
use crate::upstream::{AttemptResult, Upstream};
use open_request::OpenRequest;
use readiness::Readiness;
use slatelink_config::EndpointList;
use slatelink_policy::{
    Action, Availability, Balancer, Endpoint, EndpointId, EndpointUpdate, Event, Outcome, Request,
    RequestId,
};
use slatelink_telemetry::Observer;
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::time::Instant;

/// What the driver does at a point in time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The decision module asked for a timer event.
    PolicyWake,
    /// This request must have been sent a response.
    ResponseDeadline(RequestId),
}

/// What a driver is made of.
pub struct DriverOptions {
    /// The decision module.
    pub balancer: Balancer,
    /// Makes the attempts.
    pub upstream: Rc<Upstream>,
    /// Notified when the decision module asks for a poll of discovery.
    pub poll_requested: Rc<Notify>,
    /// Set once clients may come.
    pub ready: Rc<Cell<bool>>,
    /// Whether the node is not ready before discovery has sent its first list.
    pub awaits_first_list: bool,
    /// Where attempts report their ends: the sending end of the events that `run` reads.
    pub events: UnboundedSender<DriverEvent>,
    /// Is called with everything that happens to requests.
    pub observer: Rc<dyn Observer>,
}

/// The owner of the decision module and of the open requests.
pub struct Driver {
    policy: PolicyRunner,
    upstream: Rc<Upstream>,
    poll_requested: Rc<Notify>,
    readiness: Readiness,
    events: UnboundedSender<DriverEvent>,
    observer: Rc<dyn Observer>,
    open_requests: HashMap<RequestId, OpenRequest>,
    timers: TimerQueue<Timer>,
}

impl Driver {
    /// A driver without endpoints and requests.
    pub fn new(options: DriverOptions) -> Self {
        Self {
            policy: PolicyRunner::new(options.balancer),
            upstream: options.upstream,
            poll_requested: options.poll_requested,
            readiness: Readiness::new(options.ready, options.awaits_first_list),
            events: options.events,
            observer: options.observer,
            open_requests: HashMap::new(),
            timers: TimerQueue::new(),
        }
    }

    /// Runs for as long as the node does, from the endpoints that it knew last.
    ///
    /// Events of discovery come by a channel of their own and go before all others: in one queue they would wait until
    /// the whole of a burst of requests has been decided by the old list.
    pub async fn run(
        mut self,
        known_endpoints: EndpointList,
        mut discovery_events: UnboundedReceiver<DriverEvent>,
        mut events: UnboundedReceiver<DriverEvent>,
    ) {
        self.apply_known_endpoints(known_endpoints);
        self.handle_queued_events();
        loop {
            tokio::select! {
                biased;
                event = discovery_events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = self.timers.next_expiry() => self.handle_expired_timers(),
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
            }
            self.handle_queued_events();
        }
    }

    fn handle_event(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::RequestReceived(request) => self.on_request_received(*request),
            DriverEvent::ClientDisconnected(number) => {
                self.on_client_disconnected(request_id(number));
            }
            DriverEvent::AttemptEnded {
                id,
                attempt,
                result,
            } => self.on_attempt_ended(id, attempt, result),
            DriverEvent::EndpointListReceived(list) => self.on_endpoint_list_received(&list),
            DriverEvent::DiscoveryFailed => self.on_discovery_failed(),
        }
    }

    fn handle_expired_timers(&mut self) {
        let now = Instant::now();
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::PolicyWake => self.policy.enqueue(Event::Timer),
                Timer::ResponseDeadline(id) => self.on_response_deadline(id),
            }
        }
    }
}

/// The way of a request.
impl Driver {
    fn on_request_received(&mut self, request: ClientRequest) {
        let id = request_id(request.number);
        let decision_request = self.decision_request(id.clone(), &request);
        let open = OpenRequest::new(request);
        self.observer.request_received(open.class(), open.path());
        self.timers.schedule(
            open.response_deadline(),
            Timer::ResponseDeadline(id.clone()),
        );
        self.open_requests.insert(id, open);
        self.policy.enqueue(Event::Request(decision_request));
    }

    /// A client's request as the decision module sees it.
    fn decision_request(&self, id: RequestId, request: &ClientRequest) -> Request {
        Request {
            id,
            class: Some(request.class),
            key: request.key,
            deadline: self.policy.timestamp(request.deadline()),
            expected_work: request.expected_work,
            write: request.write,
            over_quota: request.over_quota,
        }
    }

    fn start_attempt(
        &mut self,
        id: RequestId,
        endpoint: EndpointId,
        timeout: Duration,
        begin_within: Duration,
    ) {
        let Some(open) = self.open_requests.get_mut(&id) else {
            return;
        };
        let attempt = open.start_attempt(endpoint.clone(), timeout, begin_within);
        self.observer.attempt_started(&endpoint);
        let (upstream, events) = (self.upstream.clone(), self.events.clone());
        tokio::task::spawn_local(async move {
            let result = upstream
                .attempt(&endpoint, &attempt.message, attempt.limits)
                .await;
            // Only fails once the driver is gone, with which the node ends.
            let _ = events.send(DriverEvent::AttemptEnded {
                id,
                attempt: attempt.number,
                result,
            });
        });
    }

    fn on_attempt_ended(&mut self, id: RequestId, attempt: u32, result: AttemptResult) {
        let Some(open) = self.open_requests.get_mut(&id) else {
            return;
        };
        let Some(ended) = open.end_attempt(attempt, result.status, result.body, &*self.observer)
        else {
            return;
        };
        let answered = !open.awaits_response();
        self.remove_if_finished(&id);
        self.policy.enqueue(Event::AttemptEnded(Outcome {
            id,
            attempt,
            endpoint: ended.endpoint,
            status: result.status,
            cache_result: result.cache_result,
            latency: ended.latency,
            answered,
            load: result.load,
        }));
    }

    /// Gives the final response that the decision module has decided on.
    fn respond(&mut self, id: &RequestId, response: FinalResponse) {
        if let Some(open) = self.open_requests.get_mut(id) {
            open.respond(response, &*self.observer);
            self.remove_if_finished(id);
        }
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        let Some(open) = self
            .open_requests
            .get_mut(&id)
            .filter(|open| open.awaits_response())
        else {
            return;
        };
        open.disconnect(&*self.observer);
        self.remove_if_finished(&id);
        self.policy.enqueue(Event::RequestCanceled(id));
    }

    /// Fails a request that the decision module has left without a response, and cancels it there. The results of
    /// its attempts in flight are still reported to it.
    fn on_response_deadline(&mut self, id: RequestId) {
        let Some(open) = self
            .open_requests
            .get_mut(&id)
            .filter(|open| open.awaits_response())
        else {
            return;
        };
        open.respond(FinalResponse::Failed, &*self.observer);
        self.remove_if_finished(&id);
        self.policy.enqueue(Event::RequestCanceled(id));
    }

    fn remove_if_finished(&mut self, id: &RequestId) {
        let Some(open) = self.open_requests.get(id).filter(|open| open.is_finished()) else {
            return;
        };
        // Left to expire, the timers of finished requests would outnumber the open requests.
        self.timers.cancel(
            open.response_deadline(),
            Timer::ResponseDeadline(id.clone()),
        );
        self.open_requests.remove(id);
    }
}

/// Endpoint lists.
impl Driver {
    /// Begins with the endpoints that the node knew last, of which discovery may think otherwise.
    fn apply_known_endpoints(&mut self, known_endpoints: EndpointList) {
        let snapshot = EndpointList {
            complete: true,
            ..known_endpoints
        };
        let endpoints = self.apply_endpoint_list(&snapshot);
        self.policy.enqueue(Event::LastKnownEndpoints(endpoints));
    }

    fn on_endpoint_list_received(&mut self, list: &EndpointList) {
        self.readiness.on_list_received();
        let endpoints = self.apply_endpoint_list(list);
        self.policy.enqueue_endpoints(endpoints, list.complete);
    }

    fn on_discovery_failed(&mut self) {
        self.readiness.on_discovery_failed();
        self.policy
            .enqueue(Event::Endpoints(EndpointUpdate::Unavailable));
    }

    /// Applies a list to the connections to endpoints and to readiness, and returns its endpoints for the decision
    /// module. The caller queues them in the same step, so that no attempt is made by a list that the connections lack.
    fn apply_endpoint_list(&mut self, list: &EndpointList) -> Arc<[Endpoint]> {
        self.observer.endpoints_updated(list);
        let endpoints = endpoints(list);
        if list.complete {
            self.upstream
                .retain_endpoints(|id| endpoints.iter().any(|endpoint| endpoint.id == *id));
        }
        for (record, endpoint) in list.endpoints.iter().zip(endpoints.iter()) {
            match endpoint.availability {
                Availability::Removed => self.upstream.remove_endpoint(&endpoint.id),
                _ => self.upstream.update_endpoint(endpoint, record.address()),
            }
        }
        let has_ready_endpoint = endpoints
            .iter()
            .any(|endpoint| endpoint.availability == Availability::Ready);
        self.readiness.on_list_applied(has_ready_endpoint);
        endpoints
    }
}

impl ActionExecutor for Driver {
    fn policy(&mut self) -> &mut PolicyRunner {
        &mut self.policy
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                endpoint,
                timeout,
                begin_within,
            } => self.start_attempt(id, endpoint, timeout, begin_within),
            Action::Shed { id, retry_after } => {
                self.respond(&id, FinalResponse::Shed { retry_after });
            }
            Action::Fail { id } => self.respond(&id, FinalResponse::Failed),
            Action::Wake { after } => {
                let at = Instant::now() + after;
                self.timers.schedule(at, Timer::PolicyWake);
            }
            Action::CloseIdleConnections { endpoint } => self.upstream.close_idle(&endpoint),
            Action::PollDiscovery => self.poll_requested.notify_one(),
            Action::BreakerOpened(scope) => self.observer.breaker_opened(&scope),
        }
    }
}

/// The decision module's id of the client's request of this number.
fn request_id(number: u64) -> RequestId {
    RequestId::from(number.to_string().as_str())
}
