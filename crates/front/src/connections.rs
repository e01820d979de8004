//! The table of clients' connections: the phase of each, its timeouts, and which one is evicted when descriptors or
//! memory run out. Every step takes constant time, whatever the number of connections.

use crate::budget::Lease;
use crate::lists::Lists;
use crate::wheel::Wheel;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Identifies a connection in the table; reused once the connection is removed.
pub type ConnectionId = u32;

/// A request must be complete this long after its first byte, the first one after the connection's start. A client
/// is owed an error or a close within 3 s, whatever it sends or leaves out.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A client that does not read its response keeps its connection no longer than this.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection idle for this long gives up its buffers and parser; an active client sends its next request sooner.
const PARK_AFTER: Duration = Duration::from_millis(300);
/// A connection that has sent nothing for this long may be evicted; a usual client sends a request at once.
const SILENT_EVICTION_AGE: Duration = Duration::from_millis(30);
/// A connection idle for this long may be evicted first.
const IDLE_EVICTION_AGE: Duration = Duration::from_secs(2);
/// A connection whose request is incomplete after this long may be evicted; usual ones come within a few packets.
const REQUEST_EVICTION_AGE: Duration = Duration::from_millis(500);
/// Connections looked at, at most, in search of one that is not closing already.
const MAX_SCANNED: usize = 64;

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Nothing has come yet.
    Silent,
    /// A request is coming.
    Asking,
    /// A request is with the driver.
    Open,
    /// An answer is being written.
    Answering,
    /// All that came is answered.
    Idle,
    /// So for a while: it holds nothing but its socket.
    Parked,
}

impl Phase {
    /// All of them, in the order of their numbers.
    pub const ALL: [Self; 6] =
        [Self::Silent, Self::Asking, Self::Open, Self::Answering, Self::Idle, Self::Parked];

    /// Its label in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Asking => "asking",
            Self::Open => "open",
            Self::Answering => "answering",
            Self::Idle => "idle",
            Self::Parked => "parked",
        }
    }

    const fn is_idle(self) -> bool {
        matches!(self, Self::Idle | Self::Parked)
    }
}

/// Why a connection was closed, or not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// Its client closed it, or broke HTTP.
    Client,
    /// No byte came in 2 s.
    Silent,
    /// No whole request came in 2 s from its first byte.
    Slow,
    /// Its answer was not taken in 4 s.
    Untaken,
    /// Nobody used it for the idle time.
    Idle,
    /// It gave its place to another one.
    Room,
    /// Its answer closed it, since few places were left.
    Crowd,
    /// Its address holds all that one may.
    Address,
    /// No memory was left to read what it said.
    Bytes,
    /// The node stops.
    Stop,
    /// Its class holds all that it may: a request refused, not a connection closed.
    Class,
}

impl Cause {
    /// All of them, in the order of their numbers.
    pub const ALL: [Self; 11] = [
        Self::Client,
        Self::Silent,
        Self::Slow,
        Self::Untaken,
        Self::Idle,
        Self::Room,
        Self::Crowd,
        Self::Address,
        Self::Bytes,
        Self::Stop,
        Self::Class,
    ];

    /// Its label in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Silent => "silent",
            Self::Slow => "slow",
            Self::Untaken => "untaken",
            Self::Idle => "idle",
            Self::Room => "room",
            Self::Crowd => "crowd",
            Self::Address => "address",
            Self::Bytes => "bytes",
            Self::Stop => "stop",
            Self::Class => "class",
        }
    }
}

/// The limits of a table.
#[derive(Clone, Debug, Default)]
pub struct ConnectionLimits {
    /// With this many connections in use, one closes with its response, so that other clients get a turn.
    pub crowded_at: usize,
    /// An idle connection is kept this long.
    pub idle_timeout: Duration,
    /// Connections of one address, at most.
    pub per_address: Option<usize>,
    /// Open requests of each class, at most; classes past its end have no limit.
    pub per_class: Vec<Option<usize>>,
    /// Bytes that a connection in use is counted as.
    pub active_bytes: usize,
    /// Bytes that one is counted as that holds nothing but its socket.
    pub parked_bytes: usize,
}

/// What the owner of a connection is to do with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Directive {
    /// Go on.
    Continue,
    /// Release everything but the socket.
    Park,
    /// Finish the request that the node has taken, if any, and close.
    Finish,
    /// Close at once: what is in progress will not end in time.
    Abort,
}

