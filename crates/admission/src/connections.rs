//! The table of a port's connections: their phases and timeouts, and the choice of connections to
//! close when descriptors or memory run out.
//!
//! The owner of a connection reports its events (`on_...`), and follows its [`Directive`] whenever
//! the table returns the connection as one to be woken. Each event takes constant time, whatever
//! the number of connections.

mod closing;
mod events;
mod eviction;
mod limits;
mod memory;
mod phase;
mod quotas;
mod timeouts;

pub use closing::{CloseCause, Directive};
pub use eviction::KeepAlive;
pub use limits::{ConnectionLimits, ConnectionStats};
pub use memory::MemoryShortage;
pub use phase::Phase;
pub use quotas::AddressQuotaExceeded;

use crate::budget::Lease;
use crate::linked_lists::LinkedLists;
use crate::timer_wheel::TimerWheel;
use closing::Closing;
use quotas::AddressUsage;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Identifier of a connection in the table; reused after the connection is removed.
pub type ConnectionId = u32;

/// A connection in the table.
#[derive(Debug)]
struct Entry {
    lease: Lease,
    /// Time at which the connection entered its phase.
    phase_since: Duration,
    /// Time from which the request timeout counts: the accept for the first request, the arrival of
    /// the first byte for each further one.
    request_since: Duration,
    /// Address of the client; `None` if connections per address are not limited.
    address: Option<IpAddr>,
    /// Class of the request in flight.
    class: Option<u16>,
    /// Whether bytes of the next request were read before the current response was written.
    next_request_begun: bool,
    /// Whether [`Directive::Park`] has to be returned to the owner.
    park_requested: bool,
    /// Set when the table decides to close the connection.
    closing: Option<Closing>,
}

impl Entry {
    /// Returns whether the owner has to close the connection immediately.
    fn is_aborted(&self) -> bool {
        self.closing
            .is_some_and(|closing| closing.directive == Directive::Abort)
    }
}

/// The table of a port's connections. Times are relative to an origin chosen by the caller.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    /// Entries by id; `None` for the ids in `free_ids`.
    entries: Vec<Option<Entry>>,
    free_ids: Vec<ConnectionId>,
    /// One list per phase, ordered by the time at which the connections entered the phase.
    phases: LinkedLists,
    timers: TimerWheel,
    /// Addresses with open connections; empty if connections per address are not limited.
    addresses: HashMap<IpAddr, AddressUsage>,
    /// One list per address, with the longest idle connection first.
    idle_by_address: LinkedLists,
    /// Indexes of lists in `idle_by_address` that are assigned to no address.
    free_idle_lists: Vec<usize>,
    /// Number of requests in flight, by class number.
    in_flight_by_class: Vec<usize>,
    /// Buffer for fired timers, kept to reuse its allocation.
    fired: Vec<ConnectionId>,
    /// Number of accepted connections that wait for a descriptor.
    waiting: usize,
    closed: [u64; CloseCause::ALL.len()],
    refused: [u64; CloseCause::ALL.len()],
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            entries: Vec::new(),
            free_ids: Vec::new(),
            phases: LinkedLists::new(Phase::ALL.len()),
            timers: TimerWheel::default(),
            addresses: HashMap::new(),
            idle_by_address: LinkedLists::new(0),
            free_idle_lists: Vec::new(),
            in_flight_by_class: Vec::new(),
            fired: Vec::new(),
            waiting: 0,
            closed: [0; CloseCause::ALL.len()],
            refused: [0; CloseCause::ALL.len()],
        }
    }

    /// Returns the current counts of connections.
    pub fn stats(&self) -> ConnectionStats {
        ConnectionStats {
            phases: Phase::ALL.map(|phase| self.phases.len(phase as usize)),
            waiting: self.waiting,
            closed: self.closed,
            refused: self.refused,
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.entries.len() - self.free_ids.len()
    }

    /// Checks whether the table has no connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Iterates over all connections in the order of their ids.
    pub fn ids(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        (0..)
            .zip(&self.entries)
            .filter(|(_, entry)| entry.is_some())
            .map(|(id, _)| id)
    }

    /// Returns the phase of a connection; [`Phase::AwaitingFirstByte`] for an id that is not in the
    /// table.
    pub fn phase(&self, id: ConnectionId) -> Phase {
        self.phases
            .list_of(id)
            .map_or(Phase::AwaitingFirstByte, |phase| Phase::ALL[phase])
    }

    /// Adds a connection that was accepted from this address.
    pub fn insert(&mut self, now: Duration, address: IpAddr, mut lease: Lease) -> ConnectionId {
        // The memory of a socket is charged if the budget allows. The amount is too small to be a
        // reason for refusing the connection.
        lease.try_set_bytes(self.limits.parked_bytes);
        let address = self.limits.per_address.map(|_| address);
        if let Some(address) = address {
            self.add_to_address(address);
        }
        let id = self.allocate_id();
        self.entries[id as usize] = Some(Entry {
            lease,
            phase_since: now,
            request_since: now,
            address,
            class: None,
            next_request_begun: false,
            park_requested: false,
            closing: None,
        });
        self.phases.push_back(Phase::AwaitingFirstByte as usize, id);
        self.set_timeout(now, id, Phase::AwaitingFirstByte);
        id
    }

    /// Removes a closed connection and releases its lease. Does nothing for an id that is not in
    /// the table.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get_mut(id as usize).and_then(Option::take) else {
            return;
        };
        let cause = entry
            .closing
            .map_or(CloseCause::ClosedByClient, |closing| closing.cause);
        self.closed[cause as usize] += 1;
        self.phases.remove(id);
        self.timers.cancel(id);
        self.remove_from_class(entry.class);
        if let Some(address) = entry.address {
            self.idle_by_address.remove(id);
            self.remove_from_address(address);
        }
        self.free_ids.push(id);
    }

    /// Returns an unused id.
    fn allocate_id(&mut self) -> ConnectionId {
        self.free_ids.pop().unwrap_or_else(|| {
            self.entries.push(None);
            (self.entries.len() - 1) as ConnectionId
        })
    }

    fn entry(&self, id: ConnectionId) -> Option<&Entry> {
        self.entries.get(id as usize)?.as_ref()
    }

    fn entry_mut(&mut self, id: ConnectionId) -> Option<&mut Entry> {
        self.entries.get_mut(id as usize)?.as_mut()
    }
}
