//! The thread of the simulated discovery: its connections, the queue of calls and the watches.

use super::{Acknowledgement, Caller, Command, Peer, PublishedChange, ServiceStats};
use crate::http::{listen, reset, Conn};
use crate::list_protocol::{ListCall, NOT_FOUND, REFUSED};
use crate::scale::counts::ControlCounts;
use crate::scale::endpoint_list::{Answer, EndpointList};
use crate::scale::processes::{monotonic_us, thread_processor_time};
use crate::scale::queue::{Admission, CallQueue, Costs};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, Instant};

/// State of the service's thread.
pub(super) struct ServiceState {
    endpoint_list: RefCell<EndpointList>,
    queue: RefCell<CallQueue>,
    /// Origin of the queue's times.
    origin: Instant,
    /// Current version of the list.
    version: watch::Sender<u64>,
    down: watch::Sender<bool>,
    partitioned: watch::Sender<bool>,
    waiting_watches: watch::Sender<usize>,
    acknowledgements: UnboundedSender<Acknowledgement>,
    real: Cell<ControlCounts>,
    simulated: Cell<ControlCounts>,
    relays: Cell<ControlCounts>,
    open: Cell<usize>,
    most_open: Cell<usize>,
}

/// Guard that counts one waiting watch until it is dropped.
struct WaitingWatch<'a>(&'a watch::Sender<usize>);