/// Counts of a table's connections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConnectionStats {
    /// Connections in each phase, by its number.
    pub phases: [usize; Phase::ALL.len()],
    /// Accepted, and waiting for a place.
    pub waiting: usize,
    /// Closed since the start, by the cause's number.
    pub closed: [u64; Cause::ALL.len()],
    /// Connections not let in, and requests that the decision module is to refuse, since the start, by the cause's number.
    pub refused: [u64; Cause::ALL.len()],
}

#[derive(Debug)]
struct Entry {
    lease: Lease,
    since: Duration,
    address: Option<IpAddr>,
    class: Option<u16>,
    /// Bytes came before the answer to the last request was out: the next request has begun.
    ahead: bool,
    /// It is to give up its buffers.
    parking: bool,
    ending: Option<Ending>,
}

#[derive(Clone, Copy, Debug)]
struct Ending {
    cause: Cause,
    directive: Directive,
}

#[derive(Debug, Default)]
struct Holder {
    count: usize,
    /// Its list among those of idle connections by address.
    idle: usize,
}

/// The table. Times count from an origin of the caller's choice.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    entries: Vec<Option<Entry>>,
    free: Vec<ConnectionId>,
    /// By phase, the one that entered it first at the head.
    phases: Lists,
    timers: Wheel,
    holders: HashMap<IpAddr, Holder>,
    idle_of: Lists,
    idle_free: Vec<usize>,
    open_of: Vec<usize>,
    fired: Vec<ConnectionId>,
    waiting: usize,
    /// One list: those that have something to say and no memory to be read with.
    starved: Lists,
    closed: [u64; Cause::ALL.len()],
    refused: [u64; Cause::ALL.len()],
}

impl ConnectionTable {
    /// An empty table.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            entries: Vec::new(),
            free: Vec::new(),
            phases: Lists::new(Phase::ALL.len()),
            timers: Wheel::default(),
            holders: HashMap::new(),
            idle_of: Lists::new(0),
            idle_free: Vec::new(),
            open_of: Vec::new(),
            fired: Vec::new(),
            waiting: 0,
            starved: Lists::new(1),
            closed: [0; Cause::ALL.len()],
            refused: [0; Cause::ALL.len()],
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
        self.entries.len() - self.free.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All connections in the table.
    pub fn ids(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        (0..).zip(&self.entries).filter(|(_, entry)| entry.is_some()).map(|(id, _)| id)
    }

    /// One more connection waits for a descriptor: until it has one, others close with their responses.
    pub fn add_waiter(&mut self) {
        self.waiting += 1;
    }

    /// One connection waits no longer.
    pub fn remove_waiter(&mut self) {
        self.waiting -= 1;
    }

    /// Whether an address may have one more connection. Where it has all it may, its own that has been idle for longest
    /// is to close: `Err` with that, which has to be woken, or with none where all of them are in use.
    pub fn check_address_limit(&mut self, address: IpAddr) -> Result<(), Option<ConnectionId>> {
        let most = self.limits.per_address.unwrap_or(usize::MAX);
        let Some(holder) = self.holders.get(&address).filter(|holder| holder.count >= most) else {
            return Ok(());
        };
        let oldest = self.first_not_closing(self.idle_of.iter(holder.idle));
        match oldest {
            Some(id) => self.close(id, Cause::Address),
            None => self.refused[Cause::Address as usize] += 1,
        }
        Err(oldest)
    }

    /// Adds a connection.
    pub fn insert(&mut self, now: Duration, address: IpAddr, mut lease: Lease) -> ConnectionId {
        // The memory of one that holds only its socket is counted, and too little to be refused for.
        lease.hold(self.limits.parked_bytes);
        let address = self.limits.per_address.map(|_| address);
        if let Some(address) = address {
            let holder = self.holders.entry(address).or_insert_with(|| Holder {
                count: 0,
                idle: self.idle_free.pop().unwrap_or_else(|| self.idle_of.add()),
            });
            holder.count += 1;
        }
        let entry =
            Entry { lease, since: now, address, class: None, ahead: false, parking: false, ending: None };
        let id = match self.free.pop() {
            Some(id) => id,
            None => {
                self.entries.push(None);
                (self.entries.len() - 1) as ConnectionId
            }
        };
        self.entries[id as usize] = Some(entry);
        self.phases.push(Phase::Silent as usize, id);
        self.timers.set(id, now + REQUEST_TIMEOUT);
        id
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get_mut(id as usize).and_then(Option::take) else { return };
        self.closed[entry.ending.map_or(Cause::Client, |ending| ending.cause) as usize] += 1;
        self.phases.remove(id);
        self.timers.cancel(id);
        self.starved.remove(id);
        self.release_class(entry.class);
        if let Some(address) = entry.address {
            self.idle_of.remove(id);
            if let Some(holder) = self.holders.get_mut(&address) {
                holder.count -= 1;
                if holder.count == 0 {
                    self.idle_free.push(holder.idle);
                    self.holders.remove(&address);
                }
            }
        }
        self.free.push(id);
    }

