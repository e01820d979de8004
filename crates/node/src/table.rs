//! The sockets behind the table of clients' connections: its directives are carried out here.

mod place;
mod reporting_socket;
mod socket;

pub use place::{Driven, Place};
pub use reporting_socket::ReportingSocket;
pub use socket::AHEAD;

use slatelink_front::{
    Budget, Cause, ConnectionId, ConnectionLimits, ConnectionStats, ConnectionTable, Lease, Short, Side,
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

const SWEEP: Duration = Duration::from_millis(50);
/// Connections that are told of at once: others' work goes on between two such parts.
const PART: usize = 256;
/// A wait for a place looks again after this: a place may come from elsewhere than this table.
const ROOM_PAUSE: Duration = Duration::from_millis(10);
/// One that was asked to give way is waited for so many looks before another one is asked.
const LOOKS: u32 = 10;

/// All connections of one port.
pub struct Table {
    connections: RefCell<ConnectionTable>,
    budget: Budget,
    side: Side,
    origin: Instant,
    /// By number.
    wakers: RefCell<Vec<Option<Waker>>>,
    freed: Notify,
}

impl Table {
    /// A table whose connections are this side's of the budget.
    pub fn new(budget: Budget, side: Side, limits: ConnectionLimits) -> Rc<Self> {
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

    /// Waits for a place for a connection of this address that is accepted. `others` asks another side of the budget
    /// for one. `None` where its address has all it may.
    pub async fn admit(
        self: &Rc<Self>,
        stream: TcpStream,
        address: IpAddr,
        others: impl Fn(Side) -> bool,
    ) -> Option<Place> {
        let admitted = self.connections.borrow_mut().check_address_limit(address);
        if let Err(oldest) = admitted {
            // Its own idle one makes room for it, and is as good as closed.
            self.wake(oldest?);
        }
        let lease = self.lease(others).await;
        let id = self.connections.borrow_mut().insert(self.now(), address, lease);
        let mut wakers = self.wakers.borrow_mut();
        if wakers.len() <= id as usize {
            wakers.resize(id as usize + 1, None);
        }
        wakers[id as usize] = None;
        Some(Place { table: self.clone(), id, socket: Socket::new(stream) })
    }

    /// Waits for a place. Clients keep the connections they have: left idle, they would keep all others out.
    pub async fn lease(&self, others: impl Fn(Side) -> bool) -> Lease {
        struct Waits<'a>(&'a Table);
        impl Drop for Waits<'_> {
            fn drop(&mut self) {
                self.0.connections.borrow_mut().remove_waiter();
            }
        }
        let mut waits = None;
        let mut asked = 0;
        loop {
            let short = match self.budget.lease(self.side) {
                Ok(lease) => return lease,
                Err(short) => short,
            };
            waits.get_or_insert_with(|| {
                self.connections.borrow_mut().add_waiter();
                Waits(self)
            });
            if asked == 0 {
                let made = match short {
                    Short::Other(side) => others(side) || self.evict_for_client(),
                    Short::Own => self.evict_for_client(),
                };
                asked = if made { LOOKS } else { 0 };
            } else {
                asked -= 1;
            }
            let _ = timeout(ROOM_PAUSE, self.freed.notified()).await;
        }
    }

    /// Ends connections whose time is up, for as long as the node runs.
    pub async fn sweep(self: Rc<Self>) {
        let mut turns = interval(SWEEP);
        let mut woken = Vec::with_capacity(PART);
        loop {
            turns.tick().await;
            loop {
                let done = self.connections.borrow_mut().advance(self.now(), PART, &mut woken);
                woken.drain(..).for_each(|id| self.wake(id));
                if done {
                    break;
                }
                yield_now().await;
            }
        }
    }

    /// Tells all connections to finish what they have taken and close; returns once all have.
    pub async fn close(&self) {
        let ids: Vec<_> = self.connections.borrow().ids().collect();
        for part in ids.chunks(PART) {
            for id in part {
                self.connections.borrow_mut().close(*id, Cause::Stop);
                self.wake(*id);
            }
            yield_now().await;
        }
        while !self.connections.borrow().is_empty() {
            let _ = timeout(ROOM_PAUSE, self.freed.notified()).await;
        }
    }

    /// Wakes the connection that has waited longest for memory.
    fn wake_starved(&self) {
        let next = self.connections.borrow_mut().next_starved();
        self.wake_one(next);
    }
}