impl<'a> WaitingWatch<'a> {
    fn begin(count: &'a watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(count)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

impl ServiceState {
    pub(super) fn new(
        endpoint_list: EndpointList,
        costs: Costs,
        waiting_watches: watch::Sender<usize>,
        acknowledgements: UnboundedSender<Acknowledgement>,
    ) -> Self {
        Self {
            version: watch::Sender::new(endpoint_list.version()),
            endpoint_list: RefCell::new(endpoint_list),
            queue: RefCell::new(CallQueue::new(costs)),
            origin: Instant::now(),
            down: watch::Sender::new(false),
            partitioned: watch::Sender::new(false),
            waiting_watches,
            acknowledgements,
            real: Cell::default(),
            simulated: Cell::default(),
            relays: Cell::default(),
            open: Cell::default(),
            most_open: Cell::default(),
        }
    }

    pub(super) async fn listen(self: Rc<Self>, peers: &[Peer]) -> io::Result<Vec<SocketAddr>> {
        let mut addresses = Vec::with_capacity(peers.len());
        for &peer in peers {
            let state = self.clone();
            let address = listen(move |stream| state.clone().accept(peer, stream)).await?;
            addresses.push(address);
        }
        Ok(addresses)
    }

    pub(super) async fn run_commands(&self, mut commands: UnboundedReceiver<Command>) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Change(changes, published_sender) => {
                    let version = self.endpoint_list.borrow_mut().apply(&changes);
                    let at_us = monotonic_us();
                    self.version.send_replace(version);
                    let _ = published_sender.send(PublishedChange { version, at_us });
                }
                Command::SetDown(down) => {
                    self.down.send_replace(down);
                }
                Command::SetPartitioned(partitioned) => {
                    self.partitioned.send_replace(partitioned);
                }
                Command::ReportStats(stats_sender) => {
                    let _ = stats_sender.send(self.stats());
                }
            }
        }
    }

    fn stats(&self) -> ServiceStats {
        ServiceStats {
            real: self.real.get(),
            simulated: self.simulated.get(),
            relays: self.relays.get(),
            processor: thread_processor_time(),
            busy: self.queue.borrow().busy(),
            open: self.open.get(),
            most_open: self.most_open.get(),
        }
    }

    fn update_counts(&self, peer: Peer, update: impl FnOnce(&mut ControlCounts)) {
        let group = match peer.caller {
            Caller::RealNode(_) => &self.real,
            Caller::SimulatedNodes => &self.simulated,
            Caller::Relay => &self.relays,
        };
        let mut counts = group.get();
        update(&mut counts);
        group.set(counts);
    }

    fn accept(self: Rc<Self>, peer: Peer, stream: TcpStream) {
        if *self.down.borrow() {
            self.update_counts(peer, |counts| counts.resets += 1);
            reset(stream);
        } else if let Ok(conn) = Conn::new(stream) {
            self.update_counts(peer, |counts| counts.connections += 1);
            spawn_local(self.serve_connection(peer, conn));
        }
    }

    /// Serves a connection until the peer ends it, a partition cuts it off, or an outage begins.
    async fn serve_connection(self: Rc<Self>, peer: Peer, mut conn: Conn) {
        self.open.set(self.open.get() + 1);
        self.most_open
            .set(self.most_open.get().max(self.open.get()));
        let (mut down, mut partitioned) = (self.down.subscribe(), self.partitioned.subscribe());
        let is_partitioned = tokio::select! {
            biased;
            _ = down.wait_for(|down| *down) => false,
            _ = partitioned.wait_for(|partitioned| *partitioned && peer.beyond_partition) => true,
            ended = self.serve_calls(peer, &mut conn) => {
                // The peer may end the connection in any way, so errors are ignored.
                let _ = ended;
                self.open.set(self.open.get() - 1);
                return;
            }
        };
        if is_partitioned {
            // Received bytes are dropped without an answer until the partition ends or the peer
            // closes the connection.
            tokio::select! {
                _ = partitioned.wait_for(|partitioned| !*partitioned) => {}
                () = conn.drain() => {}
            }
        }
        self.open.set(self.open.get() - 1);
        self.update_counts(peer, |counts| counts.resets += 1);
        conn.reset();
    }

    async fn serve_calls(&self, peer: Peer, conn: &mut Conn) -> io::Result<()> {
        loop {
            let Ok(list_request) = conn.request().await else {
                return Ok(());
            };
            let Some(call) = ListCall::parse(&list_request.path) else {
                conn.write(NOT_FOUND).await?;
                continue;
            };
            self.record_call(peer, call, list_request.bytes);
            if !self.wait_in_queue(call).await? {
                conn.write(REFUSED).await?;
                self.record_refusal(peer);
                continue;
            }
            if self.must_wait(call) {
                self.wait_for_change(call).await?;
            }
            // The answer includes changes that were made while the call waited.
            let answer = self.endpoint_list.borrow_mut().answer(call.after)?;
            conn.write(&answer.message).await?;
            self.record_answer(peer, &answer);
        }
    }

    /// Checks whether a call is a watch whose caller already has the current version.
    fn must_wait(&self, call: ListCall) -> bool {
        call.wait.is_some() && call.after == Some(*self.version.borrow())
    }

    /// Queues a call and waits until it is served or refused; returns whether it was served.
    async fn wait_in_queue(&self, call: ListCall) -> io::Result<bool> {
        let entries = match self.must_wait(call) {
            true => 0,
            false => self.endpoint_list.borrow_mut().answer(call.after)?.entries,
        };
        let admission = self
            .queue
            .borrow_mut()
            .enqueue_call(self.origin.elapsed(), entries);
        let (Admission::Served(at) | Admission::Refused(at)) = admission;
        sleep_until(self.origin + at).await;
        Ok(matches!(admission, Admission::Served(_)))
    }

    /// Waits until the list changes or the watch times out, and then until the answer has left the
    /// queue.
    async fn wait_for_change(&self, call: ListCall) -> io::Result<()> {
        let (Some(after), Some(wait)) = (call.after, call.wait) else {
            return Ok(());
        };
        let mut version = self.version.subscribe();
        let _waiting_watch = WaitingWatch::begin(&self.waiting_watches);
        // A watch that times out is answered without entries.
        let _ = timeout(wait, version.wait_for(|version| *version > after)).await;
        let entries = self.endpoint_list.borrow_mut().answer(call.after)?.entries;
        let at = self
            .queue
            .borrow_mut()
            .enqueue_watch_answer(self.origin.elapsed(), entries);
        sleep_until(self.origin + at).await;
        Ok(())
    }

    /// Counts a received call, and reports the version that a real node's call acknowledges.
    fn record_call(&self, peer: Peer, call: ListCall, bytes: usize) {
        self.update_counts(peer, |counts| {
            match call.after {
                Some(_) => counts.watch_calls += 1,
                None => counts.whole_calls += 1,
            }
            counts.call_bytes += bytes as u64;
        });
        if let (Caller::RealNode(node), Some(after)) = (peer.caller, call.after) {
            let acknowledgement = Acknowledgement {
                node,
                address: peer.address,
                after,
                at_us: monotonic_us(),
            };
            // Sending fails only if the run has ended.
            let _ = self.acknowledgements.send(acknowledgement);
        }
    }

    /// Counts a refused call.
    fn record_refusal(&self, peer: Peer) {
        self.update_counts(peer, |counts| {
            counts.refused += 1;
            counts.answer_bytes += REFUSED.len() as u64;
        });
    }

    /// Counts a written answer.
    fn record_answer(&self, peer: Peer, answer: &Answer) {
        self.update_counts(peer, |counts| {
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
