//! The sockets behind the table of clients' connections: its directives are carried out here.

use bytes::{Buf, Bytes, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use slatelink_front::{
    Budget, Cause, ConnectionId, ConnectionLimits, ConnectionStats, ConnectionTable, Directive, Lease, Phase,
    Short, Side,
};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::net::{IpAddr, Shutdown};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{interval, sleep_until, timeout, Instant};

const SWEEP: Duration = Duration::from_millis(50);
/// Connections that are told of at once: others' work goes on between two such parts.
const PART: usize = 256;
/// A wait for a place looks again after this: a place may come from elsewhere than this table.
const ROOM_PAUSE: Duration = Duration::from_millis(10);
/// One that was asked to give way is waited for so many looks before another one is asked.
const LOOKS: u32 = 10;
/// Bytes read from a socket at once.
const READ: usize = 8 << 10;
/// What a client sends while its request is open is read up to so many bytes, in search of its end behind them. A client
/// that sends more then gets its answer and no further one: the rest is read and dropped.
pub const AHEAD: usize = 8 << 10;
/// Parts read in search of that before other connections have their turn.
const PARTS: usize = 8;
/// For so long after its last write to a client a connection stays open unless that closes it: closed over bytes that
/// nobody has read, it would be reset, and take with it what the client has not read yet.
const LINGER: Duration = Duration::from_secs(1);

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

/// A client's socket, read by whoever holds it.
struct Socket {
    stream: TcpStream,
    /// Read, and not used yet.
    ahead: RefCell<BytesMut>,
    /// The client sends no more: it has gone.
    ended: Cell<bool>,
    /// It has sent more than is kept: what follows is not read as requests.
    overrun: Cell<bool>,
    /// When something was written last.
    wrote: Cell<Option<Instant>>,
    /// The client was told that nothing more comes.
    shut: Cell<bool>,
}

impl Socket {
    fn new(stream: TcpStream) -> Self {
        let (ended, overrun, shut) = (Cell::default(), Cell::default(), Cell::default());
        Self { stream, ahead: RefCell::default(), ended, overrun, wrote: Cell::default(), shut }
    }

    /// What there is to be read, without a wait. Unlike a runtime's read this goes on until the socket is empty, so that
    /// an end which came together with the last bytes is seen without another event.
    fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let read = self.stream.try_read(buffer);
        match &read {
            Ok(0) => self.ended.set(true),
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => self.ended.set(true),
            _ => {}
        }
        read
    }

    fn poll_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                wrote => {
                    self.wrote.set(Some(Instant::now()));
                    return Poll::Ready(wrote);
                }
            }
        }
    }

    /// Reads ahead what there is. Whether bytes may be left.
    fn read_ahead(&self) -> bool {
        let mut part = [0; READ];
        for _ in 0..PARTS {
            match self.try_read(&mut part) {
                Ok(n) if n > 0 => {
                    let mut ahead = self.ahead.borrow_mut();
                    if self.overrun.get() || ahead.len() + n > AHEAD {
                        self.overrun.set(true);
                    } else {
                        ahead.extend_from_slice(&part[..n]);
                    }
                }
                _ => return false,
            }
        }
        true
    }
}

/// A connection's place in the table.
pub struct Place {
    table: Rc<Table>,
    id: ConnectionId,
    socket: Socket,
}

impl Place {
    /// What is polled with this context is woken where the table has something to tell it.
    fn follow(&self, cx: &Context<'_>) {
        if let Some(waker) = self.table.wakers.borrow_mut().get_mut(self.id as usize) {
            // A task's waker stays the same for as long as it runs.
            waker.get_or_insert_with(|| cx.waker().clone());
        }
    }

    fn directive(&self) -> Directive {
        self.table.connections.borrow_mut().directive(self.id)
    }

    /// Whether the connection closes with the response that it is about to write.
    pub fn closes_with_response(&self) -> bool {
        let (closes, other) =
            self.table.connections.borrow_mut().closes_with_response(self.table.now(), self.id);
        self.table.wake_one(other);
        closes
    }

    /// A request's head has come; its body may follow.
    pub fn on_request_head(&self) {
        self.table.connections.borrow_mut().on_request_head(self.table.now(), self.id);
    }

    /// A request of this class has come whole. Whether its class has more of them open than its share.
    pub fn on_request(&self, class: usize) -> bool {
        self.table.connections.borrow_mut().on_request(self.table.now(), self.id, class)
    }

    /// So many more bytes are held for its request, until the answer. `false` where there is no memory for them.
    pub fn reserve_request_bytes(&self, bytes: usize) -> bool {
        self.table.connections.borrow_mut().reserve_request_bytes(self.id, bytes)
    }

    /// Its answer is at hand.
    pub fn on_response(&self) {
        self.table.connections.borrow_mut().on_response(self.table.now(), self.id);
    }

    /// The connection gives up all but its socket; `before` was read from that and not used.
    pub fn park(&self, before: &Bytes) {
        self.table.connections.borrow_mut().on_parked(self.id);
        self.table.wake_starved();
        let mut ahead = self.socket.ahead.borrow_mut();
        let behind = ahead.split();
        // A buffer of its own size: as it comes each would keep all of what it was read into.
        *ahead = BytesMut::with_capacity(before.len() + behind.len());
        ahead.extend_from_slice(before);
        ahead.extend_from_slice(&behind);
    }

    /// Whether what the client sends is not read as requests any more, since it sent too much at once.
    pub fn overrun(&self) -> bool {
        self.socket.overrun.get()
    }

    /// Whether the client has gone, also where its end stands behind bytes that nobody has asked for.
    pub fn client_has_left(&self) -> bool {
        self.socket.read_ahead();
        self.socket.ended.get()
    }

