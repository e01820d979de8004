//! The stand-in for discovery: one service on a thread of its own that handles calls in turn, each at a stated cost.
//!
//! A call has its turn when it comes, with the entries that answer it at once; a watch that waits holds up nobody, and has
//! another turn for its news. A call that would wait for its turn for more than 2 s is answered 503.

use crate::http::{listen, reset, Conn};
use crate::list_protocol::{ListCall, NOT_FOUND, REFUSED};
use crate::scale::counts::ControlCounts;
use crate::scale::directory::{Answer, Directory, EndpointChange};
use crate::scale::options::Options;
use crate::scale::processes::{monotonic_us, thread_processor_time};
use crate::scale::queue::{Admission, CallQueue, Costs};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::runtime;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep_until, timeout, Instant};

/// Who calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// A real node, of this number.
    RealNode(usize),
    /// Some of the simulated nodes.
    SimulatedNodes,
    /// A relay.
    Relay,
}

/// Who calls at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Who it is.
    pub caller: Caller,
    /// Which of a node's two addresses it is.
    pub address: usize,
    /// Whether a split cuts it off.
    pub beyond_partition: bool,
}

/// A real node has asked for what is newer than a version: it has that one in force.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledged {
    /// Which node.
    pub node: usize,
    /// At which of its addresses.
    pub address: usize,
    /// The version it has.
    pub after: u64,
    /// When the call came, on the machine's monotonic clock.
    pub at_us: u64,
}

/// The list has changed.
#[derive(Clone, Copy, Debug)]
pub struct Changed {
    /// The version that has the changes.
    pub version: u64,
    /// When, on the machine's monotonic clock.
    pub at_us: u64,
}

/// What the stand-in counted and used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceFigures {
    /// Control with real nodes.
    pub real: ControlCounts,
    /// Control with simulated nodes.
    pub simulated: ControlCounts,
    /// Control with relays.
    pub relays: ControlCounts,
    /// Processor time of its thread.
    pub processor: Duration,
    /// Time of its turns, by the stated costs.
    pub busy: Duration,
    /// Connections that are open.
    pub open: usize,
    /// The most that ever were.
    pub most_open: usize,
}

impl ServiceFigures {
    /// Control with all callers.
    pub fn control(&self) -> ControlCounts {
        self.real + self.simulated + self.relays
    }
}

enum Order {
    Change(Vec<EndpointChange>, oneshot::Sender<Changed>),
    Down(bool),
    Partition(bool),
    Count(oneshot::Sender<ServiceFigures>),
}

/// The thread has ended before the run.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("discovery's thread has ended")]
pub struct ServiceEnded;

/// The running stand-in. It ends when this is dropped.
pub struct Service {
    orders: UnboundedSender<Order>,
    /// Watches that wait for news.
    waiting: watch::Receiver<usize>,
    /// Where it listens, for each peer in the order given.
    pub addresses: Vec<SocketAddr>,
    _thread: JoinHandle<()>,
}

impl Service {
    /// Starts it, with an address for each of these peers, and waits until it listens.
    pub async fn start(
        options: &Options,
        dial: SocketAddr,
        peers: Vec<Peer>,
        acknowledged: UnboundedSender<Acknowledged>,
    ) -> io::Result<Self> {
        let one = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (orders, inbox) = unbounded_channel();
        let (listens, addresses) = oneshot::channel();
        let (waits, waiting) = watch::channel(0);
        let costs = Costs {
            call: Duration::from_micros(options.call_cost_us),
            entry: Duration::from_micros(options.entry_cost_us),
        };
        let directory = Directory::new(options, dial);
        let thread = thread::Builder::new()
            .name("discovery".to_owned())
            .spawn(move || {
                LocalSet::new().block_on(&one, async {
                    let stand_in = Rc::new(StandIn::new(directory, costs, waits, acknowledged));
                    let addresses = stand_in.clone().listen(&peers).await;
                    // The other end goes only with the run.
                    let _ = listens.send(addresses);
                    stand_in.follow(inbox).await;
                });
            })?;
        let addresses = addresses.await.map_err(io::Error::other)??;
        Ok(Self {
            orders,
            waiting,
            addresses,
            _thread: thread,
        })
    }

    /// Changes entries, all in one version.
    pub async fn change(&self, changes: Vec<EndpointChange>) -> Result<Changed, ServiceEnded> {
        let (made, changed) = oneshot::channel();
        self.orders
            .send(Order::Change(changes, made))
            .map_err(|_| ServiceEnded)?;
        changed.await.map_err(|_| ServiceEnded)
    }

