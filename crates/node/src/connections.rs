//! Client connections of one port: their sockets and the execution of the connection table's
//! directives.
//!
//! Admission's [`ConnectionTable`] holds no socket. It tracks the phase and the timeouts of each
//! connection, decides by a directive whether a connection continues, is parked, finishes or is
//! aborted, and selects connections for eviction. This module reports socket events to the table,
//! with the time, and executes its directives:
//!
//! - [`ConnectionManager`] owns the table of a port. It waits for descriptors, wakes connections
//!   that have a new directive and advances the table's timers.
//! - [`ConnectionHandle`] is one connection. It reports requests and responses to the table and
//!   follows the connection's directive. Dropping it removes the connection from the table.
//! - [`ReportingSocket`] is the connection's socket as hyper uses it. It reports reads and writes.

mod handle;
mod head_scanner;
mod inbound;
mod read_delay;
mod receive;
mod reporting_socket;
mod socket;
mod stall_clock;

pub use handle::{ConnectionHandle, DriveOutcome};
pub use inbound::MAX_INBOUND_BYTES;
pub use receive::{ClientPresence, NextRequest};
pub use reporting_socket::ReportingSocket;

use crate::body::MAX_BODY_BYTES;
use read_delay::ReadDelay;
use slatelink_admission::{
    Budget, CloseCause, ConnectionId, ConnectionKind, ConnectionLimits, ConnectionStats,
    ConnectionTable, Lease, LeaseError, ReadScheduler,
};
use socket::Socket;
use stall_clock::StallClock;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{interval, timeout, Instant};

/// Interval between checks of the connection timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Number of connections handled in one batch; other tasks run between two batches.
const BATCH_SIZE: usize = 256;
/// Longest wait before another attempt to lease a descriptor: the budget is shared, so a descriptor
/// may be released outside this table.
const LEASE_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Number of lease attempts after an eviction before the next eviction.
const EVICTION_POLLS: u32 = 10;

/// Number of polls of all sockets after which a stall is forgotten.
const STALL_POLLS: u32 = 2;
/// Number of connections that read in one round, between two polls of all sockets.
const READS_PER_ROUND: usize = 4;
/// Number of bytes that a connection reads in its turn: a request of the maximum length.
const READ_BYTES_PER_TURN: usize = MAX_INBOUND_BYTES + MAX_BODY_BYTES;

/// All connections of one port.
pub struct ConnectionManager {
    /// Phases, timeouts and directives of the connections.
    table: RefCell<ConnectionTable>,
    /// Shared with the other ports and the connections to endpoints.
    budget: Budget,
    /// Kind whose quota of the budget applies to the connections.
    kind: ConnectionKind,
    /// Zero of the table's clock.
    started_at: Instant,
    /// Indexed by connection id; `None` if there is no such connection or it has not been polled
    /// yet.
    wakers: RefCell<Vec<Option<Waker>>>,
    /// Notified when a connection has left the table and its descriptor is free.
    connection_closed: Notify,
    /// Order in which connections read.
    reads: RefCell<ReadScheduler>,
    /// Notified when a connection waits for its turn to read.
    turn_requested: Notify,
    /// Detects that the node was held up.
    stall_clock: StallClock,
}

impl ConnectionManager {
    /// Creates a manager without connections. `kind` is the kind of its connections in the budget.
    pub fn new(budget: Budget, kind: ConnectionKind, limits: ConnectionLimits) -> Rc<Self> {
        Rc::new(Self {
            table: RefCell::new(ConnectionTable::new(limits)),
            budget,
            kind,
            started_at: Instant::now(),
            wakers: RefCell::default(),
            connection_closed: Notify::new(),
            reads: RefCell::new(ReadScheduler::new(READS_PER_ROUND, READ_BYTES_PER_TURN)),
            turn_requested: Notify::new(),
            stall_clock: StallClock::new(SWEEP_INTERVAL),
        })
    }

    /// Returns the current time on the table's clock.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Changes the maximum number of requests in flight per class, by class number.
    pub fn set_class_limits(&self, per_class: Vec<Option<usize>>) {
        self.table.borrow_mut().set_class_limits(per_class);
    }

    /// Returns the current connection counts.
    pub fn stats(&self) -> ConnectionStats {
        self.table.borrow().stats()
    }

