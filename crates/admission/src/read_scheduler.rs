//! Fair queueing of reads: which connection reads next when many have bytes to read.
//!
//! A connection reads only in its turn, which covers one request. Turns are granted in rounds of a
//! few, and the owner runs all other work between two rounds: the duration of a round, and with it
//! the delay of a request that is under way, does not depend on how many connections send and how
//! fast.
//!
//! Within the queue, weighted fair queueing applies with equal weights. Virtual time is what each
//! waiting connection would have used if all had used the same; a connection that has used less goes
//! before those that have used more, and no connection waits for ever behind new ones.

use crate::ConnectionId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Cost of a byte read, in units of virtual time. Greater than the number of connections, by which
/// the progress of virtual time is divided.
const BYTE_COST: u64 = 1 << 16;
/// Cost of a turn beside the bytes read in it.
const TURN_COST: u64 = BYTE_COST << 11;
/// What a connection may have used less than the others and still make good: it then goes before all
/// that have read up to this much more.
const MAX_CREDIT: u64 = BYTE_COST << 14;

/// Whether a connection may read now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// The connection has not asked for a turn.
    Idle,
    /// The connection is in the queue.
    Waiting,
    /// The connection may read this many bytes.
    Granted { bytes_left: usize },
}

/// Use of the node by one connection.
#[derive(Clone, Copy, Debug)]
struct Flow {
    turn: Turn,
    /// Virtual time at which what the connection has used so far is paid for.
    finish: u64,
    /// Number of connections that had this id before, by which their entries in the queue are
    /// told apart.
    generation: u32,
}

/// An entry of the queue, ordered by the virtual start time and then by the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    start: u64,
    sequence: u64,
    id: ConnectionId,
    generation: u32,
}

/// The queue of connections that have bytes to read.
#[derive(Debug)]
pub struct ReadScheduler {
    /// Number of turns in a round.
    turns_per_round: usize,
    /// Number of bytes that a connection may read in a turn.
    bytes_per_turn: usize,
    /// By connection id.
    flows: Vec<Flow>,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    /// Number of connections in `queue` that still exist.
    waiting: usize,
    /// What each connection would have used if all had used the same since the start.
    virtual_time: u64,
    /// Number of entries that have been added to the queue.
    sequence: u64,
    /// Number of turns that are left in this round.
    turns_left: usize,
}

impl ReadScheduler {
    /// Creates a scheduler without connections.
    pub fn new(turns_per_round: usize, bytes_per_turn: usize) -> Self {
        Self {
            turns_per_round,
            bytes_per_turn,
            flows: Vec::new(),
            queue: BinaryHeap::new(),
            waiting: 0,
            virtual_time: 0,
            sequence: 0,
            turns_left: turns_per_round,
        }
    }

    /// Adds a connection. It has no credit: kept connections that have used little go before it.
    pub fn insert(&mut self, id: ConnectionId) {
        let index = id as usize;
        if self.flows.len() <= index {
            let unused = Flow {
                turn: Turn::Idle,
                finish: 0,
                generation: 0,
            };
            self.flows.resize(index + 1, unused);
        }
        self.leave_queue(id);
        let flow = &mut self.flows[index];
        flow.turn = Turn::Idle;
        flow.finish = self.virtual_time;
        flow.generation = flow.generation.wrapping_add(1);
    }

    /// Removes a connection. Does nothing for an id that was never added.
    pub fn remove(&mut self, id: ConnectionId) {
        self.leave_queue(id);
        if let Some(flow) = self.flows.get_mut(id as usize) {
            flow.turn = Turn::Idle;
            flow.generation = flow.generation.wrapping_add(1);
        }
    }

    /// Asks for a turn. Returns the number of bytes that the connection may read now; `None` if it
    /// has to wait until [`Self::begin_round`] returns its id. A turn lasts until its bytes are read
    /// or [`Self::end_turn`] is called.
    pub fn request_turn(&mut self, id: ConnectionId) -> Option<usize> {
        match self.flows.get(id as usize)?.turn {
            Turn::Granted { bytes_left } => return Some(bytes_left),
            Turn::Waiting => return None,
            Turn::Idle => {}
        }
        let start = self.start_of_next_turn(id);
        if self.waiting == 0 && self.turns_left > 0 {
            self.grant(id, start);
            return Some(self.bytes_per_turn);
        }
        self.join_queue(id, start);
        None
    }

