//! The table of clients' connections: the phase of each, its timeouts, and which one is evicted when descriptors or
//! memory run out. Every step takes constant time, whatever the number of connections.

mod admission;
mod closing;
mod eviction;
mod limits;
mod memory;
mod phase;
mod timeouts;

pub use closing::{CloseCause, Directive};
pub use limits::{ConnectionLimits, ConnectionStats};
pub use phase::Phase;

use crate::budget::Lease;
use crate::linked_lists::LinkedLists;
use crate::timer_wheel::TimerWheel;
use admission::Holder;
use closing::Ending;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Identifies a connection in the table; reused once the connection is removed.
pub type ConnectionId = u32;

/// A connection in the table.
#[derive(Debug)]
struct Entry {
    lease: Lease,
    phase_since: Duration,
    address: Option<IpAddr>,
    class: Option<u16>,
    /// Bytes came before the answer to the last request was out: the next request has begun.
    next_request_begun: bool,
    /// It is to give up its buffers.
    parking: bool,
    ending: Option<Ending>,
}

/// The table. Times count from an origin of the caller's choice.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    entries: Vec<Option<Entry>>,
    free_ids: Vec<ConnectionId>,
    /// By phase, the one that entered it first at the head.
    phases: LinkedLists,
    timers: TimerWheel,
    holders: HashMap<IpAddr, Holder>,
    idle_by_address: LinkedLists,
    free_idle_lists: Vec<usize>,
    open_by_class: Vec<usize>,
    fired: Vec<ConnectionId>,
    waiting: usize,
    /// One list: those that have something to say and no memory to be read with.
    starved: LinkedLists,
    closed: [u64; CloseCause::ALL.len()],
    refused: [u64; CloseCause::ALL.len()],
}

