//! The control plane of a node by itself, for measurements of many in one process.
//!
//! It is the client of discovery and the decision module of a whole node, wired to each other as there, without listener,
//! connections to cache servers and clients. Requests can be drawn at a rate; each attempt ends at once, as served.

use crate::decisions::Decisions;
use crate::discovery::Discovery;
use crate::driver::DriverEvent;
use slatelink_config::EndpointList;
use slatelink_policy::{
    Action, Balancer, ClassId, Endpoint, EndpointId, EndpointUpdate, Event, LoadReport, Outcome,
    Request, RequestId, Settings, Status,
};
use slatelink_telemetry::Log;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::sync::{watch, Notify};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// How long a drawn request's attempt is said to have taken.
const SERVICE_TIME: Duration = Duration::from_millis(1);
/// Keys of drawn requests are below this.
const KEYS: u64 = 20_000;

/// Hears what happens in a control plane.
pub trait ControlObserver {
    /// The decision module decides by the list of this version from now on; `whole` if it came as a whole list.
    fn in_force(&self, version: u64, whole: bool);

    /// A call to discovery has failed.
    fn discovery_failed(&self) {}

    /// The module has handled a drawn request, in so much processor time; `sent` if it chose a server for it.
    fn request_handled(&self, _sent: bool, _processor: Duration) {}
}

/// What a control plane is made of.
pub struct ControlOptions {
    /// The settings of the decision module.
    pub settings: Settings,
    /// Of all that is drawn: by the module, by the client of discovery, and the requests.
    pub seed: u64,
    /// Where discovery answers; a new address is what a new configuration brings.
    pub discovery: watch::Receiver<SocketAddr>,
    /// Requests a second, drawn with exponential gaps; zero for none.
    pub request_rate: f64,
    /// The processor time of the thread so far.
    pub processor_clock: fn() -> Duration,
    /// Where the client of discovery logs.
    pub log: Log,
}

/// Runs a control plane, with no list at first, for as long as the future lives; within a `LocalSet`.
pub async fn run(options: ControlOptions, observer: Rc<dyn ControlObserver>) {
    let ControlOptions {
        settings,
        seed,
        discovery,
        request_rate,
        processor_clock,
        log,
    } = options;
    let (events, inputs) = mpsc::unbounded_channel();
    let follow = Rc::new(Notify::new());
    let mut random = fastrand::Rng::with_seed(seed);
    let client = Discovery {
        address: discovery,
        seq: None,
        pushed: !settings.polls_discovery,
        drain_grace: settings.drain_grace,
        max_poll_interval: settings.max_poll_interval,
        random: random.fork(),
        events,
        log,
    };
    // Dropped with this future, the set ends its task.
    let mut tasks = JoinSet::new();
    tasks.spawn_local(client.run(follow.clone()));
    let driver = ControlDriver {
        requests: Requests::new(&settings, request_rate, random),
        decisions: Decisions::new(Balancer::new(settings, seed)),
        follow,
        wakes: BTreeSet::new(),
        sent: 0,
        processor_clock,
        observer,
    };
    driver.run(inputs).await;
}

/// Delivers events to the decision module and carries out what of its actions concerns control.
struct ControlDriver {
    decisions: Decisions,
    follow: Rc<Notify>,
    wakes: BTreeSet<Instant>,
    requests: Requests,
    /// Attempts so far.
    sent: u64,
    processor_clock: fn() -> Duration,
    observer: Rc<dyn ControlObserver>,
}

