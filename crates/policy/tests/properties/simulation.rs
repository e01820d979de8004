//! A balancer under arbitrary sequences of events: carries its actions out on paper and records
//! what is seen from outside.

use crate::events::{Change, Step, SERVERS};
use slatelink_policy::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Seeds of the settings and of the generated sequences.
pub const SEEDS: std::ops::Range<u8> = 0..6;
/// Sequences for each seed.
pub const CASES: u32 = 60;
/// Most steps of a sequence.
pub const LENGTH: usize = 300;
/// An open breaker blocks its target for this long, then admits trials.
pub const COOLDOWN: Duration = Duration::from_secs(6);
/// Trials that a half-open breaker admits.
pub const TRIALS: usize = 3;
/// Id of the origin where it is listed (cache-aside); it is the only endpoint with a kind.
pub const ORIGIN: &str = "zz";

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What is seen from outside of the balancer.
#[derive(Clone, Debug)]
pub enum Observation {
    RequestArrived(Request),
    /// With the endpoint as it was listed last; removed if it is not listed.
    AttemptSent {
        id: RequestId,
        endpoint: Endpoint,
    },
    /// With the endpoint as it was listed when the attempt was sent.
    AttemptEnded {
        id: RequestId,
        endpoint: Endpoint,
        status: Status,
        cache_result: Option<CacheResult>,
    },
    /// The final response; with a Retry-After if the request was shed.
    Answered {
        id: RequestId,
        retry_after: Option<Duration>,
    },
    ClientLeft(RequestId),
    /// All endpoints that are listed from now on.
    EndpointsListed(Vec<Endpoint>),
    BreakerOpened(BreakerScope),
    /// All that came of one event has been seen.
    EventHandled,
}

/// An attempt in flight.
pub struct InFlight {
    pub id: RequestId,
    /// Number of the attempt at its request.
    pub attempt: u32,
    pub endpoint: Endpoint,
    pub sent: Timestamp,
    pub times_out: Timestamp,
}

/// What is kept of a request, also after its end.
struct SubmittedRequest {
    deadline: Timestamp,
    /// Attempts sent so far.
    attempts: u32,
}

/// One node with its clients, its endpoints and its discovery.
pub struct Simulation {
    balancer: Balancer,
    pub settings: Settings,
    pub now: Timestamp,
    listed: BTreeMap<EndpointId, Endpoint>,
    pub in_flight: Vec<InFlight>,
    requests: BTreeMap<RequestId, SubmittedRequest>,
    timers: BTreeSet<Timestamp>,
    pub observations: Vec<(Timestamp, Observation)>,
    /// Requests that have their answer, or whose client has left.
    finished: BTreeSet<RequestId>,
}

