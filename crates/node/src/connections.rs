//! The client connections of a port: their sockets, and how they follow the connection table.
//!
//! Admission's [`ConnectionTable`] decides and holds no socket: it knows the phase of each connection and its timeouts,
//! and says by a directive whether one goes on, is parked, finishes or is aborted, and which one is evicted for another.
//! Here what happens on the sockets is reported to the table, with the time, and its directives are carried out:
//!
//! - [`ConnectionManager`] owns the table of a port. It waits for descriptors, wakes connections that have a new directive
//!   and has the table advance its timers.
//! - [`ConnectionHandle`] is one connection. It reports requests and responses to the table and follows its directive;
//!   dropped, it leaves the table.
//! - [`ReportingSocket`] is its socket as hyper uses it, and reports reads and writes.

mod handle;
mod reporting_socket;
mod socket;

pub use handle::{ConnectionHandle, DriveOutcome};
pub use reporting_socket::ReportingSocket;
pub use socket::MAX_READ_AHEAD_BYTES;

use slatelink_admission::{
    Budget, CloseCause, ConnectionId, ConnectionKind, ConnectionLimits, ConnectionStats,
    ConnectionTable, Lease, LeaseError,
};
use socket::Socket;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{interval, timeout, Instant};

/// How often the timeouts of connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Connections handled at once; other tasks run between two batches.
const BATCH_SIZE: usize = 256;
/// A wait for a descriptor tries again after this: one may be released elsewhere than in this table.
const LEASE_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// After an eviction, this many tries for its descriptor before the next eviction.
const EVICTION_POLLS: u32 = 10;

/// All connections of one port.
pub struct ConnectionManager {
    /// The phases and timeouts of the connections, and what each is to do.
    table: RefCell<ConnectionTable>,
    /// Shared with the other ports and the connections to endpoints.
    budget: Budget,
    /// Whose quota of the budget the connections count in.
    kind: ConnectionKind,
    /// The table's times count from here.
    started_at: Instant,
    /// By connection id; `None` where there is no connection, or it was not polled yet.
    wakers: RefCell<Vec<Option<Waker>>>,
    /// Notified when a connection has left the table, and its descriptor is free.
    connection_closed: Notify,
}

impl ConnectionManager {
    /// No connections yet; theirs are of this kind in the budget.
    pub fn new(budget: Budget, kind: ConnectionKind, limits: ConnectionLimits) -> Rc<Self> {
        Rc::new(Self {
            table: RefCell::new(ConnectionTable::new(limits)),
            budget,
            kind,
            started_at: Instant::now(),
            wakers: RefCell::default(),
            connection_closed: Notify::new(),
        })
    }

    /// The present on the table's clock.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The present counts of connections.
    pub fn stats(&self) -> ConnectionStats {
        self.table.borrow().stats()
    }

