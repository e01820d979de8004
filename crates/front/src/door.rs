//! The table of clients' connections: what each is at, how long it may be, and which one gives way where there is no
//! place. Every step takes constant time, whatever the number of connections.

use crate::budget::Lease;
use crate::lists::Lists;
use crate::wheel::Wheel;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// A connection's number: used anew once it has left.
pub type Id = u32;

/// From its first byte, or from the connection's start for the first one, a request has come whole by then. A client
/// is owed an error or a close within 3 s, whatever it sends or leaves out.
const ASKING: Duration = Duration::from_secs(2);
/// A client that does not take its answer holds its place for no longer than this.
const TAKING: Duration = Duration::from_secs(4);
/// One that has been idle for so long gives its buffers and parser back; a client in a conversation asks sooner.
const PARK: Duration = Duration::from_millis(300);
/// One that has said nothing for so long gives way where there is no room; a usual client asks at once.
const SILENCE: Duration = Duration::from_millis(30);
/// One that has been idle for so long is hardly missed.
const UNUSED: Duration = Duration::from_secs(2);
/// A request that is still on its way after so long gives way; usual ones come within a few packets.
const HALTING: Duration = Duration::from_millis(500);
/// Of those at the head of a phase that end anyway, so many are passed over in search of one that does not.
const PASSED_OVER: usize = 64;

/// What a connection is at.
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

    /// The word for it in figures.
    pub const fn word(self) -> &'static str {
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

    /// The word for it in figures.
    pub const fn word(self) -> &'static str {
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

/// What holds for the table.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// With so many used connections, an answered one gives way to clients that have none.
    pub crowd: usize,
    /// An idle connection is kept for so long.
    pub idle: Duration,
    /// Connections of one address, at most.
    pub per_address: Option<usize>,
    /// Open requests of each class, at most; classes past its end have no limit.
    pub per_class: Vec<Option<usize>>,
    /// Bytes that a connection in use is counted as.
    pub busy: usize,
    /// Bytes that one is counted as that holds nothing but its socket.
    pub parked: usize,
}

/// What a connection is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Nothing.
    Stay,
    /// Give up all but the socket.
    Park,
    /// Finish what is open, if the node has taken it, and close.
    Finish,
    /// Close at once: what is under way will not end in time.
    Drop,
}

/// What the table tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Connections in each phase, by its number.
    pub phases: [usize; Phase::ALL.len()],
    /// Accepted, and waiting for a place.
    pub waiting: usize,
    /// Closed since the start, by the cause's number.
    pub closed: [u64; Cause::ALL.len()],
    /// Connections not let in, and requests that the decision module is told to refuse, since the start, by the cause's number.
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
    way: Told,
}

#[derive(Debug, Default)]
struct Holder {
    count: usize,
    /// Its list among those of idle connections by address.
    idle: usize,
}

/// See the module's page. Times are since a start of the caller's choice.
#[derive(Debug)]
pub struct Door {
    terms: Terms,
    entries: Vec<Option<Entry>>,
    free: Vec<Id>,
    /// By phase, the one that entered it first at the head.
    phases: Lists,
    timers: Wheel,
    holders: HashMap<IpAddr, Holder>,
    idle_of: Lists,
    idle_free: Vec<usize>,
    open_of: Vec<usize>,
    fired: Vec<Id>,
    waiting: usize,
    /// One list: those that have something to say and no memory to be read with.
    starved: Lists,
    closed: [u64; Cause::ALL.len()],
    refused: [u64; Cause::ALL.len()],
}

impl Door {
    /// An empty table.
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
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

