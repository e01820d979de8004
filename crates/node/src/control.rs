//! The control plane of a node by itself, for measurements of many in one process.
//!
//! It is the client of discovery and the decision module of a whole node, wired to each other as there, without listener,
//! connections to endpoints and clients. Requests can be generated at a rate; each attempt ends at once, as served.

mod generated_requests;

use crate::discovery::{self, DiscoveryOptions};
use crate::driver::DriverEvent;
use crate::policy_runner::{endpoints, ActionExecutor, PolicyRunner};
use crate::timer_queue::{sleep_until_some, TimerQueue};
use generated_requests::RequestGenerator;
use slatelink_config::EndpointList;
use slatelink_policy::{
    Action, Balancer, EndpointId, EndpointUpdate, Event, LoadReport, Outcome, Request, RequestId,
    Settings, Status,
};
use slatelink_telemetry::Log;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The latency that is reported of each attempt.
const REPORTED_LATENCY: Duration = Duration::from_millis(1);

/// Told of what happens in a control plane.
pub trait ControlObserver {
    /// The decision module decides by the endpoint list of this version from now on; `complete` if it came as a snapshot.
    fn endpoint_list_applied(&self, version: u64, complete: bool);

    /// A call to discovery has failed.
    fn discovery_failed(&self) {}

    /// The module has handled a generated request, in so much processor time; `sent` if it chose an endpoint for it.
    fn request_handled(&self, _sent: bool, _processor_time: Duration) {}
}

/// What a control plane is made of.
pub struct ControlOptions {
    /// The settings of the decision module.
    pub settings: Settings,
    /// Seed of all random draws: the module's, the client of discovery's, and those of generated requests.
    pub seed: u64,
    /// Where discovery answers; a new address is what a new configuration brings.
    pub discovery: watch::Receiver<SocketAddr>,
    /// Requests a second, with exponential gaps; zero for none.
    pub request_rate: f64,
    /// The processor time of the thread so far.
    pub processor_clock: fn() -> Duration,
    /// Where the client of discovery logs.
    pub log: Log,
}

/// Runs a control plane, with no endpoints at first, for as long as the future lives; within a `LocalSet`.
pub async fn run(options: ControlOptions, observer: Rc<dyn ControlObserver>) {
    let (events, received_events) = mpsc::unbounded_channel();
    let poll_requested = Rc::new(Notify::new());
    let mut random = fastrand::Rng::with_seed(options.seed);
    let discovery = discovery_options(&options, random.fork(), events);
    // Dropped with this future, the set ends its task.
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

/// The client of discovery of a node that holds no list.
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
        drain_grace: settings.drain_grace,
        max_poll_interval: settings.max_poll_interval,
        random,
        events,
        log: options.log.clone(),
    }
}

/// Tells the decision module of events, and carries out those of its actions that concern control.
struct ControlDriver {
    policy: PolicyRunner,
    poll_requested: Rc<Notify>,
    /// Times at which the module asked for a timer event.
    wake_timers: TimerQueue<()>,
    requests: RequestGenerator,
    /// Attempts so far.
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
            // Only the client of discovery has the sending end.
            DriverEvent::RequestReceived(_)
            | DriverEvent::ClientDisconnected(_)
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
                self.policy.enqueue(served(id, endpoint));
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

/// The end of a request's first attempt, served: there is no second one.
fn served(id: RequestId, endpoint: EndpointId) -> Event {
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
