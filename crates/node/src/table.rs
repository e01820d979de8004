//! The table of clients' connections: what each is at, how long it may be, and which one gives way when no
//! place is left.

use crate::server::Stage;
use bytes::Bytes;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify, OwnedSemaphorePermit};
use tokio::time::{interval, Instant};

/// From its first byte, or from the connection's start for the first one, a request has come whole by then. A
/// client is owed an error or a close within 3 s, whatever it sends or leaves out.
const ASKING: Duration = Duration::from_secs(2);
/// A client that does not take its answer holds its place for no longer than this.
const TAKING: Duration = Duration::from_secs(4);
/// An idle connection is kept for so long: many clients ask once and never close.
const IDLE: Duration = Duration::from_secs(10);
/// One that has been idle for so long gives its buffers and parser back; a client in a conversation asks sooner.
const PARK: Duration = Duration::from_millis(300);
/// One that has said nothing for so long gives way where there is no room; a usual client asks at once.
const SILENCE: Duration = Duration::from_millis(30);
/// One that has been idle for so long is hardly missed.
const UNUSED: Duration = Duration::from_secs(2);
/// A request that is still on its way after so long gives way; usual ones come within a few packets.
const HALTING: Duration = Duration::from_millis(500);
const SWEEP: Duration = Duration::from_millis(100);
/// Bytes read from a socket at once.
const READ: usize = 8 << 10;

/// Clients use at most this part of the node's descriptors for their requests: connections that stand idle in it
/// keep every other client from opening one, although the node has places left.
const CLIENTS_PART: usize = 3;
/// Of the places that clients can use, this part is kept free for those that have no connection yet.
const FREE_PART: usize = 5;

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
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
    const COUNT: usize = 6;

    fn limit(self) -> Option<Duration> {
        match self {
            Self::Silent | Self::Asking => Some(ASKING),
            Self::Open => None,
            Self::Answering => Some(TAKING),
            Self::Idle | Self::Parked => Some(IDLE),
        }
    }
}

#[derive(Debug)]
struct State {
    number: u64,
    order: Rc<Order>,
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Bytes came before the answer to the last request was out: the next request has begun.
    ahead: Cell<bool>,
    /// It was told to end.
    leaving: Cell<bool>,
    close: Notify,
    park: Notify,
}

impl State {
    fn enter(&self, phase: Phase) {
        self.turn(phase, Instant::now());
    }

    fn turn(&self, phase: Phase, since: Instant) {
        self.order.of(self.phase.get()).remove(&(self.since.get(), self.number));
        self.phase.set(phase);
        self.since.set(since);
        self.order.of(phase).insert((since, self.number));
    }

    fn end(&self) {
        self.leaving.set(true);
        self.close.notify_one();
    }
}

/// The connections of each phase, by when they entered it: what is asked at each answer, how many there are and
/// which is the oldest, is known without a walk over all of them.
#[derive(Debug, Default)]
struct Order([RefCell<BTreeSet<(Instant, u64)>>; Phase::COUNT]);

impl Order {
    fn of(&self, phase: Phase) -> std::cell::RefMut<'_, BTreeSet<(Instant, u64)>> {
        self.0[phase as usize].borrow_mut()
    }
}

/// All connections of clients.
#[derive(Debug)]
pub struct Table {
    next: Cell<u64>,
    /// No place is left: others may wait unaccepted.
    pub full: Cell<bool>,
    /// With so many used connections, an answered one gives way to clients that have none.
    crowd: usize,
    order: Rc<Order>,
    states: RefCell<BTreeMap<u64, Rc<State>>>,
}

impl Table {
    /// A table of `places` on a node that may hold `descriptors`.
    pub fn new(places: usize, descriptors: usize) -> Self {
        let usable = places.min(descriptors / CLIENTS_PART);
        Self {
            next: Cell::default(),
            full: Cell::default(),
            crowd: (usable - usable / FREE_PART).max(1),
            order: Rc::default(),
            states: RefCell::default(),
        }
    }