impl ConnectionTable {
    /// An empty table.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            entries: Vec::new(),
            free_ids: Vec::new(),
            phases: LinkedLists::new(Phase::ALL.len()),
            timers: TimerWheel::default(),
            holders: HashMap::new(),
            idle_by_address: LinkedLists::new(0),
            free_idle_lists: Vec::new(),
            open_by_class: Vec::new(),
            fired: Vec::new(),
            waiting: 0,
            starved: LinkedLists::new(1),
            closed: [0; CloseCause::ALL.len()],
            refused: [0; CloseCause::ALL.len()],
        }
    }

    /// The present counts.
    pub fn stats(&self) -> ConnectionStats {
        ConnectionStats {
            phases: Phase::ALL.map(|phase| self.phases.len(phase as usize)),
            waiting: self.waiting,
            closed: self.closed,
            refused: self.refused,
        }
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.entries.len() - self.free_ids.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All connections in the table.
    pub fn ids(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        (0..)
            .zip(&self.entries)
            .filter(|(_, entry)| entry.is_some())
            .map(|(id, _)| id)
    }

    /// Adds a connection.
    pub fn insert(&mut self, now: Duration, address: IpAddr, mut lease: Lease) -> ConnectionId {
        // The memory of one that holds only its socket is counted, and too little to be refused for.
        lease.try_set_bytes(self.limits.parked_bytes);
        let address = self.limits.per_address.map(|_| address);
        if let Some(address) = address {
            self.hold_address(address);
        }
        let entry = Entry {
            lease,
            phase_since: now,
            address,
            class: None,
            next_request_begun: false,
            parking: false,
            ending: None,
        };
        let id = match self.free_ids.pop() {
            Some(id) => id,
            None => {
                self.entries.push(None);
                (self.entries.len() - 1) as ConnectionId
            }
        };
        self.entries[id as usize] = Some(entry);
        self.phases.push(Phase::AwaitingFirstByte as usize, id);
        self.set_timeout(now, id, Phase::AwaitingFirstByte);
        id
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get_mut(id as usize).and_then(Option::take) else {
            return;
        };
        self.closed[entry
            .ending
            .map_or(CloseCause::ClosedByClient, |ending| ending.cause)
            as usize] += 1;
        self.phases.remove(id);
        self.timers.cancel(id);
        self.starved.remove(id);
        self.release_class(entry.class);
        if let Some(address) = entry.address {
            self.idle_by_address.remove(id);
            self.release_address(address);
        }
        self.free_ids.push(id);
    }

    /// The phase of a connection.
    pub fn phase(&self, id: ConnectionId) -> Phase {
        self.phases
            .list(id)
            .map_or(Phase::AwaitingFirstByte, |phase| Phase::ALL[phase])
    }

    /// Bytes were read.
    pub fn on_bytes_read(&mut self, now: Duration, id: ConnectionId) {
        match self.phase(id) {
            // The time of the first request runs from the connection's start.
            Phase::AwaitingFirstByte => self.phases.push(Phase::ReadingRequest as usize, id),
            Phase::Idle | Phase::Parked => self.enter_phase(now, id, Phase::ReadingRequest),
            Phase::ReadingRequest => {}
            Phase::Processing | Phase::WritingResponse => {
                if let Some(entry) = self.entry_mut(id) {
                    entry.next_request_begun = true;
                }
            }
        }
    }

    /// A request's head has come; its body may follow.
    pub fn on_request_head(&mut self, now: Duration, id: ConnectionId) {
        if let Some(entry) = self.entry_mut(id) {
            entry.next_request_begun = false;
        }
        if !matches!(
            self.phase(id),
            Phase::AwaitingFirstByte | Phase::ReadingRequest
        ) {
            self.enter_phase(now, id, Phase::ReadingRequest);
        }
    }

    /// A request of this class has come whole. Whether its class has more of them open than its share: that is for the
    /// decision module to know.
    pub fn on_request(&mut self, now: Duration, id: ConnectionId, class: usize) -> bool {
        self.enter_phase(now, id, Phase::Processing);
        // Its time may have run out in the very turn in which the rest came: the node has the request now, and answers it.
        let ending = self.entry_mut(id).and_then(|entry| entry.ending.as_mut());
        if let Some(ending) = ending.filter(|ending| ending.directive == Directive::Abort) {
            ending.directive = Directive::Finish;
        }
        if let Some(entry) = self.entry_mut(id) {
            entry.class = u16::try_from(class).ok();
        }
        self.hold_class(class)
    }

    /// Its answer is at hand.
    pub fn on_response(&mut self, now: Duration, id: ConnectionId) {
        let active_bytes = self.limits.active_bytes;
        let class = self.entry_mut(id).and_then(|entry| {
            entry.lease.try_set_bytes(active_bytes);
            entry.class.take()
        });
        self.release_class(class);
        self.enter_phase(now, id, Phase::WritingResponse);
    }

    /// All that was to be written is out.
    pub fn on_flushed(&mut self, now: Duration, id: ConnectionId) {
        if self.phase(id) == Phase::WritingResponse {
            let starving = !self.starved.is_empty(0);
            let Some(entry) = self.entry_mut(id) else {
                return;
            };
            let next_request_begun = entry.next_request_begun;
            // Others wait for what it holds.
            entry.parking = !next_request_begun && starving;
            self.enter_phase(
                now,
                id,
                if next_request_begun {
                    Phase::ReadingRequest
                } else {
                    Phase::Idle
                },
            );
        }
    }

    fn entry(&self, id: ConnectionId) -> Option<&Entry> {
        self.entries.get(id as usize)?.as_ref()
    }

    fn entry_mut(&mut self, id: ConnectionId) -> Option<&mut Entry> {
        self.entries.get_mut(id as usize)?.as_mut()
    }

    /// Moves a connection to a phase, and sets its timeout.
    fn enter_phase(&mut self, now: Duration, id: ConnectionId, phase: Phase) {
        let Some(entry) = self.entry_mut(id) else {
            return;
        };
        entry.phase_since = now;
        let address = entry.address;
        self.phases.push(phase as usize, id);
        self.set_timeout(now, id, phase);
        let Some(address) = address else { return };
        match self.holders.get(&address) {
            Some(holder) if phase.is_idle() => self.idle_by_address.push(holder.idle, id),
            _ => drop(self.idle_by_address.remove(id)),
        }
    }
}