    /// The same, polled again whenever there is more to look at.
    fn poll_client_has_left(&self, cx: &mut Context<'_>) -> bool {
        while !self.socket.ended.get() {
            match self.socket.stream.poll_read_ready(cx) {
                Poll::Pending => return false,
                Poll::Ready(Err(_)) => self.socket.ended.set(true),
                Poll::Ready(Ok(())) if self.socket.read_ahead() => {
                    cx.waker().wake_by_ref();
                    return self.socket.ended.get();
                }
                Poll::Ready(Ok(())) => {}
            }
        }
        true
    }

    fn is_at(&self, phase: Phase) -> bool {
        self.table.connections.borrow().phase(self.id) == phase
    }

    /// Keeps a connection that was shut for as long as its client may still be reading, and reads nothing from it: what
    /// crossed the end is its client's to send again, elsewhere.
    pub async fn linger(&self) {
        let Some(wrote) = self.socket.wrote.get().filter(|_| self.socket.shut.get()) else { return };
        if self.socket.ended.get() || !self.table.connections.borrow().may_linger(self.id) {
            return;
        }
        let until = wrote + LINGER;
        let mut seen = [0];
        tokio::select! {
            // Closed by the client, unless there are bytes: nothing tells what stands behind those.
            seen = self.socket.stream.peek(&mut seen) => if matches!(seen, Ok(n) if n > 0) {
                sleep_until(until).await;
            },
            () = sleep_until(until) => {}
        }
    }

    /// Waits until a connection that holds nothing but its socket speaks, and there is memory to read it. `false` where
    /// the node ends it first, or it is broken.
    pub fn poll_spoken(&self, cx: &mut Context<'_>) -> Poll<bool> {
        self.follow(cx);
        // What has come by then is taken: it goes before the end.
        let spoken = match self.socket.ahead.borrow().is_empty() {
            true => self.socket.stream.poll_read_ready(cx),
            false => Poll::Ready(Ok(())),
        };
        let directive = self.directive();
        if matches!(spoken, Poll::Ready(Err(_))) || directive == Directive::Abort {
            return Poll::Ready(false);
        }
        if spoken.is_ready() {
            let reserved = self.table.connections.borrow_mut().on_readable(self.table.now(), self.id);
            let Err(other) = reserved else { return Poll::Ready(true) };
            self.table.wake_one(other);
            return Poll::Pending;
        }
        match directive {
            Directive::Finish => Poll::Ready(false),
            _ => Poll::Pending,
        }
    }

    /// Drives a connection to its end, or until it is to be parked: what was taken is finished when the node closes; a
    /// connection whose time is up is dropped, but for an idle one, which may be met by a request just then.
    pub async fn drive<C>(&self, serving: &mut C, close: impl Fn(Pin<&mut C>)) -> Driven
    where
        C: Future + Unpin,
    {
        let mut closed = false;
        poll_fn(|cx| {
            self.follow(cx);
            loop {
                // An error here is a client that left or spoke no HTTP: hyper has answered what can be.
                if Pin::new(&mut *serving).poll(cx).is_ready() {
                    return Poll::Ready(Driven::Over);
                }
                // hyper looks for the client's end only while it has read nothing more of it.
                if self.is_at(Phase::Open) && self.poll_client_has_left(cx) {
                    return Poll::Ready(Driven::Over);
                }
                match self.directive() {
                    Directive::Abort => return Poll::Ready(Driven::Over),
                    Directive::Park => return Poll::Ready(Driven::Park),
                    // Closed now, hyper would drop the half of a request that it has: its answer closes the connection.
                    Directive::Finish if !closed && !self.is_at(Phase::Asking) => {
                        closed = true;
                        close(Pin::new(serving));
                    }
                    Directive::Finish | Directive::Continue => return Poll::Pending,
                }
            }
        })
        .await
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(self.id);
        if let Some(waker) = self.table.wakers.borrow_mut().get_mut(self.id as usize) {
            *waker = None;
        }
        self.table.wake_starved();
        self.table.freed.notify_one();
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

/// The socket of a connection, which reports to the table what is read and written on it.
pub struct ReportingSocket(pub Rc<Place>);

impl Read for ReportingSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Place { table, id, socket } = &*self.0;
        let note_read = || table.connections.borrow_mut().on_bytes_read(table.now(), *id);
        let mut ahead = socket.ahead.borrow_mut();
        if !ahead.is_empty() {
            let part = ahead.len().min(buf.remaining());
            buf.put_slice(&ahead[..part]);
            ahead.advance(part);
            note_read();
            return Poll::Ready(Ok(()));
        }
        // What would follow was dropped in part.
        if socket.overrun.get() {
            return Poll::Ready(Ok(()));
        }
        // A cursor does not tell what was read into it: the bytes pass through a buffer that does.
        let mut bytes = [0; READ];
        let room = buf.remaining().min(READ);
        loop {
            ready!(socket.stream.poll_read_ready(cx))?;
            match socket.try_read(&mut bytes[..room]) {
                Ok(read) => {
                    buf.put_slice(&bytes[..read]);
                    if read > 0 {
                        note_read();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Write for ReportingSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let socket = &self.0.socket;
        socket.poll_write(cx, || socket.stream.try_write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket, which itself holds nothing back, only once all of an answer is written.
        let Place { table, id, .. } = &*self.0;
        table.connections.borrow_mut().on_flushed(table.now(), *id);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Socket { stream, shut, .. } = &self.0.socket;
        shut.set(true);
        Poll::Ready(SockRef::from(stream).shutdown(Shutdown::Write))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0.socket;
        socket.poll_write(cx, || socket.stream.try_write_vectored(bufs))
    }
}