    /// The one that has been in this phase for longest, if that is `age` or more, but for those that end anyway.
    fn oldest(&self, phase: Phase, age: Duration) -> Option<Rc<State>> {
        let states = self.states.borrow();
        let order = self.order.of(phase);
        let staying = |&&(_, number): &&(Instant, u64)| states.get(&number).is_some_and(|s| !s.leaving.get());
        let (since, number) = order.iter().find(staying)?;
        states.get(number).filter(|_| since.elapsed() >= age).cloned()
    }

    /// The one that has been idle for longest, if that is `age` or more. Those that are parked have been so for longer
    /// than the others.
    fn oldest_idle(&self, age: Duration) -> Option<Rc<State>> {
        self.oldest(Phase::Parked, age).or_else(|| self.oldest(Phase::Idle, age))
    }

    /// Asks one to close in favour of one that waits unaccepted. `false` where none can yet. A silent flood lives
    /// off itself first; but it must not wait for itself either, with usual clients behind it, while connections
    /// that nobody uses or half requests hold the other places.
    pub fn make_room(&self) -> bool {
        let found = self
            .oldest(Phase::Silent, SILENCE)
            .or_else(|| self.oldest_idle(UNUSED))
            .or_else(|| self.oldest(Phase::Asking, HALTING))
            .or_else(|| {
                self.oldest_idle(Duration::ZERO)
                    .filter(|_| self.oldest(Phase::Silent, Duration::ZERO).is_none())
            });
        found.inspect(|state| state.end()).is_some()
    }

    /// Whether so many connections are used that one which is being answered must give way. One that may be
    /// closed by the terms, since nobody has used it for long, goes in its place.
    fn crowded(&self) -> bool {
        let used = [Phase::Open, Phase::Answering, Phase::Idle, Phase::Parked]
            .map(|phase| self.order.of(phase).len());
        used.iter().sum::<usize>() >= self.crowd
            && self.oldest_idle(UNUSED).inspect(|state| state.end()).is_none()
    }

    /// Ends connections whose time is up, for as long as the node runs.
    pub async fn sweep(self: Rc<Self>) {
        let mut turns = interval(SWEEP);
        loop {
            turns.tick().await;
            let states = self.states.borrow();
            for phase in [Phase::Silent, Phase::Asking, Phase::Answering, Phase::Idle, Phase::Parked] {
                let Some(limit) = phase.limit() else { continue };
                let order = self.order.of(phase);
                let over = order.iter().take_while(|(since, _)| since.elapsed() > limit);
                over.filter_map(|(_, number)| states.get(number)).for_each(|state| state.end());
            }
            let order = self.order.of(Phase::Idle);
            let long = order.iter().take_while(|(since, _)| since.elapsed() > PARK);
            long.filter_map(|(_, number)| states.get(number)).for_each(|state| state.park.notify_one());
        }
    }
}

/// A connection's place in the table.
#[derive(Debug)]
pub struct Place {
    table: Rc<Table>,
    number: u64,
    state: Rc<State>,
    _slot: OwnedSemaphorePermit,
}

impl Place {
    pub fn new(table: Rc<Table>, slot: OwnedSemaphorePermit) -> Self {
        let number = table.next.replace(table.next.get() + 1);
        let since = Instant::now();
        let order = table.order.clone();
        order.of(Phase::Silent).insert((since, number));
        let state = Rc::new(State {
            number,
            order,
            phase: Cell::new(Phase::Silent),
            since: Cell::new(since),
            ahead: Cell::default(),
            leaving: Cell::default(),
            close: Notify::new(),
            park: Notify::new(),
        });
        table.states.borrow_mut().insert(number, state.clone());
        Self { table, number, state, _slot: slot }
    }

    /// Whether others may wait for this one, which is about to be answered.
    pub fn wanted(&self) -> bool {
        self.table.full.get() || self.table.crowded()
    }

    /// A request's head has come; its body may follow.
    pub fn asked(&self) {
        self.state.ahead.set(false);
        if !matches!(self.state.phase.get(), Phase::Silent | Phase::Asking) {
            self.state.enter(Phase::Asking);
        }
    }

    /// A request has come whole.
    pub fn opened(&self) {
        self.state.enter(Phase::Open);
    }

