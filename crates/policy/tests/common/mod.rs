//! Simulated node around a [`Balancer`]: executes the actions of the balancer without I/O and
//! asserts the rules at each action.
#![allow(dead_code)]

use slatelink_policy::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time at the start of a test.
const START: Timestamp = Timestamp::from_micros(3_000_000_000);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Attempt that was sent.
pub struct SentAttempt {
    /// Entry of the list at the time of the send.
    pub endpoint: Endpoint,
    pub sent: Timestamp,
    pub times_out_at: Timestamp,
    /// `None` while the attempt is in flight.
    pub status: Option<Status>,
}

impl SentAttempt {
    fn may_have_run(&self) -> bool {
        !self.status.is_some_and(Status::never_ran)
    }
}

/// Request that has arrived.
pub struct ClientRequest {
    pub request: Request,
    /// Class of the request at its arrival.
    pub class: Class,
    /// Maximum number of attempts at its arrival.
    pub max_attempts: u32,
    pub attempts: Vec<SentAttempt>,
    /// Whether the request has its final response.
    pub answered: bool,
}

impl ClientRequest {
    /// Returns the number of the attempt in flight, if any.
    fn in_flight(&self) -> Option<usize> {
        self.attempts
            .iter()
            .position(|attempt| attempt.status.is_none())
    }
}

/// Node with its clients and endpoints.
pub struct Node {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: Timestamp,
    /// Latest entries of the endpoints. A delta keeps the entries of removed endpoints.
    pub listed: BTreeMap<EndpointId, Endpoint>,
    pub requests: BTreeMap<RequestId, ClientRequest>,
    pub timers: BTreeSet<Timestamp>,
    /// All actions so far.
    pub actions: Vec<Action>,
    /// Load report that endpoints attach to each response.
    pub load: LoadReport,
    /// Number of requests so far, used for the ids of requests.
    request_count: u32,
}