impl ControlDriver {
    async fn run(mut self, mut inputs: UnboundedReceiver<DriverEvent>) {
        self.decisions
            .push(Event::LastKnownEndpoints(Arc::from([])));
        self.handle_due();
        loop {
            let (wake, request) = (self.wakes.first().copied(), self.requests.next);
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                () = at(wake) => self.wake(),
                () = at(request) => self.request(),
            }
        }
    }

    fn take(&mut self, input: DriverEvent) {
        match input {
            DriverEvent::EndpointListReceived(list) => self.learn(&list),
            DriverEvent::DiscoveryFailed => {
                self.decisions
                    .push(Event::Endpoints(EndpointUpdate::Unavailable));
                self.handle_due();
                self.observer.discovery_failed();
            }
            // Only the client of discovery has the sending end.
            DriverEvent::RequestReceived(_)
            | DriverEvent::ClientDisconnected(_)
            | DriverEvent::AttemptEnded { .. } => {}
        }
    }

    fn learn(&mut self, list: &EndpointList) {
        let entries: Arc<[Endpoint]> = list.hosts.iter().map(|host| host.entry()).collect();
        self.decisions.push_list(entries, list.complete);
        self.handle_due();
        self.observer.in_force(list.version, list.complete);
    }

    fn wake(&mut self) {
        let now = Instant::now();
        while self.wakes.first().is_some_and(|at| *at <= now) {
            self.wakes.pop_first();
            self.decisions.push(Event::Timer);
        }
        self.handle_due();
    }

    fn request(&mut self) {
        let begun = (self.processor_clock)();
        let now = Instant::now();
        let (class, patience, key) = self.requests.draw(now);
        let id = RequestId::from(self.requests.drawn.to_string().as_str());
        let request = Request {
            class: Some(class),
            key: Some(key),
            ..Request::new(id.as_str(), self.decisions.at(now + patience))
        };
        let sent_before = self.sent;
        self.decisions.push(Event::Request(request));
        self.handle_due();
        let processor = (self.processor_clock)().saturating_sub(begun);
        self.observer
            .request_handled(self.sent > sent_before, processor);
    }

    fn handle_due(&mut self) {
        let mut actions = Vec::new();
        while self.decisions.handle_next(&mut actions) {
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, endpoint, .. } => {
                self.sent += 1;
                self.decisions.push(served(id, endpoint));
            }
            Action::Wake { after } => {
                self.wakes.insert(Instant::now() + after);
            }
            Action::PollDiscovery => self.follow.notify_one(),
            // There are no clients to answer and no connections to close.
            Action::Shed { .. }
            | Action::Fail { .. }
            | Action::CloseIdleConnections { .. }
            | Action::BreakerOpened(_) => {}
        }
    }
}

/// The end of a request's first attempt, served: there is no second one.
fn served(id: RequestId, server: EndpointId) -> Event {
    Event::AttemptEnded(Outcome {
        id,
        attempt: 0,
        endpoint: server,
        status: Status::Ok,
        cache_result: None,
        latency: SERVICE_TIME,
        answered: true,
        load: LoadReport::default(),
    })
}

/// Requests that are drawn.
struct Requests {
    /// Each class with the time that its clients wait.
    classes: Vec<(ClassId, Duration)>,
    rate: f64,
    random: fastrand::Rng,
    drawn: u64,
    next: Option<Instant>,
}

impl Requests {
    fn new(settings: &Settings, rate: f64, random: fastrand::Rng) -> Self {
        let deadlines = settings.classes.iter().map(|class| class.deadline);
        let classes: Vec<_> = deadlines
            .enumerate()
            .map(|(i, deadline)| (ClassId(i), deadline))
            .collect();
        let mut requests = Self {
            classes,
            rate,
            random,
            drawn: 0,
            next: None,
        };
        requests.schedule(Instant::now());
        requests
    }

    /// Sets when the next request comes, if any does.
    fn schedule(&mut self, from: Instant) {
        if self.rate > 0.0 && !self.classes.is_empty() {
            let gap = -(1.0 - self.random.f64()).ln() / self.rate;
            self.next = Some(from + Duration::from_secs_f64(gap));
        }
    }

    /// A request's class, its client's patience and its key.
    fn draw(&mut self, now: Instant) -> (ClassId, Duration, u64) {
        self.drawn += 1;
        let place = self.random.usize(..self.classes.len());
        let (class, patience) = self.classes[place];
        let key = self.random.u64(..KEYS);
        // From when it was due: a late one does not thin out those that follow.
        self.schedule(self.next.unwrap_or(now));
        (class, patience, key)
    }
}

/// Waits until this time; for ever where there is none.
async fn at(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