    /// Wakes a connection that has a new directive.
    fn wake(&self, id: ConnectionId) {
        let waker = self.wakers.borrow().get(id as usize).cloned().flatten();
        // A connection that was never polled is already scheduled for its first poll.
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Wakes the connection that has a new directive, if any. Returns whether there was one.
    fn wake_if_any(&self, id: Option<ConnectionId>) -> bool {
        id.inspect(|id| self.wake(*id)).is_some()
    }

    /// Closes one connection in favour of a waiting client. Returns `false` if no connection can be
    /// evicted yet.
    fn evict_for_client(&self) -> bool {
        let evicted = self.table.borrow_mut().evict_for_client(self.now());
        self.wake_if_any(evicted)
    }

    /// Closes an unused connection in favour of a connection to an endpoint. Returns `false` if
    /// there is no unused connection.
    pub fn evict_for_upstream(&self) -> bool {
        let evicted = self.table.borrow_mut().evict_for_upstream(self.now());
        self.wake_if_any(evicted)
    }

    /// Waits for a descriptor for a connection accepted from this address, which arrived at
    /// `arrived_at`.
    ///
    /// `evict_other_kind` closes a connection of another kind and returns `false` if it cannot.
    /// Returns `None` if the address has reached its connection limit and none of its connections
    /// can be evicted.
    pub async fn admit(
        self: &Rc<Self>,
        stream: TcpStream,
        address: IpAddr,
        arrived_at: Instant,
        evict_other_kind: impl Fn(ConnectionKind) -> bool,
    ) -> Option<ConnectionHandle> {
        let quota_check = self.table.borrow_mut().check_address_quota(address);
        if let Err(exceeded) = quota_check {
            // An idle connection of the same address is evicted and treated as already closed.
            self.wake(exceeded.evicted?);
        }
        let lease = self.lease(evict_other_kind).await;
        let accept_delay = Instant::now().saturating_duration_since(arrived_at);
        let now = self.now();
        let id = self.table.borrow_mut().insert(now, address, lease);
        self.table
            .borrow_mut()
            .on_admission_delay(now, id, accept_delay);
        self.reads.borrow_mut().insert(id);
        self.clear_waker(id);
        Some(ConnectionHandle {
            manager: self.clone(),
            id,
            socket: Socket::new(stream),
            read_delay: ReadDelay::new(accept_delay),
        })
    }

    /// Creates an entry without a waker for a new connection.
    fn clear_waker(&self, id: ConnectionId) {
        let index = id as usize;
        let mut wakers = self.wakers.borrow_mut();
        if wakers.len() <= index {
            wakers.resize(index + 1, None);
        }
        wakers[index] = None;
    }

    /// Waits for a descriptor. Clients keep their connections open, so idle connections could block
    /// all new clients: some are evicted during the wait.
    pub async fn lease(&self, evict_other_kind: impl Fn(ConnectionKind) -> bool) -> Lease {
        let mut waiter = None;
        let mut polls_left = 0;
        loop {
            let shortage = match self.budget.lease(self.kind) {
                Ok(lease) => return lease,
                Err(shortage) => shortage,
            };
            waiter.get_or_insert_with(|| WaiterGuard::new(self));
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

    /// Runs the timeouts of the connections and the order in which they read, for as long as the
    /// node runs.
    pub async fn run(self: Rc<Self>) {
        tokio::join!(self.sweep(), self.schedule_reads());
    }

    /// Grants turns to read, a few in each round. All other tasks that are ready run between two
    /// rounds, and all sockets are polled.
    async fn schedule_reads(&self) {
        let mut granted = Vec::with_capacity(READS_PER_ROUND);
        loop {
            self.turn_requested.notified().await;
            let mut waiting = true;
            while waiting {
                yield_now().await;
                waiting = self.reads.borrow_mut().begin_round(&mut granted);
                for id in granted.drain(..) {
                    self.wake(id);
                }
            }
        }
    }

    /// Asks for a turn to read; see [`ReadScheduler::request_turn`].
    fn request_turn(&self, id: ConnectionId) -> Option<usize> {
        let turn = self.reads.borrow_mut().request_turn(id);
        if turn.is_none() {
            self.turn_requested.notify_one();
        }
        turn
    }

    /// Returns the time for which the node was held up before `now`.
    pub fn stall(&self, now: Instant) -> Duration {
        self.stall_clock.stall(now)
    }

    /// Ends connections whose timeout has expired, and those that are to release their memory to
    /// waiting ones, for as long as the node runs.
    async fn sweep(&self) {
        let mut ticks = interval(SWEEP_INTERVAL);
        let mut woken = Vec::with_capacity(BATCH_SIZE);
        loop {
            ticks.tick().await;
            if self.stall_clock.tick(Instant::now()) {
                self.forget_stall_after_poll().await;
            }
            while !self.advance_table(&mut woken) {
                yield_now().await;
            }
            self.reclaim_memory(&mut woken);
        }
    }

    /// Forgets a stall once the sockets were polled and the tasks that they wake have run. The first
    /// poll may be the one that the end of the stall has interrupted.
    async fn forget_stall_after_poll(&self) {
        for _ in 0..STALL_POLLS {
            yield_now().await;
        }
        self.stall_clock.forget_stall();
    }

    /// Evicts connections in favour of those that wait for memory. `woken` is an empty buffer.
    fn reclaim_memory(&self, woken: &mut Vec<ConnectionId>) {
        self.table.borrow_mut().reclaim_memory(self.now(), woken);
        for id in woken.drain(..) {
            self.wake(id);
        }
    }

    /// Advances the table's timers by one batch. `woken` is an empty buffer. Returns `true` once
    /// all expired timers have fired.
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

    /// Closes all connections after their open requests; returns once all are closed.
    pub async fn close(&self) {
        self.begin_close().await;
        while !self.table.borrow().is_empty() {
            self.wait_for_close().await;
        }
    }

    /// Tells all present connections to close after their open requests.
    pub async fn begin_close(&self) {
        let ids: Vec<_> = self.table.borrow().ids().collect();
        for batch in ids.chunks(BATCH_SIZE) {
            for id in batch {
                self.table.borrow_mut().close(*id, CloseCause::Shutdown);
                self.wake(*id);
            }
            yield_now().await;
        }
    }

    /// Wakes the connection that reads next when memory was released, if one waits.
    fn wake_awaiting_memory(&self) {
        let next = self.table.borrow().next_awaiting_memory();
        self.wake_if_any(next);
    }
}

/// Counts one waiter for a descriptor until it is dropped.
struct WaiterGuard<'a>(&'a ConnectionManager);

impl<'a> WaiterGuard<'a> {
    /// Adds a waiter to the table's count.
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