    /// The phase of a connection.
    pub fn phase(&self, id: ConnectionId) -> Phase {
        self.phases.list(id).map_or(Phase::Silent, |phase| Phase::ALL[phase])
    }

    /// Bytes have come, and none of the memory to read them is held yet. Where there is none it asks again once some is
    /// given back, and is closed if none is in the time for a request: `Err` with the one that is to give up its own,
    /// if any can, and has to be woken.
    pub fn on_readable(&mut self, now: Duration, id: ConnectionId) -> Result<(), Option<ConnectionId>> {
        let busy = self.limits.active_bytes;
        let Some(entry) = self.entry_mut(id) else { return Ok(()) };
        if entry.lease.hold(busy) {
            self.starved.remove(id);
            return Ok(());
        }
        if self.phase(id).is_idle() {
            self.enter_phase(now, id, Phase::Asking);
        }
        self.starved.push(0, id);
        let idle = self.phases.iter(Phase::Idle as usize).take(MAX_SCANNED);
        let other =
            idle.filter(|other| *other != id).find(|other| self.entry(*other).is_some_and(|e| !e.parking));
        if let Some(entry) = other.and_then(|other| self.entry_mut(other)) {
            entry.parking = true;
        }
        Err(other)
    }

    /// So many bytes are held beside what a connection in use is counted as, until its answer. `false` where there are not
    /// that many.
    pub fn reserve_request_bytes(&mut self, id: ConnectionId, bytes: usize) -> bool {
        let bytes = self.limits.active_bytes.saturating_add(bytes);
        let held = self.entry_mut(id).is_none_or(|entry| entry.lease.hold(bytes));
        self.refused[Cause::Bytes as usize] += u64::from(!held);
        held
    }

    /// Bytes were read.
    pub fn on_bytes_read(&mut self, now: Duration, id: ConnectionId) {
        match self.phase(id) {
            // The time of the first request runs from the connection's start.
            Phase::Silent => self.phases.push(Phase::Asking as usize, id),
            Phase::Idle | Phase::Parked => self.enter_phase(now, id, Phase::Asking),
            Phase::Asking => {}
            Phase::Open | Phase::Answering => {
                if let Some(entry) = self.entry_mut(id) {
                    entry.ahead = true;
                }
            }
        }
    }

    /// A request's head has come; its body may follow.
    pub fn on_request_head(&mut self, now: Duration, id: ConnectionId) {
        if let Some(entry) = self.entry_mut(id) {
            entry.ahead = false;
        }
        if !matches!(self.phase(id), Phase::Silent | Phase::Asking) {
            self.enter_phase(now, id, Phase::Asking);
        }
    }

    /// A request of this class has come whole. Whether its class has more of them open than its share: that is for the
    /// decision module to know.
    pub fn on_request(&mut self, now: Duration, id: ConnectionId, class: usize) -> bool {
        self.enter_phase(now, id, Phase::Open);
        // Its time may have run out in the very turn in which the rest came: the node has the request now, and answers it.
        let ending = self.entry_mut(id).and_then(|entry| entry.ending.as_mut());
        if let Some(ending) = ending.filter(|ending| ending.directive == Directive::Abort) {
            ending.directive = Directive::Finish;
        }
        if self.open_of.len() <= class {
            self.open_of.resize(class + 1, 0);
        }
        self.open_of[class] += 1;
        if let Some(entry) = self.entry_mut(id) {
            entry.class = u16::try_from(class).ok();
        }
        let most = self.limits.per_class.get(class).copied().flatten();
        let over = most.is_some_and(|most| self.open_of[class] > most);
        self.refused[Cause::Class as usize] += u64::from(over);
        over
    }

    /// Its answer is at hand.
    pub fn on_response(&mut self, now: Duration, id: ConnectionId) {
        let busy = self.limits.active_bytes;
        let class = self.entry_mut(id).and_then(|entry| {
            entry.lease.hold(busy);
            entry.class.take()
        });
        self.release_class(class);
        self.enter_phase(now, id, Phase::Answering);
    }

