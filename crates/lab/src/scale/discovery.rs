//! Simulated discovery: a service on its own thread that processes calls one after another, each
//! at a configured cost.
//!
//! Every call is queued on arrival, with the cost of the entries of its immediate answer. A watch
//! that waits for a change does not block the queue; its answer is queued separately. A call that
//! would be queued for more than 2 s is answered with 503.

mod service;

use crate::scale::counts::ControlCounts;
use crate::scale::endpoint_list::{EndpointChange, EndpointList};
use crate::scale::options::Options;
use crate::scale::queue::Costs;
use service::ServiceState;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::runtime;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;

/// Kind of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// Real node with this number.
    RealNode(usize),
    /// Group of simulated nodes that share an address.
    SimulatedNodes,
    /// Relay.
    Relay,
}

/// Caller expected at one of the service's addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Kind of the caller.
    pub caller: Caller,
    /// Index of the address among the node's two addresses.
    pub address: usize,
    /// Whether a partition cuts the caller off.
    pub beyond_partition: bool,
}

/// Version applied by a real node, which its call for newer versions acknowledges.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement {
    /// Number of the node.
    pub node: usize,
    /// Index of the called address among the node's two addresses.
    pub address: usize,
    /// Applied version.
    pub after: u64,
    /// Arrival time of the call, on the machine's monotonic clock.
    pub at_us: u64,
}

/// Published change of the list.
#[derive(Clone, Copy, Debug)]
pub struct PublishedChange {
    /// Version that contains the change.
    pub version: u64,
    /// Time of publication, on the machine's monotonic clock.
    pub at_us: u64,
}

/// Counters and resource usage of the service since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceStats {
    /// Traffic with real nodes.
    pub real: ControlCounts,
    /// Traffic with simulated nodes.
    pub simulated: ControlCounts,
    /// Traffic with relays.
    pub relays: ControlCounts,
    /// Processor time of the service's thread.
    pub processor: Duration,
    /// Total processing time of calls, according to the configured costs.
    pub busy: Duration,
    /// Number of open connections.
    pub open: usize,
    /// Highest number of connections open at the same time.
    pub most_open: usize,
}

impl ServiceStats {
    /// Returns the traffic with all callers.
    pub fn control(&self) -> ControlCounts {
        self.real + self.simulated + self.relays
    }
}

enum Command {
    Change(Vec<EndpointChange>, oneshot::Sender<PublishedChange>),
    SetDown(bool),
    SetPartitioned(bool),
    ReportStats(oneshot::Sender<ServiceStats>),
}

/// Error of a command to a service whose thread has ended.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the discovery thread has ended")]
pub struct ServiceStopped;

/// Handle of the running simulated discovery, which stops when the handle is dropped.
pub struct DiscoveryService {
    commands: UnboundedSender<Command>,
    /// Number of watches that wait for a change.
    waiting_watches: watch::Receiver<usize>,
    /// Listening address for each peer, in the order of the peers.
    pub addresses: Vec<SocketAddr>,
    _thread: JoinHandle<()>,
}

impl DiscoveryService {
    /// Starts the service with one address per peer, and waits until it listens.
    pub async fn start(
        options: &Options,
        server_address: SocketAddr,
        peers: Vec<Peer>,
        acknowledgements: UnboundedSender<Acknowledgement>,
    ) -> io::Result<Self> {
        let thread_runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (command_sender, received_commands) = unbounded_channel();
        let (address_sender, addresses) = oneshot::channel();
        let (watch_counter, waiting_watches) = watch::channel(0);
        let costs = Costs {
            call: Duration::from_micros(options.call_cost_us),
            entry: Duration::from_micros(options.entry_cost_us),
        };
        let endpoint_list = EndpointList::new(options, server_address);
        let thread = thread::Builder::new()
            .name("discovery".to_owned())
            .spawn(move || {
                LocalSet::new().block_on(&thread_runtime, async {
                    let state = Rc::new(ServiceState::new(
                        endpoint_list,
                        costs,
                        watch_counter,
                        acknowledgements,
                    ));
                    let addresses = state.clone().listen(&peers).await;
                    // The receiver is dropped only when the run has ended.
                    let _ = address_sender.send(addresses);
                    state.run_commands(received_commands).await;
                });
            })?;
        let addresses = addresses.await.map_err(io::Error::other)??;
        Ok(Self {
            commands: command_sender,
            waiting_watches,
            addresses,
            _thread: thread,
        })
    }

    /// Applies all changes in one new version of the list.
    pub async fn change(
        &self,
        changes: Vec<EndpointChange>,
    ) -> Result<PublishedChange, ServiceStopped> {
        let (published_sender, published) = oneshot::channel();
        self.commands
            .send(Command::Change(changes, published_sender))
            .map_err(|_| ServiceStopped)?;
        published.await.map_err(|_| ServiceStopped)
    }

    /// Starts or ends an outage of the service. An outage resets all connections.
    pub fn set_down(&self, down: bool) -> Result<(), ServiceStopped> {
        self.commands
            .send(Command::SetDown(down))
            .map_err(|_| ServiceStopped)
    }

    /// Starts or ends a partition. Callers beyond the partition get no answers during it, and their
    /// open connections are reset at its end.
    pub fn set_partitioned(&self, partitioned: bool) -> Result<(), ServiceStopped> {
        self.commands
            .send(Command::SetPartitioned(partitioned))
            .map_err(|_| ServiceStopped)
    }

    /// Returns the counters and resource usage since the start.
    pub async fn stats(&self) -> Result<ServiceStats, ServiceStopped> {
        let (stats_sender, received_stats) = oneshot::channel();
        self.commands
            .send(Command::ReportStats(stats_sender))
            .map_err(|_| ServiceStopped)?;
        received_stats.await.map_err(|_| ServiceStopped)
    }

    /// Returns the number of watches that wait for a change.
    pub fn waiting_watches(&self) -> usize {
        *self.waiting_watches.borrow()
    }
}
