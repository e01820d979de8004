//! Simulation of a node around a [`Balancer`] under generated event sequences: executes the
//! balancer's actions without I/O and records all externally visible events.

use crate::events::{ServerChange, Step, SERVERS};
use slatelink_policy::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Seeds of the settings and of the generated sequences.
pub const SEEDS: std::ops::Range<u8> = 0..6;
/// Number of sequences per seed.
pub const CASES: u32 = 60;
/// Upper bound, exclusive, of the number of steps in a sequence.
pub const LENGTH: usize = 300;
/// Duration for which an open breaker blocks its target before it admits trials.
pub const COOLDOWN: Duration = Duration::from_secs(6);
/// Number of trials that a half-open breaker admits.
pub const TRIALS: usize = 3;
/// Id of the origin, which is listed in cache-aside mode only and is the only endpoint with a kind.
pub const ORIGIN: &str = "zz";

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Externally visible event of the balancer.
#[derive(Clone, Debug)]
pub enum Observation {
    RequestArrived(Request),
    /// `endpoint` is the latest entry of the list, or a removed endpoint if the list has no entry.
    AttemptSent {
        id: RequestId,
        endpoint: Endpoint,
    },
    /// `endpoint` is the entry of the list at the time of the send.
    AttemptEnded {
        id: RequestId,
        endpoint: Endpoint,
        status: Status,
        cache_result: Option<CacheResult>,
    },
    /// The final response, with a Retry-After if the request was shed.
    Answered {
        id: RequestId,
        retry_after: Option<Duration>,
    },
    ClientDisconnected(RequestId),
    /// All endpoints of the list after an update.
    EndpointsListed(Vec<Endpoint>),
    BreakerOpened(BreakerScope),
    /// All actions that one event caused have been recorded.
    EventHandled,
}

/// An attempt in flight.
pub struct InFlight {
    pub id: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    pub endpoint: Endpoint,
    pub sent: Timestamp,
    pub times_out_at: Timestamp,
}

/// State of a request, kept also after the request has ended.
struct SubmittedRequest {
    deadline: Timestamp,
    /// Number of attempts sent so far.
    attempts: u32,
}

/// A node with its clients, endpoints and discovery.
pub struct Simulation {
    balancer: Balancer,
    pub settings: Settings,
    pub now: Timestamp,
    listed: BTreeMap<EndpointId, Endpoint>,
    pub in_flight: Vec<InFlight>,
    requests: BTreeMap<RequestId, SubmittedRequest>,
    timers: BTreeSet<Timestamp>,
    pub observations: Vec<(Timestamp, Observation)>,
    /// Requests that have a final response or whose client has disconnected.
    finished: BTreeSet<RequestId>,
}

