//! The balancer: the way of an event through the mechanisms. Its interface is `src/api.rs`.
//!
//! A request that arrives is dispatched (`balancer/dispatch.rs`): shed, queued or sent to the
//! endpoint that `balancer/selection.rs` finds. The end of an attempt is evaluated for each
//! mechanism (`balancer/outcome.rs`), then the request is dispatched again if it has no final
//! response. Updates of the endpoint list go to the endpoint table.

mod dispatch;
mod outcome;
mod selection;

use crate::api::{
    Action, Availability, CacheMode, Class, Endpoint, EndpointUpdate, Event, Request, RequestId,
    Settings, Timestamp,
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

/// Decides for one node. It has no clock and does no I/O: equal events give equal actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    random: Random,
    endpoints: EndpointTable,
    /// Empty in a small deployment.
    zones: ZoneBreakers,
    origin: OriginProtection,
    /// Of the concurrency limits of all endpoints.
    concurrency: ConcurrencyBounds,
    /// Empty where weights include speeds.
    kind_speeds: KindSpeeds,
    latencies: LatencyTracker,
    load_shedder: LoadShedder,
    /// Of the counts in `load_shedder` and `origin`.
    decay: Decay,
    retry_budget: RetryBudget,
    /// Tells reads that need no origin, where endpoints report cache results.
    cached_keys: CachedKeys,
    /// Tells likely misses.
    recently_served_keys: RecentlyServedKeys,
    /// Looked up by id only, never walked: its order differs from run to run.
    pending: HashMap<RequestId, PendingRequest>,
    /// Those of `pending` that wait for capacity.
    queue: RequestQueue,
    poll_schedule: PollSchedule,
    /// When the earliest [`Action::Wake`] that was asked for is due.
    wake_at: Option<Timestamp>,
}

impl Balancer {
    /// A balancer that knows no endpoint yet. `seed` should differ between nodes.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        // The last class is that of requests without one: treated as non-idempotent.
        settings.classes.push(Class::default());
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

    /// Takes in what happened at `now` and appends what the node must do.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.age_statistics(now);
        match event {
            Event::LastKnownEndpoints(list) => self.replace_endpoints(&list, now),
            Event::Endpoints(update) => self.on_endpoint_update(&update, now),
            Event::Request(request) => self.on_request(request, now, actions),
            Event::AttemptEnded(outcome) => self.on_attempt_ended(&outcome, now, actions),
            Event::RequestCanceled(id) => self.on_request_canceled(&id),
            Event::Timer => self.wake_at = None,
        }
        self.poll_discovery_when_due(now, actions);
        self.dispatch_queued(now, actions);
        self.request_wake(now, actions);
    }

    fn age_statistics(&mut self, now: Timestamp) {
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
        let pending = PendingRequest::new(request, self.random.draw(), now);
        if pending.request.over_quota {
            self.give_up(pending, now, actions);
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

    /// Asks for a wake-up at the next time that something is due, unless an earlier one is asked
    /// for already.
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

    fn keep(&mut self, pending: PendingRequest) {
        self.pending.insert(pending.request.id.clone(), pending);
    }

    /// See [`ConcurrencyBounds::is_large_deployment`].
    fn is_large_deployment(&self) -> bool {
        self.concurrency.is_large_deployment()
    }

    /// Position of the request's class in the settings, the last one for a request of none.
    fn class_index(&self, request: &Request) -> usize {
        let none = self.settings.classes.len() - 1;
        request.class.map_or(none, |id| id.0.min(none))
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[self.class_index(request)]
    }

    /// Whether this is the origin of a cache-aside fleet.
    fn is_origin(&self, endpoint: &Endpoint) -> bool {
        let CacheMode::CacheAside { origin_kind } = &self.settings.mode else {
            return false;
        };
        endpoint.kind.as_ref() == Some(origin_kind)
    }

    /// Whether this is a cache server that takes requests.
    fn is_ready_cache(&self, endpoint: &Endpoint) -> bool {
        endpoint.availability == Availability::Ready && !self.is_origin(endpoint)
    }

    /// What the endpoint can take now in comparison with the others; over 0.
    fn capacity(&self, state: &EndpointState, now: Timestamp) -> f64 {
        /// Least capacity: it is divided by.
        const MIN_CAPACITY: f64 = 1e-9;
        let endpoint = &state.endpoint;
        let speed = self.kind_speeds.factor(&self.settings, &endpoint.kind);
        let capacity_fraction = slow_start::capacity_fraction(&self.settings, endpoint, now);
        (endpoint.weight * speed * capacity_fraction).max(MIN_CAPACITY)
    }

    /// Whether the endpoint recently reported an empty queue. Only meaningful where this node sends
    /// a substantial fraction of the endpoint's load: in a large deployment the report is older
    /// than the bursts of the other nodes.
    fn has_no_queue(&self, state: &EndpointState, now: Timestamp) -> bool {
        !self.is_large_deployment() && state.reported_empty_queue(now)
    }

    /// Whether a read at this endpoint will be fetched from the origin, as far as can be told from
    /// what the endpoint answered here. Some of these are hits: other nodes may have asked for the
    /// key.
    fn is_likely_miss(&self, request: &Request, state: &EndpointState) -> bool {
        self.settings.mode == CacheMode::ReadThrough
            && !request.write
            && request
                .key
                .is_some_and(|key| !self.recently_served_keys.contains(key, state))
    }
}
