//! Start-up settings: classes of requests, the cache mode, limits and times.

use super::Name;
use std::time::Duration;

/// Position of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Which endpoints discard a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of the zone that the request was first sent to.
    Zone,
    /// Those of the cell that the request was first sent to.
    Cell,
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be repeated at will.
    Idempotent,
    /// Nothing within `scope` for `window` from the first attempt that may have run: endpoints know
    /// the request by its idempotency key.
    Keyed {
        /// The endpoints that discard repeats.
        scope: DeduplicationScope,
        /// For how long they do.
        window: Duration,
    },
    /// It runs a second time, which must never happen.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: Name,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// Latency objective: answers within this time are worth most.
    pub latency_objective: Duration,
    /// Clients give a request up for good after this time.
    pub deadline: Duration,
}

impl Default for Class {
    /// The class of requests without one: treated as non-idempotent, never repeated.
    fn default() -> Self {
        Self {
            name: "".into(),
            idempotency: Idempotency::NonIdempotent,
            latency_objective: Duration::from_millis(500),
            deadline: Duration::from_secs(1),
        }
    }
}

/// Who fetches the values that cache servers lack.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheMode {
    /// Cache servers fetch them from the origin and forward writes to it.
    ReadThrough,
    /// The node does: it sends misses and writes to the origin, which is the endpoint of this kind.
    CacheAside {
        /// Kind of the origin's endpoint.
        origin_kind: Name,
    },
}

/// Start-up settings. `Default` gives a value for each, for callers that know only some.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of nodes that share the endpoints.
    pub nodes: u32,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Names of tenants, if there are any: a request must name one of them. No decision tells them
    /// apart.
    pub tenants: Vec<Name>,
    /// Who fetches the values that cache servers lack.
    pub mode: CacheMode,
    /// Whether the weights of endpoints include the speed of their cores, not only their number.
    pub weights_include_speed: bool,
    /// Whether discovery must be polled with
    /// [`Action::PollDiscovery`](crate::Action::PollDiscovery); else it pushes.
    pub polls_discovery: bool,
    /// Without a watch, a node that has not polled for so long counts as notified.
    pub max_poll_interval: Duration,
    /// Nothing is sent to an endpoint later than this after the node was notified that it drains or
    /// was removed.
    pub drain_grace: Duration,
    /// Most attempts of a request, the first one included.
    pub max_attempts: u32,
    /// Longest Retry-After that a client honours.
    pub max_retry_after: Duration,
    /// A connection that is not established within this time fails.
    pub connect_timeout: Duration,
    /// Endpoints close a connection that has been idle for this long.
    pub keepalive: Duration,
    /// Part of its full capacity that an endpoint starts with, from 0 to 1.
    pub slow_start_min_capacity: f64,
    /// An endpoint has its full capacity this long after its start.
    pub slow_start_duration: Duration,
    /// An endpoint that warms up and is sent more than this multiple of its present capacity falls
    /// over.
    pub slow_start_overload_factor: f64,
    /// The window over which that is counted.
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