impl Simulation {
    /// Returns a node that knows all endpoints. The seed selects the settings that the sequences do
    /// not vary: the cache mode, the deduplication scope and the maximum number of attempts.
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
        simulation.list_snapshot(0);
        simulation
    }

    /// Applies a sequence to a new simulation and then advances the time past all deadlines.
    pub fn run(seed: u64, steps: &[Step]) -> Self {
        let mut simulation = Self::new(seed);
        simulation.apply_steps(steps);
        simulation.advance(ms(1_000));
        simulation
    }

    /// Returns the initial entry of the cache server with this number.
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

    /// Applies a sequence.
    pub fn apply_steps(&mut self, steps: &[Step]) {
        for step in steps.iter().cloned() {
            self.apply_step(step);
        }
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::SendRequest {
                class,
                key,
                timeout_ms,
                write,
                over_quota,
            } => self.request(class, key, ms(timeout_ms), write, over_quota),
            Step::EndAttempt {
                index,
                status,
                cache_result,
            } if !self.in_flight.is_empty() => {
                let reports_cache_result = self.settings.mode == CacheMode::ReadThrough;
                let cache_result = cache_result.filter(|_| reports_cache_result);
                self.end_attempt(index % self.in_flight.len(), status, cache_result);
            }
            Step::EndAttempt { .. } => {}
            Step::UnknownOutcome { index, status } => self.end_unknown_attempt(index, status),
            Step::Disconnect { index } => self.cancel_request(index),
            Step::ChangeServer { server, change } => self.change_endpoint(server, change),
            Step::SendSnapshot { omitted } => self.list_snapshot(omitted),
            Step::DiscoveryFailure => self.handle(Event::Endpoints(EndpointUpdate::Unavailable)),
            Step::Advance { ms: time } => self.advance(ms(time)),
        }
    }

    /// A client sends a request of the class with this number, or without a class if the settings
    /// have no class with this number.
    pub fn request(
        &mut self,
        class: usize,
        key: u64,
        time_limit: Duration,
        write: bool,
        over_quota: bool,
    ) {
        let number = self.requests.len() + 1;
        let deadline = self.now + time_limit;
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

    /// Ends the attempt at this index of [`in_flight`](Self::in_flight).
    pub fn end_attempt(&mut self, index: usize, status: Status, cache_result: Option<CacheResult>) {
        let ended = self.in_flight.remove(index);
        self.observe(Observation::AttemptEnded {
            id: ended.id.clone(),
            endpoint: ended.endpoint.clone(),
            status,
            cache_result,
        });
        if status == Status::Ok && !self.finished.contains(&ended.id) {
            self.record_final_response(ended.id.clone(), None);
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

    /// Reports an outcome of an attempt that has already ended or was never sent.
    fn end_unknown_attempt(&mut self, index: usize, status: Status) {
        let known: Vec<_> = self.requests.iter().collect();
        let (id, attempt) = if known.is_empty() {
            ("unknown".into(), 0)
        } else {
            let (id, request) = known[index % known.len()];
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
            endpoint: Self::endpoint(index % SERVERS).id,
            status,
            cache_result: None,
            latency: ms(1),
            load: LoadReport::default(),
        }));
    }

    fn cancel_request(&mut self, index: usize) {
        let unfinished: Vec<_> = self
            .requests
            .keys()
            .filter(|id| !self.finished.contains(*id))
            .cloned()
            .collect();
        if let Some(id) = unfinished.get(index % unfinished.len().max(1)) {
            self.finished.insert(id.clone());
            self.observe(Observation::ClientDisconnected(id.clone()));
            self.handle(Event::RequestCanceled(id.clone()));
        }
    }

    /// Sends a delta with this change to the cache server with this number.
    pub fn change_endpoint(&mut self, number: usize, change: ServerChange) {
        let initial = Self::endpoint(number);
        let mut endpoint = self.listed.get(&initial.id).cloned().unwrap_or(initial);
        match change {
            ServerChange::Ready | ServerChange::Moved => {
                endpoint.availability = Availability::Ready
            }
            ServerChange::Draining => endpoint.availability = Availability::Draining,
            ServerChange::Removed => endpoint.availability = Availability::Removed,
            ServerChange::Restarted => {
                endpoint.availability = Availability::Ready;
                endpoint.started = Some(self.now);
            }
        }
        self.listed.insert(endpoint.id.clone(), endpoint.clone());
        self.send_update(EndpointUpdate::Delta, vec![endpoint]);
    }

    /// Sends a snapshot without the cache servers whose bit is set in `omitted`.
    fn list_snapshot(&mut self, omitted: u8) {
        let current_entry = |endpoint: Endpoint| {
            let listed = self.listed.get(&endpoint.id);
            listed.cloned().unwrap_or(endpoint)
        };
        let origin = Endpoint {
            kind: Some("origin".into()),
            ..Endpoint::new(ORIGIN)
        };
        let is_cache_aside = self.settings.mode != CacheMode::ReadThrough;
        let endpoints: Vec<_> = (0..SERVERS)
            .filter(|i| omitted & 1 << i == 0)
            .map(|i| current_entry(Self::endpoint(i)))
            .chain(is_cache_aside.then_some(origin))
            .collect();
        self.listed = endpoints
            .iter()
            .map(|endpoint| (endpoint.id.clone(), endpoint.clone()))
            .collect();
        self.send_update(EndpointUpdate::Snapshot, endpoints);
    }

    fn send_update(
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

    /// Advances the time by `time`, fires due timers and ends due attempts with a timeout.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let attempts = self.in_flight.iter().enumerate();
            let next_timeout = attempts
                .map(|(index, attempt)| (attempt.times_out_at, Some(index)))
                .min();
            let timer = self.timers.first().map(|at| (*at, None));
            let next = next_timeout.into_iter().chain(timer).min();
            let Some((at, index)) = next.filter(|(at, _)| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            match index {
                Some(index) => self.end_attempt(index, Status::TimedOut, None),
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
                Action::Shed { id, retry_after } => {
                    self.record_final_response(id, Some(retry_after))
                }
                Action::Fail { id } => self.record_final_response(id, None),
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
            times_out_at: (self.now + timeout).min(deadline),
        });
    }

    fn record_final_response(&mut self, id: RequestId, retry_after: Option<Duration>) {
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
    let cache_aside = CacheMode::CacheAside {
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
            cache_aside
        },
        max_attempts: 2 + seed as u32 % 4,
        max_retry_after: ms(1_000),
        ..Settings::default()
    }
}

/// Sends `count` reads, one every 4 ms, and ends each attempt at once. `status` returns the status
/// of an attempt by key and endpoint, `cache_result` the cache result of a successful attempt by
/// key.
pub fn serve_reads(
    simulation: &mut Simulation,
    count: u64,
    cache_result: impl Fn(u64) -> Option<CacheResult>,
    status: impl Fn(u64, &EndpointId) -> Status,
) {
    for i in 0..count {
        // 97 keys, each read repeatedly.
        let key = i * 7919 % 97;
        simulation.request(0, key, ms(400), false, false);
        while let Some(index) = attempt_sent_now(simulation) {
            let status = status(key, &simulation.in_flight[index].endpoint.id);
            let cache_result = cache_result(key).filter(|_| status == Status::Ok);
            simulation.end_attempt(index, status, cache_result);
        }
        simulation.advance(ms(4));
    }
}

/// Returns the index in `in_flight` of an attempt that was sent at the current time.
pub fn attempt_sent_now(simulation: &Simulation) -> Option<usize> {
    let mut in_flight = simulation.in_flight.iter();
    in_flight.position(|attempt| attempt.sent == simulation.now)
}