    /// Goes away, with connections reset, or comes back.
    pub fn set_down(&self, down: bool) -> Result<(), ServiceEnded> {
        self.orders
            .send(Order::Down(down))
            .map_err(|_| ServiceEnded)
    }

    /// Falls silent for far peers; when that ends, the connections of that time are reset.
    pub fn set_partitioned(&self, partitioned: bool) -> Result<(), ServiceEnded> {
        self.orders
            .send(Order::Partition(partitioned))
            .map_err(|_| ServiceEnded)
    }

    /// What it counted so far.
    pub async fn figures(&self) -> Result<ServiceFigures, ServiceEnded> {
        let (count, counted) = oneshot::channel();
        self.orders
            .send(Order::Count(count))
            .map_err(|_| ServiceEnded)?;
        counted.await.map_err(|_| ServiceEnded)
    }

    /// Watches that wait for news.
    pub fn waiting(&self) -> usize {
        *self.waiting.borrow()
    }
}

struct StandIn {
    directory: RefCell<Directory>,
    queue: RefCell<CallQueue>,
    origin: Instant,
    /// The list's version.
    version: watch::Sender<u64>,
    down: watch::Sender<bool>,
    partitioned: watch::Sender<bool>,
    waiting: watch::Sender<usize>,
    acknowledged: UnboundedSender<Acknowledged>,
    real: Cell<ControlCounts>,
    simulated: Cell<ControlCounts>,
    relays: Cell<ControlCounts>,
    open: Cell<usize>,
    most_open: Cell<usize>,
}

/// Counts one more for as long as it lives.
struct Waiting<'a>(&'a watch::Sender<usize>);