    /// Records that a connection has read bytes. Its turn ends once it has read all bytes of it.
    pub fn on_bytes_read(&mut self, id: ConnectionId, bytes: usize) {
        let cost = bytes as u64 * BYTE_COST;
        self.advance(cost);
        let Some(flow) = self.flows.get_mut(id as usize) else {
            return;
        };
        flow.finish += cost;
        if let Turn::Granted { bytes_left } = flow.turn {
            flow.turn = match bytes_left.saturating_sub(bytes) {
                0 => Turn::Idle,
                bytes_left => Turn::Granted { bytes_left },
            };
        }
    }

    /// Takes back the turn of a connection that found nothing to read.
    pub fn return_turn(&mut self, id: ConnectionId) {
        let bytes_per_turn = self.bytes_per_turn;
        let Some(flow) = self.flows.get_mut(id as usize) else {
            return;
        };
        let Turn::Granted { bytes_left } = flow.turn else {
            return;
        };
        flow.turn = Turn::Idle;
        if bytes_left == bytes_per_turn {
            flow.finish = flow.finish.saturating_sub(TURN_COST);
            self.turns_left = (self.turns_left + 1).min(self.turns_per_round);
        }
    }

    /// Returns whether a connection waits for a turn.
    pub fn is_waiting(&self, id: ConnectionId) -> bool {
        self.flows
            .get(id as usize)
            .is_some_and(|flow| flow.turn == Turn::Waiting)
    }

    /// Ends the turn of a connection that has read a whole request, or has nothing more to read.
    pub fn end_turn(&mut self, id: ConnectionId) {
        if let Some(flow) = self.flows.get_mut(id as usize) {
            if matches!(flow.turn, Turn::Granted { .. }) {
                flow.turn = Turn::Idle;
            }
        }
    }

    /// Begins a round: grants turns to the connections that wait, as far as the round has turns.
    /// Appends their ids to `granted`; their owners have to be woken. Returns whether connections
    /// are left that wait for the next round.
    pub fn begin_round(&mut self, granted: &mut Vec<ConnectionId>) -> bool {
        self.turns_left = self.turns_per_round;
        while self.turns_left > 0 {
            let Some(Reverse(entry)) = self.queue.pop() else {
                break;
            };
            if !self.is_current(&entry) {
                continue;
            }
            self.waiting -= 1;
            self.grant(entry.id, entry.start);
            granted.push(entry.id);
        }
        self.waiting > 0
    }

    /// Returns the number of connections that wait for a turn.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the virtual time at which the next turn of a connection starts.
    fn start_of_next_turn(&self, id: ConnectionId) -> u64 {
        let earliest = self.virtual_time.saturating_sub(MAX_CREDIT);
        self.flows[id as usize].finish.max(earliest)
    }

    /// Advances virtual time by the part of this cost that is due to each connection that waits or
    /// reads.
    fn advance(&mut self, cost: u64) {
        self.virtual_time += cost / (self.waiting as u64 + 1);
    }

    fn grant(&mut self, id: ConnectionId, start: u64) {
        self.turns_left -= 1;
        self.advance(TURN_COST);
        let flow = &mut self.flows[id as usize];
        flow.finish = start + TURN_COST;
        flow.turn = Turn::Granted {
            bytes_left: self.bytes_per_turn,
        };
    }

    fn join_queue(&mut self, id: ConnectionId, start: u64) {
        let flow = &mut self.flows[id as usize];
        flow.turn = Turn::Waiting;
        self.queue.push(Reverse(QueueEntry {
            start,
            sequence: self.sequence,
            id,
            generation: flow.generation,
        }));
        self.sequence += 1;
        self.waiting += 1;
    }

    /// Removes a connection from the queue; its entry is skipped when its turn comes.
    fn leave_queue(&mut self, id: ConnectionId) {
        let waits = self
            .flows
            .get(id as usize)
            .is_some_and(|flow| flow.turn == Turn::Waiting);
        self.waiting -= usize::from(waits);
        if self.waiting == 0 {
            self.queue.clear();
        }
    }

    /// Checks whether the connection of an entry still waits.
    fn is_current(&self, entry: &QueueEntry) -> bool {
        self.flows
            .get(entry.id as usize)
            .is_some_and(|flow| flow.generation == entry.generation && flow.turn == Turn::Waiting)
    }
}
