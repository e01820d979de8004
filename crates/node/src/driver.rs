//! The driver: handles each request from its arrival to its final response by executing the
//! decision module's actions.
//!
//! The driver is the only owner of the decision module and of the open requests. Events arrive by
//! channel and are passed to the decision module, whose actions are executed in order. The driver
//! itself never chooses an endpoint, retries a request or sheds one.
//!
//! Course of a request: `on_request_received` opens it, `start_attempt` forwards it,
//! `on_attempt_ended` reports the result of an attempt to the decision module, `respond` sends the
//! final response, and `remove_if_finished` removes the request. Two events can end a request
//! early: `on_client_disconnected` and `on_response_deadline`.

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

/// Purpose of a timer of the driver.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Passes a timer event to the decision module, which requested it.
    PolicyWake,
    /// Fails the request if it has no final response yet.
    ResponseDeadline(RequestId),
}

/// Components of a [`Driver`].
pub struct DriverOptions {
    /// The decision module.
    pub balancer: Balancer,
    /// Connection pools through which attempts are made.
    pub upstream: Rc<Upstream>,
    /// Notified when the decision module requests a poll of discovery.
    pub poll_requested: Rc<Notify>,
    /// Set once the node is ready for clients.
    pub ready: Rc<Cell<bool>>,
    /// Whether the node waits for the first list from discovery before it is ready.
    pub awaits_first_list: bool,
    /// Sender of the events that `run` reads; attempts report their results through it.
    pub events: UnboundedSender<DriverEvent>,
    /// Observer of requests, attempts, endpoint lists and opened breakers.
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
    /// Creates a driver without endpoints or requests.
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

    /// Runs for the lifetime of the node, starting from the last known endpoints.
    ///
    /// Events of discovery have their own channel, which is read before all others. In a shared
    /// queue an endpoint list would wait until a whole burst of requests had been decided by the
    /// old list.
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
            DriverEvent::SettingsChanged(settings) => {
                self.policy.enqueue(Event::SettingsChanged(settings));
            }
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

/// Handling of requests.
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

    /// Converts a client's request to the decision module's type.
    fn decision_request(&self, id: RequestId, request: &ClientRequest) -> Request {
        Request {
            id,
            class: Some(request.class.id),
            class_terms: Some(request.class.definition.terms()),
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
            // Fails only after the driver has ended, and with it the node.
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

    /// Sends the final response that the decision module has chosen.
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

    /// Fails a request for which the decision module has chosen no response in time, and cancels it
    /// in the decision module. The results of its attempts in flight are still reported to the
    /// decision module.
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
        // Without this, timers of finished requests would outnumber the open requests.
        self.timers.cancel(
            open.response_deadline(),
            Timer::ResponseDeadline(id.clone()),
        );
        self.open_requests.remove(id);
    }
}

/// Handling of endpoint lists.
impl Driver {
    /// Applies the last known endpoints, which may differ from the current list of discovery.
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

    /// Applies a list to the connection pools and to readiness, and returns its endpoints for the
    /// decision module. The caller queues the endpoints in the same step, so that no attempt is
    /// based on a list that the connection pools do not have yet.
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

/// Returns the decision module's id of the request with this number.
fn request_id(number: u64) -> RequestId {
    RequestId::from(number.to_string().as_str())
}