    /// Wakes a connection that has a new directive.
    fn wake(&self, id: ConnectionId) {
        let waker = self.wakers.borrow().get(id as usize).cloned().flatten();
        // One that was never polled is scheduled to be.
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Wakes the connection that has a new directive, if any. Whether there was one.
    fn wake_if_any(&self, id: Option<ConnectionId>) -> bool {
        id.inspect(|id| self.wake(*id)).is_some()
    }

    /// Has one connection close in favour of a client that waits. `false` where none can yet.
    fn evict_for_client(&self) -> bool {
        let evicted = self.table.borrow_mut().evict_for_client(self.now());
        self.wake_if_any(evicted)
    }

    /// Has an unused connection close in favour of one to an endpoint. `false` where there is none.
    pub fn evict_for_upstream(&self) -> bool {
        let evicted = self.table.borrow_mut().evict_for_upstream(self.now());
        self.wake_if_any(evicted)
    }

    /// Waits for a descriptor for a connection that was accepted from this address. `evict_other_kind` has a connection of
    /// another kind close, and is `false` where none can. `None` where the address has as many connections as it may.
    pub async fn admit(
        self: &Rc<Self>,
        stream: TcpStream,
        address: IpAddr,
        evict_other_kind: impl Fn(ConnectionKind) -> bool,
    ) -> Option<ConnectionHandle> {
        let admitted = self.table.borrow_mut().check_address_quota(address);
        if let Err(exceeded) = admitted {
            // An idle connection of the same address is evicted, and is as good as closed.
            self.wake(exceeded.evicted?);
        }
        let lease = self.lease(evict_other_kind).await;
        let id = self.table.borrow_mut().insert(self.now(), address, lease);
        self.clear_waker(id);
        Some(ConnectionHandle {
            manager: self.clone(),
            id,
            socket: Socket::new(stream),
        })
    }

    /// Makes an entry without a waker for a new connection.
    fn clear_waker(&self, id: ConnectionId) {
        let index = id as usize;
        let mut wakers = self.wakers.borrow_mut();
        if wakers.len() <= index {
            wakers.resize(index + 1, None);
        }
        wakers[index] = None;
    }

    /// Waits for a descriptor. Clients keep their connections open: idle ones would keep all other clients out, so some are
    /// evicted meanwhile.
    pub async fn lease(&self, evict_other_kind: impl Fn(ConnectionKind) -> bool) -> Lease {
        let mut waiting = None;
        let mut polls_left = 0;
        loop {
            let shortage = match self.budget.lease(self.kind) {
                Ok(lease) => return lease,
                Err(shortage) => shortage,
            };
            waiting.get_or_insert_with(|| WaiterGuard::new(self));
            if polls_left == 0 {
                let evicted = match shortage {
                    LeaseError::OtherKind(kind) => {
                        evict_other_kind(kind) || self.evict_for_client()
                    }
                    LeaseError::OwnLimit => self.evict_for_client(),
                };
                polls_left = if evicted { EVICTION_POLLS } else { 0 };
            } else {
                polls_left -= 1;
            }
            self.wait_for_close().await;
        }
    }

    /// Waits until a connection has closed, for at most [`LEASE_RETRY_INTERVAL`].
    async fn wait_for_close(&self) {
        let _ = timeout(LEASE_RETRY_INTERVAL, self.connection_closed.notified()).await;
    }

    /// Ends connections whose time is up, for as long as the node runs.
    pub async fn sweep(self: Rc<Self>) {
        let mut turns = interval(SWEEP_INTERVAL);
        let mut woken = Vec::with_capacity(BATCH_SIZE);
        loop {
            turns.tick().await;
            while !self.advance_table(&mut woken) {
                yield_now().await;
            }
        }
    }

    /// Advances the table's timers by one batch, with `woken` as an empty buffer. `true` once all that are due have fired.
    fn advance_table(&self, woken: &mut Vec<ConnectionId>) -> bool {
        let done = self
            .table
            .borrow_mut()
            .advance(self.now(), BATCH_SIZE, woken);
        for id in woken.drain(..) {
            self.wake(id);
        }
        done
    }

    /// Has all connections finish their requests and close; returns once all have.
    pub async fn close(&self) {
        let ids: Vec<_> = self.table.borrow().ids().collect();
        for batch in ids.chunks(BATCH_SIZE) {
            for id in batch {
                self.table.borrow_mut().close(*id, CloseCause::Shutdown);
                self.wake(*id);
            }
            yield_now().await;
        }
        while !self.table.borrow().is_empty() {
            self.wait_for_close().await;
        }
    }

    /// Wakes the connection that has waited longest for memory.
    fn wake_awaiting_memory(&self) {
        let next = self.table.borrow_mut().next_awaiting_memory();
        self.wake_if_any(next);
    }
}

/// Counts one who waits for a descriptor, until it is dropped.
struct WaiterGuard<'a>(&'a ConnectionManager);

impl<'a> WaiterGuard<'a> {
    /// Counts one more.
    fn new(manager: &'a ConnectionManager) -> Self {
        manager.table.borrow_mut().add_waiter();
        Self(manager)
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.table.borrow_mut().remove_waiter();
    }
}