impl<'a> Waiting<'a> {
    fn begin(count: &'a watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

impl StandIn {
    fn new(
        directory: Directory,
        costs: Costs,
        waiting: watch::Sender<usize>,
        acknowledged: UnboundedSender<Acknowledged>,
    ) -> Self {
        Self {
            version: watch::Sender::new(directory.version()),
            directory: RefCell::new(directory),
            queue: RefCell::new(CallQueue::new(costs)),
            origin: Instant::now(),
            down: watch::Sender::new(false),
            partitioned: watch::Sender::new(false),
            waiting,
            acknowledged,
            real: Cell::default(),
            simulated: Cell::default(),
            relays: Cell::default(),
            open: Cell::default(),
            most_open: Cell::default(),
        }
    }

    async fn listen(self: Rc<Self>, peers: &[Peer]) -> io::Result<Vec<SocketAddr>> {
        let mut addresses = Vec::with_capacity(peers.len());
        for &peer in peers {
            let stand_in = self.clone();
            let address = listen(move |stream| stand_in.clone().accept(peer, stream)).await?;
            addresses.push(address);
        }
        Ok(addresses)
    }

    async fn follow(&self, mut orders: UnboundedReceiver<Order>) {
        while let Some(order) = orders.recv().await {
            match order {
                Order::Change(changes, made) => {
                    let version = self.directory.borrow_mut().apply(&changes);
                    let at_us = monotonic_us();
                    self.version.send_replace(version);
                    let _ = made.send(Changed { version, at_us });
                }
                Order::Down(down) => {
                    self.down.send_replace(down);
                }
                Order::Partition(partitioned) => {
                    self.partitioned.send_replace(partitioned);
                }
                Order::Count(counted) => {
                    let _ = counted.send(self.figures());
                }
            }
        }
    }

    fn figures(&self) -> ServiceFigures {
        ServiceFigures {
            real: self.real.get(),
            simulated: self.simulated.get(),
            relays: self.relays.get(),
            processor: thread_processor_time(),
            busy: self.queue.borrow().busy(),
            open: self.open.get(),
            most_open: self.most_open.get(),
        }
    }

    fn count(&self, peer: Peer, with: impl FnOnce(&mut ControlCounts)) {
        let group = match peer.caller {
            Caller::RealNode(_) => &self.real,
            Caller::SimulatedNodes => &self.simulated,
            Caller::Relay => &self.relays,
        };
        let mut counts = group.get();
        with(&mut counts);
        group.set(counts);
    }

    fn accept(self: Rc<Self>, peer: Peer, stream: TcpStream) {
        if *self.down.borrow() {
            self.count(peer, |counts| counts.resets += 1);
            reset(stream);
        } else if let Ok(conn) = Conn::new(stream) {
            self.count(peer, |counts| counts.connections += 1);
            spawn_local(self.connection(peer, conn));
        }
    }

    /// Serves a connection until its peer, a cut or the end of discovery ends it.
    async fn connection(self: Rc<Self>, peer: Peer, mut conn: Conn) {
        self.open.set(self.open.get() + 1);
        self.most_open
            .set(self.most_open.get().max(self.open.get()));
        let (mut down, mut partitioned) = (self.down.subscribe(), self.partitioned.subscribe());
        let is_partitioned = tokio::select! {
            biased;
            _ = down.wait_for(|down| *down) => false,
            _ = partitioned.wait_for(|partitioned| *partitioned && peer.beyond_partition) => true,
            ended = self.calls(peer, &mut conn) => {
                // How a connection ends is its peer's affair.
                let _ = ended;
                self.open.set(self.open.get() - 1);
                return;
            }
        };
        if is_partitioned {
            // Nothing is said and nothing answered until it is over, or the peer has given it up.
            tokio::select! {
                _ = partitioned.wait_for(|partitioned| !*partitioned) => {}
                () = conn.drain() => {}
            }
        }
        self.open.set(self.open.get() - 1);
        self.count(peer, |counts| counts.resets += 1);
        conn.reset();
    }

    async fn calls(&self, peer: Peer, conn: &mut Conn) -> io::Result<()> {
        loop {
            let Ok(asked) = conn.request().await else {
                return Ok(());
            };
            let Some(call) = ListCall::parse(&asked.path) else {
                conn.write(NOT_FOUND).await?;
                continue;
            };
            self.called(peer, call, asked.bytes);
            if !self.turn(call).await? {
                conn.write(REFUSED).await?;
                self.refused(peer);
                continue;
            }
            if self.waits(call) {
                self.wait_for_news(call).await?;
            }
            // What came meanwhile is in it.
            let answer = self.directory.borrow_mut().answer(call.after)?;
            conn.write(&answer.message).await?;
            self.answered(peer, &answer);
        }
    }

    /// Whether a call is a watch without news yet.
    fn waits(&self, call: ListCall) -> bool {
        call.wait.is_some() && call.after == Some(*self.version.borrow())
    }

    /// A call's turn; whether it got one.
    async fn turn(&self, call: ListCall) -> io::Result<bool> {
        let entries = match self.waits(call) {
            true => 0,
            false => self.directory.borrow_mut().answer(call.after)?.entries,
        };
        let turn = self
            .queue
            .borrow_mut()
            .enqueue_call(self.origin.elapsed(), entries);
        let (Admission::Served(at) | Admission::Refused(at)) = turn;
        sleep_until(self.origin + at).await;
        Ok(matches!(turn, Admission::Served(_)))
    }

    /// Waits until there is news for a watch and it has its turn, or the watch's time is over.
    async fn wait_for_news(&self, call: ListCall) -> io::Result<()> {
        let (Some(after), Some(wait)) = (call.after, call.wait) else {
            return Ok(());
        };
        let mut version = self.version.subscribe();
        let _waiting = Waiting::begin(&self.waiting);
        // Without news by then, the answer says so.
        let _ = timeout(wait, version.wait_for(|version| *version > after)).await;
        let entries = self.directory.borrow_mut().answer(call.after)?.entries;
        let at = self
            .queue
            .borrow_mut()
            .enqueue_watch_answer(self.origin.elapsed(), entries);
        sleep_until(self.origin + at).await;
        Ok(())
    }

    /// Counts a call that has come.
    fn called(&self, peer: Peer, call: ListCall, bytes: usize) {
        self.count(peer, |counts| {
            match call.after {
                Some(_) => counts.watch_calls += 1,
                None => counts.whole_calls += 1,
            }
            counts.call_bytes += bytes as u64;
        });
        if let (Caller::RealNode(node), Some(after)) = (peer.caller, call.after) {
            let acknowledged = Acknowledged {
                node,
                address: peer.address,
                after,
                at_us: monotonic_us(),
            };
            // The run may be over.
            let _ = self.acknowledged.send(acknowledged);
        }
    }

    /// Counts a call that is turned away.
    fn refused(&self, peer: Peer) {
        self.count(peer, |counts| {
            counts.refused += 1;
            counts.answer_bytes += REFUSED.len() as u64;
        });
    }

    /// Counts an answer that is written.
    fn answered(&self, peer: Peer, answer: &Answer) {
        self.count(peer, |counts| {
            match (answer.whole, answer.entries) {
                (true, _) => counts.whole_answers += 1,
                (false, 0) => counts.empty_answers += 1,
                (false, _) => counts.change_answers += 1,
            }
            counts.answer_bytes += answer.message.len() as u64;
            counts.entries += answer.entries as u64;
        });
    }
}