    /// What there is to tell.
    pub fn figures(&self) -> Figures {
        Figures {
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

    /// Those that are in.
    pub fn ids(&self) -> impl Iterator<Item = Id> + '_ {
        (0..).zip(&self.entries).filter(|(_, entry)| entry.is_some()).map(|(id, _)| id)
    }

    /// So many more connections wait for a place: answered ones close meanwhile.
    pub fn wait(&mut self) {
        self.waiting += 1;
    }

    /// One of them waits no longer.
    pub fn waited(&mut self) {
        self.waiting -= 1;
    }

    /// Whether an address may have one more connection. Where it has all it may, its own that has been idle for longest
    /// is to close: `Err` with that, which has to be woken, or with none where all of them are in use.
    pub fn admits(&mut self, address: IpAddr) -> Result<(), Option<Id>> {
        let most = self.terms.per_address.unwrap_or(usize::MAX);
        let Some(holder) = self.holders.get(&address).filter(|holder| holder.count >= most) else {
            return Ok(());
        };
        let oldest = self.staying(self.idle_of.iter(holder.idle));
        match oldest {
            Some(id) => self.end(id, Cause::Address),
            None => self.refused[Cause::Address as usize] += 1,
        }
        Err(oldest)
    }

    /// Lets a connection in.
    pub fn enter(&mut self, now: Duration, address: IpAddr, mut lease: Lease) -> Id {
        // The memory of one that holds only its socket is counted, and too little to be refused for.
        lease.hold(self.terms.parked);
        let address = self.terms.per_address.map(|_| address);
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
                (self.entries.len() - 1) as Id
            }
        };
        self.entries[id as usize] = Some(entry);
        self.phases.push(Phase::Silent as usize, id);
        self.timers.set(id, now + ASKING);
        id
    }

    /// A connection is over.
    pub fn leave(&mut self, id: Id) {
        let Some(entry) = self.entries.get_mut(id as usize).and_then(Option::take) else { return };
        self.closed[entry.ending.map_or(Cause::Client, |ending| ending.cause) as usize] += 1;
        self.phases.remove(id);
        self.timers.cancel(id);
        self.starved.remove(id);
        self.release(entry.class);
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

    /// What a connection is at.
    pub fn phase(&self, id: Id) -> Phase {
        self.phases.list(id).map_or(Phase::Silent, |phase| Phase::ALL[phase])
    }

    /// Bytes have come, and none of the memory to read them is held yet. Where there is none it asks again once some is
    /// given back, and is closed if none is in the time for a request: `Err` with the one that is to give up its own,
    /// if any can, and has to be woken.
    pub fn speaks(&mut self, now: Duration, id: Id) -> Result<(), Option<Id>> {
        let busy = self.terms.busy;
        let Some(entry) = self.entry_mut(id) else { return Ok(()) };
        if entry.lease.hold(busy) {
            self.starved.remove(id);
            return Ok(());
        }
        if self.phase(id).is_idle() {
            self.turn(now, id, Phase::Asking);
        }
        self.starved.push(0, id);
        let idle = self.phases.iter(Phase::Idle as usize).take(PASSED_OVER);
        let other =
            idle.filter(|other| *other != id).find(|other| self.entry(*other).is_some_and(|e| !e.parking));
        if let Some(entry) = other.and_then(|other| self.entry_mut(other)) {
            entry.parking = true;
        }
        Err(other)
    }

    /// So many bytes are held beside what a connection in use is counted as, until its answer. `false` where there are not
    /// that many.
    pub fn holds(&mut self, id: Id, bytes: usize) -> bool {
        let bytes = self.terms.busy.saturating_add(bytes);
        let held = self.entry_mut(id).is_none_or(|entry| entry.lease.hold(bytes));
        self.refused[Cause::Bytes as usize] += u64::from(!held);
        held
    }

    /// Bytes were read.
    pub fn heard(&mut self, now: Duration, id: Id) {
        match self.phase(id) {
            // The time of the first request runs from the connection's start.
            Phase::Silent => self.phases.push(Phase::Asking as usize, id),
            Phase::Idle | Phase::Parked => self.turn(now, id, Phase::Asking),
            Phase::Asking => {}
            Phase::Open | Phase::Answering => {
                if let Some(entry) = self.entry_mut(id) {
                    entry.ahead = true;
                }
            }
        }
    }

    /// A request's head has come; its body may follow.
    pub fn asked(&mut self, now: Duration, id: Id) {
        if let Some(entry) = self.entry_mut(id) {
            entry.ahead = false;
        }
        if !matches!(self.phase(id), Phase::Silent | Phase::Asking) {
            self.turn(now, id, Phase::Asking);
        }
    }

    /// A request of this class has come whole. Whether its class has more of them open than its share: that is for the
    /// decision module to know.
    pub fn opened(&mut self, now: Duration, id: Id, class: usize) -> bool {
        self.turn(now, id, Phase::Open);
        // Its time may have run out in the very turn in which the rest came: the node has the request now, and answers it.
        let ending = self.entry_mut(id).and_then(|entry| entry.ending.as_mut());
        if let Some(ending) = ending.filter(|ending| ending.way == Told::Drop) {
            ending.way = Told::Finish;
        }
        if self.open_of.len() <= class {
            self.open_of.resize(class + 1, 0);
        }
        self.open_of[class] += 1;
        if let Some(entry) = self.entry_mut(id) {
            entry.class = u16::try_from(class).ok();
        }
        let most = self.terms.per_class.get(class).copied().flatten();
        let over = most.is_some_and(|most| self.open_of[class] > most);
        self.refused[Cause::Class as usize] += u64::from(over);
        over
    }

    /// Its answer is at hand.
    pub fn answered(&mut self, now: Duration, id: Id) {
        let busy = self.terms.busy;
        let class = self.entry_mut(id).and_then(|entry| {
            entry.lease.hold(busy);
            entry.class.take()
        });
        self.release(class);
        self.turn(now, id, Phase::Answering);
    }

    /// All that was to be written is out.
    pub fn flushed(&mut self, now: Duration, id: Id) {
        if self.phase(id) == Phase::Answering {
            let starving = !self.starved.is_empty(0);
            let Some(entry) = self.entry_mut(id) else { return };
            let ahead = entry.ahead;
            // Others wait for what it holds.
            entry.parking = !ahead && starving;
            self.turn(now, id, if ahead { Phase::Asking } else { Phase::Idle });
        }
    }

    /// It has given up all but its socket.
    pub fn parked(&mut self, id: Id) {
        if self.phase(id).is_idle() {
            self.phases.push(Phase::Parked as usize, id);
        }
        let parked = self.terms.parked;
        if let Some(entry) = self.entry_mut(id) {
            entry.parking = false;
            entry.lease.hold(parked);
        }
    }

    /// Memory was given back: the one that has waited for it longest, which is to be woken and asks again.
    pub fn fed(&mut self) -> Option<Id> {
        let next = self.starved.first(0)?;
        // If it gets none the next turn is another's.
        self.starved.push(0, next);
        Some(next)
    }

    /// What a connection is to do now.
    pub fn told(&mut self, id: Id) -> Told {
        let phase = self.phase(id);
        let Some(entry) = self.entry_mut(id) else { return Told::Drop };
        match entry.ending {
            Some(ending) => ending.way,
            // The word may be old: another request may have come since.
            None if std::mem::take(&mut entry.parking) && phase == Phase::Idle => Told::Park,
            None => Told::Stay,
        }
    }

    /// Whether its descriptor may be held for a moment past its end, for a client that still reads: not where it was closed
    /// so that another one can have its place.
    pub fn may_linger(&self, id: Id) -> bool {
        let ending = self.entry(id).and_then(|entry| entry.ending.as_ref());
        ending.is_none_or(|ending| !matches!(ending.cause, Cause::Room | Cause::Address))
    }

    /// It closes for this cause: at once where it keeps the node waiting, else when what it has asked is answered. A
    /// request that crosses the word is read to its end.
    pub fn end(&mut self, id: Id, cause: Cause) {
        let halting = matches!(self.phase(id), Phase::Asking | Phase::Answering) && cause != Cause::Stop;
        self.close(id, cause, if halting { Told::Drop } else { Told::Finish });
    }

    fn close(&mut self, id: Id, cause: Cause, way: Told) {
        if let Some(entry) = self.entry_mut(id) {
            // The first cause is the cause; what is to close at once does so whatever was said before.
            let ending = entry.ending.get_or_insert(Ending { cause, way });
            if ending.way != Told::Drop {
                ending.way = way;
            }
        }
    }

    /// Whether a connection that is about to be answered closes with its answer, since others wait for a place or will
    /// soon. One that may be closed by the terms, since nobody has used it for long, goes in its place: it is to be woken.
    pub fn gives_way(&mut self, now: Duration, id: Id) -> (bool, Option<Id>) {
        let used = [Phase::Open, Phase::Answering, Phase::Idle, Phase::Parked];
        let used: usize = used.iter().map(|phase| self.phases.len(*phase as usize)).sum();
        if self.waiting == 0 && used < self.terms.crowd {
            return (false, None);
        }
        if self.waiting == 0 {
            if let Some(other) = self.oldest_idle(now, UNUSED) {
                self.end(other, Cause::Room);
                return (false, Some(other));
            }
        }
        if self.entry(id).is_some_and(|entry| entry.ending.is_none()) {
            // Its answer says so: nobody needs to be told.
            self.close(id, Cause::Crowd, Told::Stay);
        }
        (true, None)
    }

    /// Picks one to close in favour of one that waits, which has to be woken. A silent flood lives off itself first; but it
    /// must not wait for itself either, with usual clients behind it, while connections that nobody uses or half requests
    /// hold the other places.
    pub fn make_room(&mut self, now: Duration) -> Option<Id> {
        let found =
            self.unmissed(now).or_else(|| self.oldest(now, Phase::Asking, HALTING)).or_else(|| {
                self.oldest_idle(now, Duration::ZERO)
                    .filter(|_| self.oldest(now, Phase::Silent, Duration::ZERO).is_none())
            })?;
        self.end(found, Cause::Room);
        Some(found)
    }

    /// Picks one that the terms let close, in favour of another side: one that was not used for long, or never. It has to
    /// be woken.
    pub fn spare(&mut self, now: Duration) -> Option<Id> {
        let found = self.unmissed(now)?;
        self.end(found, Cause::Room);
        Some(found)
    }

    /// Ends connections whose time is up and parks idle ones, in no more than `work` steps: those to be woken are appended
    /// to `woken`. `false` where there is more to do now.
    pub fn advance(&mut self, now: Duration, work: usize, woken: &mut Vec<Id>) -> bool {
        let mut fired = std::mem::take(&mut self.fired);
        let done = self.timers.advance(now, work, &mut fired);
        for id in fired.drain(..) {
            let (phase, idle) = (self.phase(id), self.terms.idle);
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
            self.end(id, cause);
            woken.push(id);
        }
        self.fired = fired;
        done
    }

    fn entry(&self, id: Id) -> Option<&Entry> {
        self.entries.get(id as usize)?.as_ref()
    }

    fn entry_mut(&mut self, id: Id) -> Option<&mut Entry> {
        self.entries.get_mut(id as usize)?.as_mut()
    }

    fn release(&mut self, class: Option<u16>) {
        if let Some(open) = class.and_then(|class| self.open_of.get_mut(usize::from(class))) {
            *open -= 1;
        }
    }

    fn turn(&mut self, now: Duration, id: Id, phase: Phase) {
        let Some(entry) = self.entry_mut(id) else { return };
        entry.since = now;
        let address = entry.address;
        self.phases.push(phase as usize, id);
        match phase {
            Phase::Silent | Phase::Asking => self.timers.set(id, now + ASKING),
            Phase::Answering => self.timers.set(id, now + TAKING),
            Phase::Idle | Phase::Parked => self.timers.set(id, now + PARK.min(self.terms.idle)),
            Phase::Open => drop(self.timers.cancel(id)),
        }
        let Some(address) = address else { return };
        match self.holders.get(&address) {
            Some(holder) if phase.is_idle() => self.idle_of.push(holder.idle, id),
            _ => drop(self.idle_of.remove(id)),
        }
    }

    /// The first that does not end anyway.
    fn staying(&self, ids: impl Iterator<Item = Id>) -> Option<Id> {
        ids.take(PASSED_OVER).find(|id| self.entry(*id).is_some_and(|entry| entry.ending.is_none()))
    }

    /// One that the terms let close: never used, or not for long.
    fn unmissed(&self, now: Duration) -> Option<Id> {
        self.oldest(now, Phase::Silent, SILENCE).or_else(|| self.oldest_idle(now, UNUSED))
    }

    /// The one that has been in this phase for longest, if that is `age` or more, but for those that end anyway.
    fn oldest(&self, now: Duration, phase: Phase, age: Duration) -> Option<Id> {
        let found = self.staying(self.phases.iter(phase as usize))?;
        self.entry(found).filter(|entry| now.saturating_sub(entry.since) >= age).map(|_| found)
    }

    /// Those that are parked have been idle for longer than the others.
    fn oldest_idle(&self, now: Duration, age: Duration) -> Option<Id> {
        self.oldest(now, Phase::Parked, age).or_else(|| self.oldest(now, Phase::Idle, age))
    }
}