    /// All that was to be written is out.
    pub fn on_flushed(&mut self, now: Duration, id: ConnectionId) {
        if self.phase(id) == Phase::Answering {
            let starving = !self.starved.is_empty(0);
            let Some(entry) = self.entry_mut(id) else { return };
            let ahead = entry.ahead;
            // Others wait for what it holds.
            entry.parking = !ahead && starving;
            self.enter_phase(now, id, if ahead { Phase::Asking } else { Phase::Idle });
        }
    }

    /// It has given up all but its socket.
    pub fn on_parked(&mut self, id: ConnectionId) {
        if self.phase(id).is_idle() {
            self.phases.push(Phase::Parked as usize, id);
        }
        let parked = self.limits.parked_bytes;
        if let Some(entry) = self.entry_mut(id) {
            entry.parking = false;
            entry.lease.hold(parked);
        }
    }

    /// Memory was given back: the one that has waited for it longest, which is to be woken and asks again.
    pub fn next_starved(&mut self) -> Option<ConnectionId> {
        let next = self.starved.first(0)?;
        // If it gets none the next turn is another's.
        self.starved.push(0, next);
        Some(next)
    }

    /// What a connection is to do now.
    pub fn directive(&mut self, id: ConnectionId) -> Directive {
        let phase = self.phase(id);
        let Some(entry) = self.entry_mut(id) else { return Directive::Abort };
        match entry.ending {
            Some(ending) => ending.directive,
            // The order to park may be out of date: another request may have come since.
            None if std::mem::take(&mut entry.parking) && phase == Phase::Idle => Directive::Park,
            None => Directive::Continue,
        }
    }

    /// Whether its descriptor may be held for a moment past its end, for a client that still reads: not where it was closed
    /// so that another one can have its place.
    pub fn may_linger(&self, id: ConnectionId) -> bool {
        let ending = self.entry(id).and_then(|entry| entry.ending.as_ref());
        ending.is_none_or(|ending| !matches!(ending.cause, Cause::Room | Cause::Address))
    }

    /// It closes for this cause: at once where it keeps the node waiting, else when what it has asked is answered. A
    /// request that is being read as the node stops is read to its end.
    pub fn close(&mut self, id: ConnectionId, cause: Cause) {
        let halting = matches!(self.phase(id), Phase::Asking | Phase::Answering) && cause != Cause::Stop;
        self.set_ending(id, cause, if halting { Directive::Abort } else { Directive::Finish });
    }

    fn set_ending(&mut self, id: ConnectionId, cause: Cause, directive: Directive) {
        if let Some(entry) = self.entry_mut(id) {
            // The first cause is the cause; what is to close at once does so whatever was said before.
            let ending = entry.ending.get_or_insert(Ending { cause, directive });
            if ending.directive != Directive::Abort {
                ending.directive = directive;
            }
        }
    }

    /// Whether a connection that is about to be answered closes with its answer, since others wait for a descriptor or
    /// will soon. One that was not used for long closes instead, if there is any: it is to be woken.
    pub fn closes_with_response(&mut self, now: Duration, id: ConnectionId) -> (bool, Option<ConnectionId>) {
        let used = [Phase::Open, Phase::Answering, Phase::Idle, Phase::Parked];
        let used: usize = used.iter().map(|phase| self.phases.len(*phase as usize)).sum();
        if self.waiting == 0 && used < self.limits.crowded_at {
            return (false, None);
        }
        if self.waiting == 0 {
            if let Some(other) = self.oldest_idle(now, IDLE_EVICTION_AGE) {
                self.close(other, Cause::Room);
                return (false, Some(other));
            }
        }
        if self.entry(id).is_some_and(|entry| entry.ending.is_none()) {
            // The response says so: its owner needs no directive.
            self.set_ending(id, Cause::Crowd, Directive::Continue);
        }
        (true, None)
    }

    /// Closes one in favour of a client that waits; it has to be woken. A flood of silent connections evicts its own first,
    /// but must not block usual clients behind it while unused connections or incomplete requests hold the rest.
    pub fn evict_for_client(&mut self, now: Duration) -> Option<ConnectionId> {
        let found = self
            .oldest_unused(now)
            .or_else(|| self.oldest_in_phase(now, Phase::Asking, REQUEST_EVICTION_AGE))
            .or_else(|| {
                self.oldest_idle(now, Duration::ZERO)
                    .filter(|_| self.oldest_in_phase(now, Phase::Silent, Duration::ZERO).is_none())
            })?;
        self.close(found, Cause::Room);
        Some(found)
    }

