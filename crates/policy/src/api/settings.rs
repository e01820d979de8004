//! Settings, given at start-up and changed by an event: request classes, cache mode, limits and
//! durations.

use super::Name;
use std::time::Duration;

/// Position of a class in [`Settings::classes`]. Changed settings keep the positions of their
/// classes, see [`Event::SettingsChanged`](crate::Event::SettingsChanged).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// The endpoints that discard a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// Endpoints of the zone that the request was first sent to.
    Zone,
    /// Endpoints of the cell that the request was first sent to.
    Cell,
}

/// Effect of a repeat of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat has no further effect; the request may be repeated at any time.
    Idempotent,
    /// Endpoints within `scope` recognise a repeat by its idempotency key and discard the repeat,
    /// for `window` from the first attempt that may have run.
    Keyed {
        /// The endpoints that discard repeats.
        scope: DeduplicationScope,
        /// Duration for which endpoints discard repeats.
        window: Duration,
    },
    /// A repeat runs a second time, which must never happen.
    NonIdempotent,
}

/// What the class of a request determines for the decisions on it. A request keeps these terms from
/// its arrival to its end, whatever happens to its class meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassTerms {
    /// Effect of a repeat.
    pub idempotency: Idempotency,
    /// Latency objective.
    pub latency_objective: Duration,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: Name,
    /// Effect of a repeat.
    pub idempotency: Idempotency,
    /// Latency objective: responses within this time have the highest value.
    pub latency_objective: Duration,
    /// Time after which clients abandon a request permanently.
    pub deadline: Duration,
}

impl Class {
    /// Returns the terms of a request that arrives now.
    pub fn terms(&self) -> ClassTerms {
        ClassTerms {
            idempotency: self.idempotency,
            latency_objective: self.latency_objective,
        }
    }
}

impl Default for Class {
    /// Returns the class used for requests without a class: non-idempotent, never repeated.
    fn default() -> Self {
        Self {
            name: "".into(),
            idempotency: Idempotency::NonIdempotent,
            latency_objective: Duration::from_millis(500),
            deadline: Duration::from_secs(1),
        }
    }
}

/// The component that fetches values missing from cache servers.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheMode {
    /// Cache servers fetch missing values from the origin and forward writes to the origin.
    ReadThrough,
    /// The node sends misses and writes to the origin, which is the endpoint of this kind.
    CacheAside {
        /// Kind of the origin's endpoint.
        origin_kind: Name,
    },
}

/// Settings of a balancer. `Default` provides a value for every setting, for callers that set only
/// some.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of nodes that share the endpoints.
    pub nodes: u32,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Names of tenants. If any are listed, a request must name a listed tenant. No decision
    /// depends on the tenant.
    pub tenants: Vec<Name>,
    /// The component that fetches values missing from cache servers.
    pub mode: CacheMode,
    /// Whether endpoint weights include the speed of the cores, not only the number of cores.
    pub weights_include_speed: bool,
    /// Whether discovery must be polled with
    /// [`Action::PollDiscovery`](crate::Action::PollDiscovery); otherwise discovery pushes updates.
    pub polls_discovery: bool,
    /// Without a watch, a node that has not polled for this duration counts as notified of all
    /// changes.
    pub max_poll_interval: Duration,
    /// Time that a node has, once it counts as notified that an endpoint drains or was removed, to
    /// stop sending to the endpoint.
    pub drain_grace: Duration,
    /// Maximum number of attempts of a request, including the first.
    pub max_attempts: u32,
    /// Longest Retry-After that a client honours.
    pub max_retry_after: Duration,
    /// Time within which a connection must be established.
    pub connect_timeout: Duration,
    /// Idle time after which endpoints close a connection.
    pub keepalive: Duration,
    /// Fraction of its full capacity that an endpoint has at its start, from 0 to 1.
    pub slow_start_min_capacity: f64,
    /// Time from an endpoint's start until the endpoint has its full capacity.
    pub slow_start_duration: Duration,
    /// A warming endpoint becomes overloaded when it receives more than this multiple of its
    /// current capacity.
    pub slow_start_overload_factor: f64,
    /// Window over which the load on a warming endpoint is measured.
    pub slow_start_overload_window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            nodes: 1,
            classes: Vec::new(),
            tenants: Vec::new(),
            mode: CacheMode::ReadThrough,
            weights_include_speed: true,
            polls_discovery: false,
            max_poll_interval: Duration::from_secs(10),
            drain_grace: Duration::from_millis(250),
            max_attempts: 3,
            max_retry_after: Duration::ZERO,
            connect_timeout: Duration::from_millis(250),
            keepalive: Duration::from_secs(15),
            slow_start_min_capacity: 0.3,
            slow_start_duration: Duration::from_secs(10),
            slow_start_overload_factor: 2.0,
            slow_start_overload_window: Duration::from_secs(1),
        }
    }
}