impl Simulation {
    /// A node that knows all endpoints. The seed decides what the sequences leave open: the cache
    /// mode, where repeats are discarded, and how many attempts a request may have.
    pub fn new(seed: u64) -> Self {
        let settings = settings(seed);
        let mut simulation = Self {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            now: Timestamp::from_micros(3_000_000_000),
            listed: BTreeMap::new(),
            in_flight: Vec::new(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            observations: Vec::new(),
            finished: BTreeSet::new(),
        };
        simulation.list_all_but(0);
        simulation
    }

    /// Plays a sequence from the start until everything has timed out.
    pub fn run(seed: u64, steps: &[Step]) -> Self {
        let mut simulation = Self::new(seed);
        simulation.play(steps);
        simulation.advance(ms(1_000));
        simulation
    }

    /// The cache server with this number, as it is listed first.
    pub fn endpoint(number: usize) -> Endpoint {
        let zone = Some(Name::from(["x", "y"][number % 2]));
        Endpoint {
            zone,
            cell: number as u64 % 3,
            ..Endpoint::new(&format!("s{number}"))
        }
    }

    pub fn class(&self, request: &Request) -> Class {
        request
            .class
            .map_or_else(Class::default, |id| self.settings.classes[id.0].clone())
    }

    /// Plays a sequence.
    pub fn play(&mut self, steps: &[Step]) {
        for step in steps.iter().cloned() {
            self.play_step(step);
        }
    }

    fn play_step(&mut self, step: Step) {
        match step {
            Step::Ask {
                class,
                key,
                patience_ms,
                write,
                over_quota,
            } => self.request(class, key, ms(patience_ms), write, over_quota),
            Step::End {
                which,
                how,
                cache_result,
            } if !self.in_flight.is_empty() => {
                let tells = self.settings.mode == CacheMode::ReadThrough;
                let cache_result = cache_result.filter(|_| tells);
                self.end_attempt(which % self.in_flight.len(), how, cache_result);
            }
            Step::End { .. } => {}
            Step::Stray { which, how } => self.end_unknown_attempt(which, how),
            Step::Leave { which } => self.cancel_request(which),
            Step::Change { server, to } => self.change_endpoint(server, to),
            Step::Whole { lacks } => self.list_all_but(lacks),
            Step::NoList => self.handle(Event::Endpoints(EndpointUpdate::Unavailable)),
            Step::Pass { ms: time } => self.advance(ms(time)),
        }
    }

    /// A client sends a request of the class with this number, of none if there is no such class.
    pub fn request(
        &mut self,
        class: usize,
        key: u64,
        time: Duration,
        write: bool,
        over_quota: bool,
    ) {
        let number = self.requests.len() + 1;
        let deadline = self.now + time;
        let request = Request {
            class: (class < self.settings.classes.len()).then_some(ClassId(class)),
            key: Some(key),
            write,
            over_quota,
            ..Request::new(&format!("r{number}"), deadline)
        };
        let submitted = SubmittedRequest {
            deadline,
            attempts: 0,
        };
        self.requests.insert(request.id.clone(), submitted);
        self.observe(Observation::RequestArrived(request.clone()));
        self.handle(Event::Request(request));
    }

    /// The attempt at this place of [`in_flight`](Self::in_flight) ends.
    pub fn end_attempt(&mut self, place: usize, status: Status, cache_result: Option<CacheResult>) {
        let ended = self.in_flight.remove(place);
        self.observe(Observation::AttemptEnded {
            id: ended.id.clone(),
            endpoint: ended.endpoint.clone(),
            status,
            cache_result,
        });
        if status == Status::Ok && !self.finished.contains(&ended.id) {
            self.record_answer(ended.id.clone(), None);
        }
        self.handle(Event::AttemptEnded(Outcome {
            answered: self.finished.contains(&ended.id),
            id: ended.id,
            attempt: ended.attempt,
            endpoint: ended.endpoint.id,
            status,
            cache_result,
            latency: self.now.since(ended.sent),
            load: LoadReport::default(),
        }));
    }

    /// An outcome comes of an attempt that has ended, or of one that was never sent.
    fn end_unknown_attempt(&mut self, which: usize, status: Status) {
        let known: Vec<_> = self.requests.iter().collect();
        let (id, attempt) = if known.is_empty() {
            ("unknown".into(), 0)
        } else {
            let (id, request) = known[which % known.len()];
            let is_in_flight = |attempt: &u32| {
                let mut in_flight = self.in_flight.iter();
                in_flight.any(|other| other.id == *id && other.attempt == *attempt)
            };
            let ended = (0..request.attempts).find(|attempt| !is_in_flight(attempt));
            (id.clone(), ended.unwrap_or(request.attempts + 7))
        };
        self.handle(Event::AttemptEnded(Outcome {
            answered: self.finished.contains(&id),
            id,
            attempt,
            endpoint: Self::endpoint(which % SERVERS).id,
            status,
            cache_result: None,
            latency: ms(1),
            load: LoadReport::default(),
        }));
    }

    fn cancel_request(&mut self, which: usize) {
        let unfinished: Vec<_> = self
            .requests
            .keys()
            .filter(|id| !self.finished.contains(*id))
            .cloned()
            .collect();
        if let Some(id) = unfinished.get(which % unfinished.len().max(1)) {
            self.finished.insert(id.clone());
            self.observe(Observation::ClientLeft(id.clone()));
            self.handle(Event::RequestCanceled(id.clone()));
        }
    }

    /// Discovery tells of a change to the cache server with this number.
    pub fn change_endpoint(&mut self, number: usize, to: Change) {
        let first = Self::endpoint(number);
        let mut endpoint = self.listed.get(&first.id).cloned().unwrap_or(first);
        match to {
            Change::Ready | Change::Moved => endpoint.availability = Availability::Ready,
            Change::Draining => endpoint.availability = Availability::Draining,
            Change::Gone => endpoint.availability = Availability::Removed,
            Change::Restarted => {
                endpoint.availability = Availability::Ready;
                endpoint.started = Some(self.now);
            }
        }
        self.listed.insert(endpoint.id.clone(), endpoint.clone());
        self.announce(EndpointUpdate::Delta, vec![endpoint]);
    }

    /// Discovery sends a complete list without the cache servers whose bit stands in `lacks`.
    fn list_all_but(&mut self, lacks: u8) {
        let as_listed = |endpoint: Endpoint| {
            let listed = self.listed.get(&endpoint.id);
            listed.cloned().unwrap_or(endpoint)
        };
        let origin = Endpoint {
            kind: Some("origin".into()),
            ..Endpoint::new(ORIGIN)
        };
        let aside = self.settings.mode != CacheMode::ReadThrough;
        let endpoints: Vec<_> = (0..SERVERS)
            .filter(|i| lacks & 1 << i == 0)
            .map(|i| as_listed(Self::endpoint(i)))
            .chain(aside.then_some(origin))
            .collect();
        self.listed = endpoints
            .iter()
            .map(|endpoint| (endpoint.id.clone(), endpoint.clone()))
            .collect();
        self.announce(EndpointUpdate::Snapshot, endpoints);
    }

    fn announce(
        &mut self,
        update: impl Fn(Arc<[Endpoint]>) -> EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) {
        self.listed
            .retain(|_, endpoint| endpoint.availability != Availability::Removed);
        let listed = self.listed.values().cloned().collect();
        self.observe(Observation::EndpointsListed(listed));
        self.handle(Event::Endpoints(update(endpoints.into())));
    }

    /// Time passes: timers fire and attempts time out when they are due.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let attempts = self.in_flight.iter().enumerate();
            let time_out = attempts
                .map(|(place, attempt)| (attempt.times_out, Some(place)))
                .min();
            let timer = self.timers.first().map(|at| (*at, None));
            let next = time_out.into_iter().chain(timer).min();
            let Some((at, place)) = next.filter(|(at, _)| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            match place {
                Some(place) => self.end_attempt(place, Status::TimedOut, None),
                None => {
                    self.timers.remove(&at);
                    self.handle(Event::Timer);
                }
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    id,
                    endpoint,
                    timeout,
                    ..
                } => self.send(id, &endpoint, timeout),
                Action::Shed { id, retry_after } => self.record_answer(id, Some(retry_after)),
                Action::Fail { id } => self.record_answer(id, None),
                Action::Wake { after } => {
                    let at = self.now + after.max(Duration::from_micros(1));
                    self.timers.insert(at);
                }
                Action::BreakerOpened(scope) => self.observe(Observation::BreakerOpened(scope)),
                _ => {}
            }
        }
        self.observe(Observation::EventHandled);
    }

    fn send(&mut self, id: RequestId, endpoint: &EndpointId, timeout: Duration) {
        let listed = self.listed.get(endpoint).cloned();
        let endpoint = listed.unwrap_or_else(|| Endpoint {
            availability: Availability::Removed,
            ..Endpoint::new(endpoint.as_str())
        });
        self.observe(Observation::AttemptSent {
            id: id.clone(),
            endpoint: endpoint.clone(),
        });
        let (mut deadline, mut attempt) = (self.now, 0);
        if let Some(request) = self.requests.get_mut(&id) {
            (deadline, attempt) = (request.deadline, request.attempts);
            request.attempts += 1;
        }
        self.in_flight.push(InFlight {
            id,
            attempt,
            endpoint,
            sent: self.now,
            times_out: (self.now + timeout).min(deadline),
        });
    }

    fn record_answer(&mut self, id: RequestId, retry_after: Option<Duration>) {
        self.finished.insert(id.clone());
        self.observe(Observation::Answered { id, retry_after });
    }

    fn observe(&mut self, observation: Observation) {
        self.observations.push((self.now, observation));
    }
}