    /// Closes one that was not used for long, or never, in favour of a connection to a server. It has to be woken.
    pub fn evict_for_server(&mut self, now: Duration) -> Option<ConnectionId> {
        let found = self.oldest_unused(now)?;
        self.close(found, Cause::Room);
        Some(found)
    }

    /// Ends connections whose time is up and parks idle ones, in no more than `work` steps: those to be woken are appended
    /// to `woken`. `false` where there is more to do now.
    pub fn advance(&mut self, now: Duration, work: usize, woken: &mut Vec<ConnectionId>) -> bool {
        let mut fired = std::mem::take(&mut self.fired);
        let done = self.timers.advance(now, work, &mut fired);
        for id in fired.drain(..) {
            let (phase, idle) = (self.phase(id), self.limits.idle_timeout);
            let starved = self.starved.list(id).is_some();
            let Some(entry) = self.entry_mut(id) else { continue };
            let over = entry.since + idle;
            let cause = match phase {
                Phase::Silent | Phase::Asking if starved => Cause::Bytes,
                Phase::Silent => Cause::Silent,
                Phase::Asking => Cause::Slow,
                Phase::Open => continue,
                Phase::Answering => Cause::Untaken,
                // One may be parked before this, where others wait for what it holds.
                Phase::Idle | Phase::Parked if now < over => {
                    entry.parking = phase == Phase::Idle;
                    if entry.parking {
                        woken.push(id);
                    }
                    self.timers.set(id, over);
                    continue;
                }
                Phase::Idle | Phase::Parked => Cause::Idle,
            };
            self.close(id, cause);
            woken.push(id);
        }
        self.fired = fired;
        done
    }

    fn entry(&self, id: ConnectionId) -> Option<&Entry> {
        self.entries.get(id as usize)?.as_ref()
    }

    fn entry_mut(&mut self, id: ConnectionId) -> Option<&mut Entry> {
        self.entries.get_mut(id as usize)?.as_mut()
    }

    fn release_class(&mut self, class: Option<u16>) {
        if let Some(open) = class.and_then(|class| self.open_of.get_mut(usize::from(class))) {
            *open -= 1;
        }
    }

    fn enter_phase(&mut self, now: Duration, id: ConnectionId, phase: Phase) {
        let Some(entry) = self.entry_mut(id) else { return };
        entry.since = now;
        let address = entry.address;
        self.phases.push(phase as usize, id);
        match phase {
            Phase::Silent | Phase::Asking => self.timers.set(id, now + REQUEST_TIMEOUT),
            Phase::Answering => self.timers.set(id, now + RESPONSE_WRITE_TIMEOUT),
            Phase::Idle | Phase::Parked => {
                self.timers.set(id, now + PARK_AFTER.min(self.limits.idle_timeout))
            }
            Phase::Open => drop(self.timers.cancel(id)),
        }
        let Some(address) = address else { return };
        match self.holders.get(&address) {
            Some(holder) if phase.is_idle() => self.idle_of.push(holder.idle, id),
            _ => drop(self.idle_of.remove(id)),
        }
    }

    /// The first that is not closing already.
    fn first_not_closing(&self, ids: impl Iterator<Item = ConnectionId>) -> Option<ConnectionId> {
        ids.take(MAX_SCANNED).find(|id| self.entry(*id).is_some_and(|entry| entry.ending.is_none()))
    }

    /// One that was never used, or not for long.
    fn oldest_unused(&self, now: Duration) -> Option<ConnectionId> {
        self.oldest_in_phase(now, Phase::Silent, SILENT_EVICTION_AGE)
            .or_else(|| self.oldest_idle(now, IDLE_EVICTION_AGE))
    }

    /// The one that has been in this phase for longest, if that is `age` or more, among those that are not closing already.
    fn oldest_in_phase(&self, now: Duration, phase: Phase, age: Duration) -> Option<ConnectionId> {
        let found = self.first_not_closing(self.phases.iter(phase as usize))?;
        self.entry(found).filter(|entry| now.saturating_sub(entry.since) >= age).map(|_| found)
    }

    /// Those that are parked have been idle for longer than the others.
    fn oldest_idle(&self, now: Duration, age: Duration) -> Option<ConnectionId> {
        self.oldest_in_phase(now, Phase::Parked, age).or_else(|| self.oldest_in_phase(now, Phase::Idle, age))
    }
}