impl Node {
    /// Returns a node without endpoints.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            now: START,
            listed: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            actions: Vec::new(),
            load: LoadReport::default(),
            request_count: 0,
        }
    }

    /// Returns a node with `count` endpoints at full capacity, named a, b, c and so on.
    pub fn with_endpoints(settings: Settings, count: u8) -> Self {
        let mut node = Self::new(settings, 1);
        let endpoints = (0..count).map(|i| Endpoint::new(&char::from(b'a' + i).to_string()));
        node.list_snapshot(endpoints.collect());
        node
    }

    /// Changes the settings.
    pub fn change_settings(&mut self, settings: Settings) {
        self.settings = settings.clone();
        self.handle(Event::SettingsChanged(Box::new(settings)));
    }

    /// Handles a snapshot from discovery.
    pub fn list_snapshot(&mut self, endpoints: Vec<Endpoint>) {
        self.listed.clear();
        self.record_listed(&endpoints);
        let update = EndpointUpdate::Snapshot(endpoints.into());
        self.handle(Event::Endpoints(update));
    }

    /// Handles a delta from discovery.
    pub fn list_delta(&mut self, endpoints: Vec<Endpoint>) {
        self.record_listed(&endpoints);
        let update = EndpointUpdate::Delta(endpoints.into());
        self.handle(Event::Endpoints(update));
    }

    fn record_listed(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            self.listed.insert(endpoint.id.clone(), endpoint.clone());
        }
    }

    /// Returns the class of a request, or the default class for a request without a class.
    pub fn class_of(&self, request: &Request) -> Class {
        request
            .class
            .map_or_else(Class::default, |id| self.settings.classes[id.0].clone())
    }

    /// Passes an event to the balancer, executes the resulting actions and returns the actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.execute(action);
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    fn execute(&mut self, action: &Action) {
        match action {
            Action::Send {
                id,
                endpoint,
                timeout,
                begin_within,
            } => self.send(id, endpoint, *timeout, *begin_within),
            Action::Shed { id, .. } => self.shed(id),
            Action::Fail { id } => self.record_final_response(id),
            Action::Wake { after } => {
                let at = self.now + (*after).max(Duration::from_micros(1));
                self.timers.insert(at);
            }
            Action::CloseIdleConnections { .. }
            | Action::PollDiscovery
            | Action::BreakerOpened(_) => {}
        }
    }

    fn send(
        &mut self,
        id: &RequestId,
        endpoint: &EndpointId,
        timeout: Duration,
        begin_within: Duration,
    ) {
        let endpoint = self
            .listed
            .get(endpoint)
            .expect("the endpoint of the attempt was listed")
            .clone();
        assert_eq!(
            endpoint.availability,
            Availability::Ready,
            "rule 3: an attempt at a draining endpoint"
        );
        let request = self
            .requests
            .get(id)
            .expect("the request of the attempt is known");
        assert!(
            !request.answered,
            "rule 1: an attempt is sent after the final response"
        );
        let max_attempts = self.settings.max_attempts.min(request.max_attempts);
        assert!(
            request.attempts.len() < max_attempts as usize,
            "the request has more attempts than `max_attempts`"
        );
        assert_eq!(
            request.in_flight(),
            None,
            "the request has two attempts in flight"
        );
        self.assert_repeat_allowed(request, &endpoint, begin_within);
        let attempt = SentAttempt {
            endpoint,
            sent: self.now,
            times_out_at: (self.now + timeout).min(request.request.deadline),
            status: None,
        };
        let request = self.requests.get_mut(id).expect("the request is known");
        request.attempts.push(attempt);
    }

    /// Asserts rule 2: a request that may have run is repeated only as its class allows.
    fn assert_repeat_allowed(
        &self,
        request: &ClientRequest,
        endpoint: &Endpoint,
        begin_within: Duration,
    ) {
        let now = self.now;
        let idempotency = request.class.idempotency;
        let attempts = request.attempts.iter();
        for earlier in attempts.filter(|attempt| attempt.may_have_run()) {
            match idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("rule 2: a non-idempotent request is retried")
                }
                Idempotency::Keyed { scope, window } => {
                    let window_ends = earlier.sent + window;
                    assert!(
                        now < window_ends,
                        "rule 2: a request is retried after its window"
                    );
                    let in_scope = match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => earlier.endpoint.zone == endpoint.zone,
                        DeduplicationScope::Cell => earlier.endpoint.cell == endpoint.cell,
                    };
                    assert!(in_scope, "rule 2: a request is retried outside its scope");
                    assert!(
                        now + begin_within <= window_ends,
                        "rule 2: a request may begin after its window"
                    );
                }
            }
        }
    }

    /// Asserts rule 2 and records the final response: a request is shed only if its client may send
    /// the request again.
    fn shed(&mut self, id: &RequestId) {
        let request = self
            .requests
            .get(id)
            .expect("the answered request is known");
        let every_endpoint_discards_repeats = matches!(
            request.class.idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        assert!(
            every_endpoint_discards_repeats
                || !request.attempts.iter().any(SentAttempt::may_have_run),
            "rule 2: a request that may have run is shed"
        );
        self.record_final_response(id);
    }

    fn record_final_response(&mut self, id: &RequestId) {
        let request = self
            .requests
            .get_mut(id)
            .expect("the answered request is known");
        assert!(
            !request.answered,
            "rule 1: the request gets a second final response"
        );
        request.answered = true;
    }

    /// A client sends a request with this class number and key and with a deadline after
    /// `time_limit`.
    pub fn request(&mut self, class: usize, key: u64, time_limit: Duration) -> RequestId {
        self.request_count += 1;
        let request = Request::new(&format!("r{}", self.request_count), self.now + time_limit);
        self.submit(Request {
            class: Some(ClassId(class)),
            key: Some(key),
            ..request
        })
    }

    /// A client sends this request.
    pub fn submit(&mut self, request: Request) -> RequestId {
        let id = request.id.clone();
        let arrived = ClientRequest {
            request: request.clone(),
            class: self.class_of(&request),
            max_attempts: self.settings.max_attempts,
            attempts: Vec::new(),
            answered: false,
        };
        self.requests.insert(id.clone(), arrived);
        self.handle(Event::Request(request));
        id
    }

    /// Returns the number and the endpoint of the request's attempt in flight, if any.
    pub fn in_flight(&self, id: &RequestId) -> Option<(u32, EndpointId)> {
        let request = &self.requests[id];
        let number = request.in_flight()?;
        let endpoint = &request.attempts[number].endpoint;
        Some((number as u32, endpoint.id.clone()))
    }

    /// Returns the requests with an attempt in flight.
    pub fn requests_in_flight(&self) -> Vec<RequestId> {
        self.requests
            .keys()
            .filter(|id| self.in_flight(id).is_some())
            .cloned()
            .collect()
    }

    /// Ends the request's attempt with this number.
    pub fn end_attempt(&mut self, id: &RequestId, attempt: u32, status: Status) -> Vec<Action> {
        self.end_attempt_with(id, attempt, status, None)
    }

    /// Ends the request's attempt with this number and with this cache result from the endpoint.
    pub fn end_attempt_with(
        &mut self,
        id: &RequestId,
        attempt: u32,
        status: Status,
        cache_result: Option<CacheResult>,
    ) -> Vec<Action> {
        let request = self.requests.get_mut(id).expect("the request is known");
        request.answered |= status == Status::Ok;
        let ended = &mut request.attempts[attempt as usize];
        ended.status = Some(status);
        let outcome = Outcome {
            id: id.clone(),
            attempt,
            endpoint: ended.endpoint.id.clone(),
            status,
            cache_result,
            latency: self.now.since(ended.sent),
            answered: request.answered,
            load: self.load,
        };
        self.handle(Event::AttemptEnded(outcome))
    }

    /// Ends the request's attempt in flight.
    pub fn end_attempt_in_flight(&mut self, id: &RequestId, status: Status) -> Vec<Action> {
        let (attempt, _) = self
            .in_flight(id)
            .expect("the request has an attempt in flight");
        self.end_attempt(id, attempt, status)
    }

    /// Sends a read of `key`. The first attempt ends with `status`; the retry, if needed,
    /// succeeds. Returns the endpoint of the first attempt, if an attempt was sent.
    pub fn read(&mut self, key: u64, status: Status) -> Option<EndpointId> {
        let id = self.request(0, key, ms(400));
        let (attempt, endpoint) = self.in_flight(&id)?;
        self.end_attempt(&id, attempt, status);
        if !self.requests[&id].answered {
            self.end_attempt_in_flight(&id, Status::Ok);
        }
        Some(endpoint)
    }

    /// Advances the time by `time`, fires due timers and ends due attempts with a timeout.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let attempts = self.requests.iter().flat_map(|(id, request)| {
                let in_flight = request
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(|(_, attempt)| attempt.status.is_none());
                in_flight.map(move |(number, attempt)| {
                    (attempt.times_out_at, Some((id.clone(), number as u32)))
                })
            });
            let timer = self.timers.first().map(|&at| (at, None));
            let Some((at, timed_out)) = attempts.chain(timer).min().filter(|(at, _)| *at <= end)
            else {
                break;
            };
            self.now = self.now.max(at);
            match timed_out {
                Some((id, attempt)) => {
                    self.end_attempt(&id, attempt, Status::TimedOut);
                }
                None => {
                    self.timers.remove(&at);
                    self.handle(Event::Timer);
                }
            }
        }
        self.now = end;
        self.assert_answered_in_time();
    }

    /// Asserts rule 1: each request has its final response by its deadline.
    pub fn assert_answered_in_time(&self) {
        for (id, request) in &self.requests {
            let overdue = !request.answered && self.now > request.request.deadline;
            assert!(
                !overdue,
                "rule 1: {id} has no final response after its deadline"
            );
        }
    }
}

/// Returns settings with three classes, in this order: idempotent, keyed with a window of one
/// second, and non-idempotent. The latency objective is 150 ms.
pub fn settings() -> Settings {
    let class = |name: &str, idempotency| Class {
        name: name.into(),
        idempotency,
        latency_objective: ms(150),
        deadline: ms(400),
    };
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: ms(1000),
    };
    Settings {
        classes: vec![
            class("read", Idempotency::Idempotent),
            class("keyed", keyed),
            class("unsafe", Idempotency::NonIdempotent),
        ],
        max_attempts: 6,
        max_retry_after: ms(1000),
        ..Settings::default()
    }
}

/// Returns settings in cache-aside mode, and the origin.
pub fn cache_aside() -> (Settings, Endpoint) {
    let mode = CacheMode::CacheAside {
        origin_kind: "origin".into(),
    };
    let origin = Endpoint {
        kind: Some("origin".into()),
        ..Endpoint::new("zz-origin")
    };
    (Settings { mode, ..settings() }, origin)
}