fn settings(seed: u64) -> Settings {
    let class = |name: &str, idempotency| Class {
        name: name.into(),
        idempotency,
        latency_objective: ms(150),
        deadline: ms(600),
    };
    let scope = [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Cell,
    ][seed as usize % 3];
    let keyed = Idempotency::Keyed {
        scope,
        window: ms(200),
    };
    let aside = CacheMode::CacheAside {
        origin_kind: "origin".into(),
    };
    Settings {
        classes: vec![
            class("read", Idempotency::Idempotent),
            class("keyed", keyed),
            class("once", Idempotency::NonIdempotent),
        ],
        mode: if seed.is_multiple_of(2) {
            CacheMode::ReadThrough
        } else {
            aside
        },
        max_attempts: 2 + seed as u32 % 4,
        max_retry_after: ms(1_000),
        ..Settings::default()
    }
}

/// Sends `count` reads, one every 4 ms, and ends each attempt at once: with this status by key and
/// endpoint, and this cache result by key if it is served.
pub fn serve_reads(
    simulation: &mut Simulation,
    count: u64,
    cache_result: impl Fn(u64) -> Option<CacheResult>,
    status: impl Fn(u64, &EndpointId) -> Status,
) {
    for i in 0..count {
        // The keys are many, and every one of them comes again.
        let key = i * 7919 % 97;
        simulation.request(0, key, ms(400), false, false);
        while let Some(place) = sent_just_now(simulation) {
            let status = status(key, &simulation.in_flight[place].endpoint.id);
            let cache_result = cache_result(key).filter(|_| status == Status::Ok);
            simulation.end_attempt(place, status, cache_result);
        }
        simulation.advance(ms(4));
    }
}

/// The place in flight of an attempt that was sent at this very moment.
pub fn sent_just_now(simulation: &Simulation) -> Option<usize> {
    let mut in_flight = simulation.in_flight.iter();
    in_flight.position(|attempt| attempt.sent == simulation.now)
}