    /// Its answer is at hand.
    pub fn answered(&self) {
        self.state.enter(Phase::Answering);
    }

    /// The socket, which tells the table what passes on it.
    pub fn watch(&self, stream: TcpStream) -> Heard {
        Heard { stream, state: self.state.clone(), before: Bytes::new() }
    }

    /// The connection gives up all but its socket; `before` was read from that and not used.
    pub fn park(&self, heard: Heard, before: Bytes) -> Heard {
        self.state.turn(Phase::Parked, self.state.since.get());
        // As it comes it would keep all of the buffer that it was read into.
        Heard { before: Bytes::copy_from_slice(&before), ..heard }
    }

    /// Waits until a parked connection's client speaks or leaves. `false` where the node ends it first.
    pub async fn parked(&self, heard: &Heard, mut stage: watch::Receiver<Stage>) -> bool {
        if !heard.before.is_empty() {
            return true;
        }
        tokio::select! {
            // What has come by then is taken: it goes before the end.
            biased;
            ready = heard.stream.readable() => ready.is_ok(),
            _ = stage.wait_for(|stage| *stage == Stage::Closing) => false,
            () = self.state.close.notified() => false,
        }
    }

    /// Drives a connection to its end, or until it is to be parked: what was taken is finished when the node closes; a
    /// connection whose time is up is dropped, but for an idle one, which may be met by a request just then.
    pub async fn drive<C>(
        &self,
        serving: &mut C,
        close: impl Fn(Pin<&mut C>),
        mut stage: watch::Receiver<Stage>,
    ) -> Driven
    where
        C: Future + Unpin,
    {
        let mut closing = pin!(stage.wait_for(|stage| *stage == Stage::Closing));
        let mut closed = false;
        loop {
            tokio::select! {
                biased;
                // An error here is a client that left or spoke no HTTP: hyper has answered what can be.
                _ = &mut *serving => return Driven::Over,
                _ = &mut closing, if !closed => {
                    closed = true;
                    close(Pin::new(serving));
                }
                () = self.state.close.notified() => match self.state.phase.get() {
                    Phase::Asking | Phase::Answering => return Driven::Over,
                    _ => {
                        closed = true;
                        close(Pin::new(serving));
                    }
                },
                // The word may be old: another request may have come since.
                () = self.state.park.notified(), if !closed => {
                    if self.state.phase.get() == Phase::Idle {
                        return Driven::Park;
                    }
                }
            }
        }
    }
}

/// What a connection came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Driven {
    /// It has ended, or is to be dropped.
    Over,
    /// It has been idle for a while.
    Park,
}

impl Drop for Place {
    fn drop(&mut self) {
        let state = &self.state;
        state.order.of(state.phase.get()).remove(&(state.since.get(), self.number));
        self.table.states.borrow_mut().remove(&self.number);
    }
}

/// A client's socket under its place's eyes.
pub struct Heard {
    stream: TcpStream,
    state: Rc<State>,
    /// Read before it was parked, and not used then.
    before: Bytes,
}

impl Read for Heard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.before.is_empty() {
            let part = self.before.len().min(buf.remaining());
            buf.put_slice(&self.before.split_to(part));
            return Poll::Ready(Ok(()));
        }
        // A cursor does not tell what was read into it: the bytes pass through a buffer that does.
        let mut bytes = [0; READ];
        let room = buf.remaining().min(READ);
        let mut read = ReadBuf::new(&mut bytes[..room]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        buf.put_slice(read.filled());
        if !read.filled().is_empty() {
            match self.state.phase.get() {
                // The time of the first request runs from the connection's start.
                Phase::Silent => self.state.turn(Phase::Asking, self.state.since.get()),
                Phase::Idle | Phase::Parked => self.state.enter(Phase::Asking),
                Phase::Asking => {}
                Phase::Open | Phase::Answering => self.state.ahead.set(true),
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl Write for Heard {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        // hyper flushes the socket only once all of an answer is written.
        if self.state.phase.get() == Phase::Answering && matches!(flushed, Poll::Ready(Ok(()))) {
            self.state.enter(if self.state.ahead.get() { Phase::Asking } else { Phase::Idle });
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
