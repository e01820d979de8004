//! A node around a [`Balancer`]: carries its actions out on paper and asserts the rules from
//! outside with each of them.
#![allow(dead_code)]

use slatelink_policy::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The clock's time at the start of a test.
const START: Timestamp = Timestamp::from_micros(3_000_000_000);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// An attempt that was sent.
pub struct SentAttempt {
    /// As it was listed then.
    pub endpoint: Endpoint,
    pub sent: Timestamp,
    pub times_out: Timestamp,
    /// `None` while the attempt is in flight.
    pub status: Option<Status>,
}

impl SentAttempt {
    fn may_have_run(&self) -> bool {
        !self.status.is_some_and(Status::never_ran)
    }
}

/// A request, from its arrival on.
pub struct ClientRequest {
    pub request: Request,
    pub attempts: Vec<SentAttempt>,
    /// Whether it has its final response.
    pub answered: bool,
}

impl ClientRequest {
    /// The number of the attempt in flight, if one is.
    fn in_flight(&self) -> Option<usize> {
        self.attempts
            .iter()
            .position(|attempt| attempt.status.is_none())
    }
}

/// One node with its clients and its endpoints.
pub struct Node {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: Timestamp,
    /// All endpoints that were ever listed, as they were listed last.
    pub listed: BTreeMap<EndpointId, Endpoint>,
    pub requests: BTreeMap<RequestId, ClientRequest>,
    pub timers: BTreeSet<Timestamp>,
    /// All actions so far.
    pub actions: Vec<Action>,
    /// What endpoints report with each answer.
    pub load: LoadReport,
    /// Requests so far.
    count: u32,
}

