//! The HTTP client for endpoints: a connection pool per endpoint, with one request at a time on
//! each connection, and the attempts made on these connections.
//!
//! An attempt checks a connection out of its endpoint's pool ([`checkout`]), sends its request and
//! reads the response ([`exchange`]), and returns the connection to the pool if it is reusable
//! ([`attempt`]). If an idle connection proves stale before any byte was written, the same attempt
//! uses another connection. Once a byte was written nothing is retried here, because the decision
//! module decides on retries.

mod attempt;
mod checkout;
mod exchange;
mod idle_history;
mod pool;
mod request_ids;
mod socket;
mod write_progress;

pub use attempt::AttemptLimits;
pub use exchange::{AttemptResult, ForwardedRequest, IDEMPOTENCY_KEY, REQ_DEADLINE, REQ_ID};
pub use request_ids::OpenRequestIds;

use crate::body::BodyMemory;
use crate::connections::ConnectionManager;
use idle_history::IdleHistory;
use pool::{EndpointPool, PooledConnection};
use slatelink_admission::Budget;
use slatelink_config::EndpointList;
use slatelink_policy::{Availability, Endpoint, EndpointId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The idle timeout is the endpoints' keep-alive time divided by this. A connection that its
/// endpoint is about to close would accept a request only to end it with a reset.
const IDLE_TIMEOUT_DIVISOR: u32 = 2;
/// Interval between checks of the idle connections' age.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The connection pools of all endpoints.
pub struct Upstream {
    pools: RefCell<HashMap<EndpointId, Rc<EndpointPool>>>,
    /// Budget of the connections' descriptors.
    budget: Budget,
    /// Client connections, which share the budget and are evicted for connections to endpoints.
    clients: Rc<ConnectionManager>,
    /// Memory for the bodies of responses.
    response_memory: BodyMemory,
    /// Timeout of connecting to an endpoint.
    connect_timeout: Cell<Duration>,
    /// Determines the timeout of idle connections.
    idle_history: RefCell<IdleHistory>,
}

impl Upstream {
    /// Creates an instance without endpoints. Connections lease their descriptors from `budget`,
    /// and the bodies of responses reserve `response_memory`; `keepalive` is the time after which
    /// endpoints close idle connections.
    pub fn new(
        budget: Budget,
        clients: Rc<ConnectionManager>,
        response_memory: BodyMemory,
        connect_timeout: Duration,
        keepalive: Duration,
    ) -> Self {
        let idle_timeout = keepalive / IDLE_TIMEOUT_DIVISOR;
        Self {
            pools: RefCell::default(),
            budget,
            clients,
            response_memory,
            connect_timeout: Cell::new(connect_timeout),
            idle_history: RefCell::new(IdleHistory::new(idle_timeout, Instant::now())),
        }
    }

    /// Changes the timeout of connecting and the time after which endpoints close idle connections.
    pub fn set_timeouts(&self, connect_timeout: Duration, keepalive: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.idle_history
            .borrow_mut()
            .set_max_idle_timeout(keepalive / IDLE_TIMEOUT_DIVISOR);
    }

    /// Applies discovery's record of an endpoint. A new endpoint is added once its address is
    /// known.
    pub fn update_endpoint(&self, endpoint: &Endpoint, address: Option<SocketAddr>) {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(&endpoint.id) {
            pool.update(endpoint, address);
        } else if let Some(address) = address {
            let pool = EndpointPool::new(endpoint, address);
            pools.insert(endpoint.id.clone(), Rc::new(pool));
        }
    }

    /// Stops new attempts at endpoints that are not ready in this list. All other changes of the
    /// list are left to [`Self::update_endpoint`].
    pub fn mark_unready(&self, list: &EndpointList) {
        let pools = self.pools.borrow();
        let unready = list
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.availability() != Availability::Ready);
        for pool in unready.filter_map(|endpoint| pools.get(&EndpointId::from(endpoint.id()))) {
            pool.stop_accepting();
        }
    }

    /// Removes an endpoint. Its pool, which attempts may still hold, accepts no more requests.
    pub fn remove_endpoint(&self, endpoint: &EndpointId) {
        if let Some(pool) = self.pools.borrow_mut().remove(endpoint) {
            pool.stop_accepting();
        }
    }

    /// Removes all endpoints that `keep` rejects: the endpoints that a complete list lacks.
    pub fn retain_endpoints(&self, keep: impl Fn(&EndpointId) -> bool) {
        let removed: Vec<_> = self
            .pools
            .borrow()
            .keys()
            .filter(|id| !keep(id))
            .cloned()
            .collect();
        for id in &removed {
            self.remove_endpoint(id);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: &EndpointId) {
        if let Some(pool) = self.pools.borrow().get(endpoint) {
            pool.close_idle();
        }
    }

    /// Closes the connection that has been idle the longest. Returns `false` if no connection is
    /// idle.
    pub fn close_oldest_idle(&self) -> bool {
        let pools = self.pools.borrow();
        let oldest = pools
            .values()
            .filter_map(|pool| Some((pool.idle.borrow().first()?.idle_since, pool)))
            .min_by_key(|(idle_since, _)| *idle_since);
        oldest
            .map(|(_, pool)| drop(pool.idle.borrow_mut().remove(0)))
            .is_some()
    }

    /// Closes idle connections before their endpoints do, for the lifetime of the node.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            for pool in self.pools.borrow().values() {
                pool.idle
                    .borrow_mut()
                    .retain(|connection| self.is_fresh(connection));
            }
        }
    }

    /// Checks whether an idle connection is likely to be open at its endpoint.
    fn is_fresh(&self, connection: &PooledConnection) -> bool {
        !connection.sender.is_closed()
            && connection.idle_since.elapsed() < self.idle_history.borrow().idle_timeout()
    }
}

/// Checks whether an operation failed because this process ran out of descriptors, memory or
/// addresses. Such an error is no evidence of a fault at the peer.
pub fn is_local_resource_error(error: &io::Error) -> bool {
    const LOCAL_RESOURCE_ERRORS: [i32; 5] = [
        libc::ENOMEM,
        libc::ENFILE,
        libc::EMFILE,
        libc::EADDRNOTAVAIL,
        libc::ENOBUFS,
    ];
    error.kind() == io::ErrorKind::QuotaExceeded
        || error
            .raw_os_error()
            .is_some_and(|code| LOCAL_RESOURCE_ERRORS.contains(&code))
}

#[cfg(test)]
mod tests;
