//! The control plane of a node without its data plane, for measurements of many nodes in one
//! process.
//!
//! Contains the discovery client and the decision module of a whole node, connected in the same
//! way, but no listener, no connections to endpoints and no clients. Requests can be generated at a
//! given rate; each attempt ends at once with success.

mod generated_requests;

use crate::discovery::{self, DiscoveryOptions, ListTimings};
use crate::driver::DriverEvent;
use crate::list_client::MAX_LIST_BYTES;
use crate::policy_runner::{endpoints, ActionExecutor, PolicyRunner};
use crate::timer_queue::{sleep_until_some, TimerQueue};
use generated_requests::RequestGenerator;
use slatelink_config::EndpointList;
use slatelink_policy::{
    Action, Balancer, EndpointId, EndpointUpdate, Event, LoadReport, Outcome, Request, RequestId,
    Settings, Status,
};
use slatelink_telemetry::Log;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Latency reported for each attempt.
const REPORTED_LATENCY: Duration = Duration::from_millis(1);

/// Receives the events of a control plane.
pub trait ControlObserver {
    /// The decision module has applied the endpoint list of this version; `complete` if the list
    /// came as a snapshot.
    fn endpoint_list_applied(&self, version: u64, complete: bool);

    /// A call to discovery has failed.
    fn discovery_failed(&self) {}

    /// The decision module has handled a generated request in this processor time; `sent` if it
    /// chose an endpoint.
    fn request_handled(&self, _sent: bool, _processor_time: Duration) {}
}

/// The configuration of a control plane.
pub struct ControlOptions {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Seed of all random draws: those of the decision module, the discovery client and generated
    /// requests.
    pub seed: u64,
    /// Address of discovery. A new value has the effect of a reloaded configuration.
    pub discovery: watch::Receiver<SocketAddr>,
    /// Requests per second, with exponential gaps; zero for none.
    pub request_rate: f64,
    /// Returns the processor time used by the thread so far.
    pub processor_clock: fn() -> Duration,
    /// Log of the discovery client.
    pub log: Log,
}

/// Runs a control plane, initially without endpoints, until the future is dropped. Must run within
/// a `LocalSet`.
pub async fn run(options: ControlOptions, observer: Rc<dyn ControlObserver>) {
    let (events, received_events) = mpsc::unbounded_channel();
    let poll_requested = Rc::new(Notify::new());
    let mut random = fastrand::Rng::with_seed(options.seed);
    let discovery = discovery_options(&options, random.fork(), events);
    // Dropping the set with this future aborts the task.
    let mut tasks = JoinSet::new();
    tasks.spawn_local(discovery::run(discovery, poll_requested.clone()));
    let driver = ControlDriver {
        requests: RequestGenerator::new(&options.settings, options.request_rate, random),
        policy: PolicyRunner::new(Balancer::new(options.settings, options.seed)),
        poll_requested,
        wake_timers: TimerQueue::new(),
        attempts: 0,
        processor_clock: options.processor_clock,
        observer,
    };
    driver.run(received_events).await;
}

/// Returns the options of a discovery client for a node without an endpoint list.
fn discovery_options(
    options: &ControlOptions,
    random: fastrand::Rng,
    events: UnboundedSender<DriverEvent>,
) -> DiscoveryOptions {
    let settings = &options.settings;
    DiscoveryOptions {
        address: options.discovery.clone(),
        version: None,
        pushed: !settings.polls_discovery,
        timings: Rc::new(Cell::new(ListTimings::new(settings))),
        max_list_bytes: MAX_LIST_BYTES,
        random,
        events,
        log: options.log.clone(),
    }
}

/// Passes events to the decision module and executes its actions that concern the control plane.
struct ControlDriver {
    policy: PolicyRunner,
    poll_requested: Rc<Notify>,
    /// Times at which the decision module requested a timer event.
    wake_timers: TimerQueue<()>,
    requests: RequestGenerator,
    /// Number of attempts so far.
    attempts: u64,
    processor_clock: fn() -> Duration,
    observer: Rc<dyn ControlObserver>,
}

impl ControlDriver {
    async fn run(mut self, mut discovery_events: UnboundedReceiver<DriverEvent>) {
        self.policy
            .enqueue(Event::LastKnownEndpoints(Arc::from([])));
        self.handle_queued_events();
        loop {
            tokio::select! {
                event = discovery_events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = self.wake_timers.next_expiry() => self.handle_expired_timers(),
                () = sleep_until_some(self.requests.next_arrival()) => self.generate_request(),
            }
        }
    }

    fn handle_event(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::EndpointListReceived(list) => self.apply_endpoint_list(&list),
            DriverEvent::DiscoveryFailed => self.on_discovery_failed(),
            // Never received: only the discovery client holds the sender.
            DriverEvent::RequestReceived(_)
            | DriverEvent::ClientDisconnected(_)
            | DriverEvent::SettingsChanged(_)
            | DriverEvent::AttemptEnded { .. } => {}
        }
    }

    fn apply_endpoint_list(&mut self, list: &EndpointList) {
        self.policy
            .enqueue_endpoints(endpoints(list), list.complete);
        self.handle_queued_events();
        self.observer
            .endpoint_list_applied(list.version, list.complete);
    }

    fn on_discovery_failed(&mut self) {
        self.policy
            .enqueue(Event::Endpoints(EndpointUpdate::Unavailable));
        self.handle_queued_events();
        self.observer.discovery_failed();
    }

    fn handle_expired_timers(&mut self) {
        let now = Instant::now();
        while self.wake_timers.pop_expired(now).is_some() {
            self.policy.enqueue(Event::Timer);
        }
        self.handle_queued_events();
    }

    fn generate_request(&mut self) {
        let processor_time_before = (self.processor_clock)();
        let now = Instant::now();
        let generated = self.requests.generate(now);
        let id = generated.number.to_string();
        let deadline = self.policy.timestamp(now + generated.timeout);
        let attempts_before = self.attempts;
        self.policy.enqueue(Event::Request(Request {
            class: Some(generated.class),
            key: Some(generated.key),
            ..Request::new(&id, deadline)
        }));
        self.handle_queued_events();
        let processor_time = (self.processor_clock)().saturating_sub(processor_time_before);
        let sent = self.attempts > attempts_before;
        self.observer.request_handled(sent, processor_time);
    }
}

impl ActionExecutor for ControlDriver {
    fn policy(&mut self) -> &mut PolicyRunner {
        &mut self.policy
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, endpoint, .. } => {
                self.attempts += 1;
                self.policy.enqueue(served_attempt(id, endpoint));
            }
            Action::Wake { after } => self.wake_timers.schedule(Instant::now() + after, ()),
            Action::PollDiscovery => self.poll_requested.notify_one(),
            // There are no clients to answer and no connections to close.
            Action::Shed { .. }
            | Action::Fail { .. }
            | Action::CloseIdleConnections { .. }
            | Action::BreakerOpened(_) => {}
        }
    }
}

/// Returns the successful end of a request's first attempt; there is no second attempt.
fn served_attempt(id: RequestId, endpoint: EndpointId) -> Event {
    Event::AttemptEnded(Outcome {
        id,
        attempt: 0,
        endpoint,
        status: Status::Ok,
        cache_result: None,
        latency: REPORTED_LATENCY,
        answered: true,
        load: LoadReport::default(),
    })
}
