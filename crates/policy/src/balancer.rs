//! The balancer: passes each event to the mechanisms. Its interface is in `src/api.rs`.
//!
//! A new request is dispatched (`balancer/dispatch.rs`): shed, queued or sent to the endpoint
//! selected by `balancer/selection.rs`. The outcome of an attempt is evaluated and reported to each
//! mechanism (`balancer/outcome.rs`); a request without a final response is then dispatched again.
//! Updates of the endpoint list go to the endpoint table, changed settings to all mechanisms
//! (`balancer/settings_change.rs`).

mod dispatch;
mod outcome;
mod selection;
mod settings_change;

use crate::api::{
    Action, Availability, CacheMode, Class, ClassTerms, Endpoint, EndpointUpdate, Event, Request,
    RequestId, Settings, Timestamp,
};
use crate::cached_keys::{CachedKeys, RecentlyServedKeys};
use crate::concurrency_limit::ConcurrencyBounds;
use crate::decay::Decay;
use crate::endpoint_speed::KindSpeeds;
use crate::endpoint_table::{EndpointState, EndpointTable, NewEndpoint};
use crate::latency::LatencyTracker;
use crate::load_shedding::LoadShedder;
use crate::origin_protection::OriginProtection;
use crate::pending::PendingRequest;
use crate::poll_schedule::PollSchedule;
use crate::queue::RequestQueue;
use crate::random::Random;
use crate::retry_budget::RetryBudget;
use crate::slow_start;
use crate::zone_breakers::ZoneBreakers;
use std::collections::HashMap;

/// Load balancer of one node, without a clock and without I/O: equal events give equal actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    random: Random,
    endpoints: EndpointTable,
    /// Zone breakers; empty in a small deployment.
    zones: ZoneBreakers,
    origin: OriginProtection,
    /// Bounds of the concurrency limits of all endpoints.
    concurrency: ConcurrencyBounds,
    /// Speeds of kinds; empty if weights include speeds.
    kind_speeds: KindSpeeds,
    latencies: LatencyTracker,
    load_shedder: LoadShedder,
    /// Decay of the counts in `load_shedder` and `origin`.
    decay: Decay,
    retry_budget: RetryBudget,
    /// Identifies reads that need no origin, if endpoints report cache results.
    cached_keys: CachedKeys,
    /// Identifies likely misses.
    recently_served_keys: RecentlyServedKeys,
    /// Pending requests. Looked up by id only and never iterated, because the iteration order
    /// differs from run to run.
    pending: HashMap<RequestId, PendingRequest>,
    /// Ids of the requests in `pending` that are queued for capacity.
    queue: RequestQueue,
    poll_schedule: PollSchedule,
    /// Due time of the earliest requested [`Action::Wake`].
    wake_at: Option<Timestamp>,
}

