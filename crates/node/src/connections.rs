//! The sockets behind the table of clients' connections: the table's directives are carried out here.

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

/// Timeouts are checked this often.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Connections handled at once; other tasks run between two batches.
const BATCH: usize = 256;
/// A wait for a descriptor tries again after this: one may be released elsewhere than in this table.
const LEASE_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// After an eviction, this many tries for its descriptor before the next eviction.
const EVICTION_POLLS: u32 = 10;

/// All connections of one port.
pub struct ConnectionManager {
    connections: RefCell<ConnectionTable>,
    budget: Budget,
    side: ConnectionKind,
    origin: Instant,
    /// By connection id.
    wakers: RefCell<Vec<Option<Waker>>>,
    freed: Notify,
}

impl ConnectionManager {
    /// A table whose connections are this side's of the budget.
    pub fn new(budget: Budget, side: ConnectionKind, limits: ConnectionLimits) -> Rc<Self> {
        Rc::new(Self {
            connections: RefCell::new(ConnectionTable::new(limits)),
            budget,
            side,
            origin: Instant::now(),
            wakers: RefCell::default(),
            freed: Notify::new(),
        })
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The present counts of connections.
    pub fn stats(&self) -> ConnectionStats {
        self.connections.borrow().stats()
    }

    fn wake(&self, id: ConnectionId) {
        let waker = self.wakers.borrow().get(id as usize).cloned().flatten();
        // One that was never polled is in the queue to be.
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Wakes the connection that has a new directive, if any. Whether there was one.
    fn wake_one(&self, found: Option<ConnectionId>) -> bool {
        found.inspect(|id| self.wake(*id)).is_some()
    }

    /// Has one connection close in favour of a client that waits. `false` where none can yet.
    fn evict_for_client(&self) -> bool {
        let found = self.connections.borrow_mut().evict_for_client(self.now());
        self.wake_one(found)
    }

    /// Has an unused connection close in favour of one to a server. `false` where there is none.
    pub fn evict_for_server(&self) -> bool {
        let found = self.connections.borrow_mut().evict_for_server(self.now());
        self.wake_one(found)
    }

    /// Waits for a descriptor for a connection that was accepted from this address. `others` asks another side of the budget
    /// for one. `None` where the address has all it may have.
    pub async fn admit(
        self: &Rc<Self>,
        stream: TcpStream,
        address: IpAddr,
        others: impl Fn(ConnectionKind) -> bool,
    ) -> Option<ConnectionHandle> {
        let admitted = self.connections.borrow_mut().check_address_quota(address);
        if let Err(exceeded) = admitted {
            // Its own idle one makes room for it, and is as good as closed.
            self.wake(exceeded.evicted?);
        }
        let lease = self.lease(others).await;
        let id = self
            .connections
            .borrow_mut()
            .insert(self.now(), address, lease);
        let mut wakers = self.wakers.borrow_mut();
        if wakers.len() <= id as usize {
            wakers.resize(id as usize + 1, None);
        }
        wakers[id as usize] = None;
        Some(ConnectionHandle {
            table: self.clone(),
            id,
            socket: Socket::new(stream),
        })
    }

    /// Waits for a descriptor. Clients keep their connections open: idle ones would keep all other clients out.
    pub async fn lease(&self, others: impl Fn(ConnectionKind) -> bool) -> Lease {
        struct Waiter<'a>(&'a ConnectionManager);
        impl Drop for Waiter<'_> {
            fn drop(&mut self) {
                self.0.connections.borrow_mut().remove_waiter();
            }
        }
        let mut waiter = None;
        let mut polls_left = 0;
        loop {
            let short = match self.budget.lease(self.side) {
                Ok(lease) => return lease,
                Err(short) => short,
            };
            waiter.get_or_insert_with(|| {
                self.connections.borrow_mut().add_waiter();
                Waiter(self)
            });
            if polls_left == 0 {
                let made = match short {
                    LeaseError::OtherKind(side) => others(side) || self.evict_for_client(),
                    LeaseError::OwnLimit => self.evict_for_client(),
                };
                polls_left = if made { EVICTION_POLLS } else { 0 };
            } else {
                polls_left -= 1;
            }
            let _ = timeout(LEASE_RETRY_INTERVAL, self.freed.notified()).await;
        }
    }

    /// Ends connections whose time is up, for as long as the node runs.
    pub async fn sweep(self: Rc<Self>) {
        let mut turns = interval(SWEEP_INTERVAL);
        let mut woken = Vec::with_capacity(BATCH);
        loop {
            turns.tick().await;
            loop {
                let done = self
                    .connections
                    .borrow_mut()
                    .advance(self.now(), BATCH, &mut woken);
                woken.drain(..).for_each(|id| self.wake(id));
                if done {
                    break;
                }
                yield_now().await;
            }
        }
    }

    /// Has all connections finish their requests and close; returns once all have.
    pub async fn close(&self) {
        let ids: Vec<_> = self.connections.borrow().ids().collect();
        for part in ids.chunks(BATCH) {
            for id in part {
                self.connections
                    .borrow_mut()
                    .close(*id, CloseCause::Shutdown);
                self.wake(*id);
            }
            yield_now().await;
        }
        while !self.connections.borrow().is_empty() {
            let _ = timeout(LEASE_RETRY_INTERVAL, self.freed.notified()).await;
        }
    }

    /// Wakes the connection that has waited longest for memory.
    fn wake_starved(&self) {
        let next = self.connections.borrow_mut().next_awaiting_memory();
        self.wake_one(next);
    }
}