impl Node {
    /// A node that knows no endpoint.
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
            count: 0,
        }
    }

    /// A node that knows `n` endpoints with their full capacity, named a, b, c and so on.
    pub fn with_endpoints(settings: Settings, n: u8) -> Self {
        let mut node = Self::new(settings, 1);
        let endpoints = (0..n).map(|i| Endpoint::new(&char::from(b'a' + i).to_string()));
        node.list_snapshot(endpoints.collect());
        node
    }

    /// Discovery sends a complete list.
    pub fn list_snapshot(&mut self, endpoints: Vec<Endpoint>) {
        self.listed.clear();
        self.record_listed(&endpoints);
        let update = EndpointUpdate::Snapshot(endpoints.into());
        self.handle(Event::Endpoints(update));
    }

    /// Discovery sends the endpoints that changed.
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

    /// The class of a request; the default one for a request of none.
    pub fn class_of(&self, request: &Request) -> Class {
        request
            .class
            .map_or_else(Class::default, |id| self.settings.classes[id.0].clone())
    }

    /// Hands an event to the balancer, carries out what comes of it and returns that.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            self.carry_out(action);
        }
        self.actions.extend(actions.iter().cloned());
        actions
    }

    fn carry_out(&mut self, action: &Action) {
        match action {
            Action::Send {
                id,
                endpoint,
                timeout,
                begin_within,
            } => self.send(id, endpoint, *timeout, *begin_within),
            Action::Shed { id, .. } => self.shed(id),
            Action::Fail { id } => self.record_answer(id),
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
            .expect("an attempt at an endpoint that was never listed")
            .clone();
        assert_eq!(
            endpoint.availability,
            Availability::Ready,
            "rule 3: an attempt at a draining endpoint"
        );
        let request = self
            .requests
            .get(id)
            .expect("an attempt of an unknown request");
        assert!(!request.answered, "rule 1: an attempt after the answer");
        assert!(
            request.attempts.len() < self.settings.max_attempts as usize,
            "more attempts than allowed"
        );
        assert_eq!(request.in_flight(), None, "two attempts in flight at once");
        self.assert_repeat_allowed(request, &endpoint, begin_within);
        let attempt = SentAttempt {
            endpoint,
            sent: self.now,
            times_out: (self.now + timeout).min(request.request.deadline),
            status: None,
        };
        let request = self.requests.get_mut(id).expect("known");
        request.attempts.push(attempt);
    }

    /// Rule 2: a request that may have run is run again only as its class allows.
    fn assert_repeat_allowed(
        &self,
        request: &ClientRequest,
        endpoint: &Endpoint,
        begin_within: Duration,
    ) {
        let now = self.now;
        let idempotency = self.class_of(&request.request).idempotency;
        let attempts = request.attempts.iter();
        for earlier in attempts.filter(|attempt| attempt.may_have_run()) {
            match idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("rule 2: a non-idempotent request is retried")
                }
                Idempotency::Keyed { scope, window } => {
                    let window_ends = earlier.sent + window;
                    assert!(now < window_ends, "rule 2: retried after its window");
                    let in_scope = match scope {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => earlier.endpoint.zone == endpoint.zone,
                        DeduplicationScope::Cell => earlier.endpoint.cell == endpoint.cell,
                    };
                    assert!(in_scope, "rule 2: retried outside its scope");
                    assert!(
                        now + begin_within <= window_ends,
                        "rule 2: may begin after its window"
                    );
                }
            }
        }
    }

    /// Rule 2: a request is shed only if its client may send it again.
    fn shed(&mut self, id: &RequestId) {
        let request = self
            .requests
            .get(id)
            .expect("an answer to an unknown request");
        let every_endpoint_discards_repeats = matches!(
            self.class_of(&request.request).idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        assert!(
            every_endpoint_discards_repeats
                || !request.attempts.iter().any(SentAttempt::may_have_run),
            "rule 2: shed, yet it may have run"
        );
        self.record_answer(id);
    }

    fn record_answer(&mut self, id: &RequestId) {
        let request = self
            .requests
            .get_mut(id)
            .expect("an answer to an unknown request");
        assert!(!request.answered, "rule 1: a second final answer");
        request.answered = true;
    }

    /// A client sends a request of the class with this number, with this key, and gives it up after
    /// `time`.
    pub fn request(&mut self, class: usize, key: u64, time: Duration) -> RequestId {
        self.count += 1;
        let request = Request::new(&format!("r{}", self.count), self.now + time);
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
            attempts: Vec::new(),
            answered: false,
        };
        self.requests.insert(id.clone(), arrived);
        self.handle(Event::Request(request));
        id
    }

    /// The number of the request's attempt in flight, if one is, and its endpoint.
    pub fn in_flight(&self, id: &RequestId) -> Option<(u32, EndpointId)> {
        let request = &self.requests[id];
        let number = request.in_flight()?;
        let endpoint = &request.attempts[number].endpoint;
        Some((number as u32, endpoint.id.clone()))
    }

    /// The requests that have an attempt in flight.
    pub fn requests_in_flight(&self) -> Vec<RequestId> {
        self.requests
            .keys()
            .filter(|id| self.in_flight(id).is_some())
            .cloned()
            .collect()
    }

    /// The request's attempt with this number ends.
    pub fn end_attempt(&mut self, id: &RequestId, attempt: u32, status: Status) -> Vec<Action> {
        self.end_attempt_with(id, attempt, status, None)
    }

    /// The same, and the endpoint reports how it came by the answer.
    pub fn end_attempt_with(
        &mut self,
        id: &RequestId,
        attempt: u32,
        status: Status,
        cache_result: Option<CacheResult>,
    ) -> Vec<Action> {
        let request = self.requests.get_mut(id).expect("known");
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

    /// The request's attempt in flight ends.
    pub fn end_attempt_in_flight(&mut self, id: &RequestId, status: Status) -> Vec<Action> {
        let (attempt, _) = self.in_flight(id).expect("an attempt in flight");
        self.end_attempt(id, attempt, status)
    }

    /// One read of `key`, of which the first attempt ends with `status` and a retry is served.
    /// Returns the endpoint of the first attempt.
    pub fn read(&mut self, key: u64, status: Status) -> Option<EndpointId> {
        let id = self.request(0, key, ms(400));
        let (attempt, endpoint) = self.in_flight(&id)?;
        self.end_attempt(&id, attempt, status);
        if !self.requests[&id].answered {
            self.end_attempt_in_flight(&id, Status::Ok);
        }
        Some(endpoint)
    }

    /// Time passes: timers fire and attempts time out when they are due.
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
                    (attempt.times_out, Some((id.clone(), number as u32)))
                })
            });
            let timer = self.timers.first().map(|&at| (at, None));
            let Some((at, what)) = attempts.chain(timer).min().filter(|(at, _)| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            match what {
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

    /// Rule 1: no request is without its final response past its deadline.
    pub fn assert_answered_in_time(&self) {
        for (id, request) in &self.requests {
            let overdue = !request.answered && self.now > request.request.deadline;
            assert!(!overdue, "rule 1: {id} has no final answer in time");
        }
    }
}

/// Classes of idempotent, keyed (for one second) and non-idempotent requests with a latency
/// objective of 150 ms, in this order.
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

/// Settings of a cache-aside fleet, and its origin.
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