impl Balancer {
    /// Returns a balancer without endpoints. `seed` should differ between nodes.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        add_default_class(&mut settings);
        let concurrency = ConcurrencyBounds::new(settings.nodes);
        Self {
            random: Random::new(seed),
            endpoints: EndpointTable::default(),
            zones: ZoneBreakers::default(),
            origin: OriginProtection::new(settings.nodes, concurrency),
            concurrency,
            kind_speeds: KindSpeeds::default(),
            latencies: LatencyTracker::new(&settings.classes),
            load_shedder: LoadShedder::default(),
            decay: Decay::default(),
            retry_budget: RetryBudget::new(),
            cached_keys: CachedKeys::default(),
            recently_served_keys: RecentlyServedKeys::default(),
            pending: HashMap::new(),
            queue: RequestQueue::default(),
            poll_schedule: PollSchedule::new(),
            wake_at: None,
            settings,
        }
    }

    /// Handles an event at `now` and appends the actions that the node must perform.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.decay_statistics(now);
        match event {
            Event::LastKnownEndpoints(list) => self.replace_endpoints(&list, now),
            Event::Endpoints(update) => self.on_endpoint_update(&update, now),
            Event::Request(request) => self.on_request(request, now, actions),
            Event::AttemptEnded(outcome) => self.on_attempt_ended(&outcome, now, actions),
            Event::RequestCanceled(id) => self.on_request_canceled(&id),
            Event::SettingsChanged(settings) => self.replace_settings(*settings, now),
            Event::Timer => self.wake_at = None,
        }
        self.poll_discovery_when_due(now, actions);
        self.dispatch_queued(now, actions);
        self.request_wake(now, actions);
    }

    fn decay_statistics(&mut self, now: Timestamp) {
        let factor = self.decay.advance(now);
        self.load_shedder.decay(factor);
        self.origin.decay(factor);
        self.recently_served_keys.rotate(now);
    }

    fn on_endpoint_update(&mut self, update: &EndpointUpdate, now: Timestamp) {
        match update {
            EndpointUpdate::Snapshot(list) => self.replace_endpoints(list, now),
            EndpointUpdate::Delta(changed) => {
                self.kind_speeds.evict_unlisted(&self.endpoints);
                self.update_endpoints(changed, now);
            }
            EndpointUpdate::Unavailable => {
                let max_poll_interval = self.settings.max_poll_interval;
                self.poll_schedule
                    .on_failure(now, self.random.draw(), max_poll_interval);
            }
        }
    }

    fn replace_endpoints(&mut self, list: &[Endpoint], now: Timestamp) {
        self.kind_speeds.evict_unlisted(&self.endpoints);
        self.endpoints.retain_listed(list);
        self.update_endpoints(list, now);
    }

    fn update_endpoints(&mut self, changed: &[Endpoint], now: Timestamp) {
        self.zones.retain_zones_of(&self.endpoints);
        let new = NewEndpoint {
            classes: self.settings.classes.len(),
            concurrency: self.concurrency,
            slot: slow_start::slot_at(&self.settings, now),
        };
        for endpoint in changed {
            if self.is_large_deployment() {
                self.zones.add_zone_of(endpoint, now);
            }
            self.endpoints.update(endpoint, new, now);
        }
    }

    fn on_request(&mut self, request: Request, now: Timestamp, actions: &mut Vec<Action>) {
        let terms = self.terms(&request);
        let max_attempts = self.settings.max_attempts;
        let dither = self.random.draw();
        let pending = PendingRequest::new(request, terms, max_attempts, dither, now);
        if pending.request.over_quota {
            self.finish_unserved(pending, now, actions);
        } else {
            self.dispatch(pending, now, actions);
        }
    }

    fn on_request_canceled(&mut self, id: &RequestId) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.finished = true;
        }
    }

    fn poll_discovery_when_due(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.settings.polls_discovery && self.poll_schedule.take_due(now) {
            actions.push(Action::PollDiscovery);
        }
    }

    fn dispatch_queued(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some(id) = self.queue.pop_due(now) {
            if let Some(pending) = self.pending.remove(&id) {
                self.dispatch(pending, now, actions);
            }
        }
    }

    /// Requests a wake-up at the earliest due time of a queued request or poll, unless an earlier
    /// wake-up is already requested.
    fn request_wake(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let polls = self.settings.polls_discovery;
        let next_poll = self.poll_schedule.next().filter(|_| polls);
        let next = self.queue.next().into_iter().chain(next_poll).min();
        let Some(at) = next else {
            return;
        };
        if self.wake_at.is_none_or(|wake_at| at < wake_at) {
            self.wake_at = Some(at);
            actions.push(Action::Wake {
                after: at.since(now),
            });
        }
    }

    fn store_pending(&mut self, pending: PendingRequest) {
        self.pending.insert(pending.request.id.clone(), pending);
    }

    /// Checks whether the deployment is large; see [`ConcurrencyBounds::is_large_deployment`].
    fn is_large_deployment(&self) -> bool {
        self.concurrency.is_large_deployment()
    }

    /// Returns the position of the request's class in the settings; the last position for a request
    /// without a class.
    fn class_index(&self, request: &Request) -> usize {
        let no_class = self.settings.classes.len() - 1;
        request.class.map_or(no_class, |id| id.0.min(no_class))
    }

    /// Returns the terms of a request that has just arrived.
    fn terms(&self, request: &Request) -> ClassTerms {
        request
            .class_terms
            .unwrap_or_else(|| self.settings.classes[self.class_index(request)].terms())
    }

    /// Checks whether the endpoint is the origin of a cache-aside fleet.
    fn is_origin(&self, endpoint: &Endpoint) -> bool {
        let CacheMode::CacheAside { origin_kind } = &self.settings.mode else {
            return false;
        };
        endpoint.kind.as_ref() == Some(origin_kind)
    }

    /// Checks whether the endpoint is a ready cache server.
    fn is_ready_cache(&self, endpoint: &Endpoint) -> bool {
        endpoint.availability == Availability::Ready && !self.is_origin(endpoint)
    }

    /// Returns the endpoint's current capacity relative to other endpoints; greater than 0.
    fn capacity(&self, state: &EndpointState, now: Timestamp) -> f64 {
        /// Minimum capacity; prevents a division by zero.
        const MIN_CAPACITY: f64 = 1e-9;
        let endpoint = &state.endpoint;
        let speed = self.kind_speeds.factor(&self.settings, &endpoint.kind);
        let capacity_fraction = slow_start::capacity_fraction(&self.settings, endpoint, now);
        (endpoint.weight * speed * capacity_fraction).max(MIN_CAPACITY)
    }

    /// Checks whether the endpoint recently reported an empty queue. A report is only meaningful if
    /// this node sends a substantial fraction of the endpoint's load: in a large deployment the
    /// report is older than the bursts of other nodes, so the result is false.
    fn has_no_queue(&self, state: &EndpointState, now: Timestamp) -> bool {
        !self.is_large_deployment() && state.reported_empty_queue(now)
    }

    /// Checks whether the endpoint probably has to fetch a read from the origin, because it has not
    /// recently served the key to this node. Some likely misses are hits, because other nodes may
    /// have requested the key.
    fn is_likely_miss(&self, request: &Request, state: &EndpointState) -> bool {
        self.settings.mode == CacheMode::ReadThrough
            && !request.write
            && request
                .key
                .is_some_and(|key| !self.recently_served_keys.contains(key, state))
    }
}

/// Appends the class of requests without a class, which are treated as non-idempotent.
fn add_default_class(settings: &mut Settings) {
    settings.classes.push(Class::default());
}
