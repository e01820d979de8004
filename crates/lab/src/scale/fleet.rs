//! Starts, changes and ends all parts of a run: discovery, traffic, relays, real nodes and workers.

use crate::client::AddressTable;
use crate::nodes::{NodeEnvironment, NodeEvents, Program};
use crate::run::Folder;
use crate::scale::assignment::Assignment;
use crate::scale::convergence::{Change, ChangeCause};
use crate::scale::discovery::{Acknowledgement, DiscoveryService};
use crate::scale::endpoint_list::{EndpointChange, FIRST_VERSION};
use crate::scale::error::ScaleError;
use crate::scale::options::Options;
use crate::scale::processes::monotonic_us;
use crate::scale::protocol::{NodeSetup, Setup, WorkerCommand};
use crate::scale::real::{self, RealNode, RealNodeEvent};
use crate::scale::relays::Relays;
use crate::scale::state::{FleetEvent, FleetState};
use crate::scale::traffic::{Traffic, TrafficCounts};
use crate::scale::workers::{Worker, WorkerEvent, WorkerProgram};
use std::future::pending;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, RwLock};
use std::time::Instant;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::JoinSet;

/// Programs that a run starts.
#[derive(Clone)]
pub struct Programs {
    /// Program of the real nodes.
    pub node: Program,
    /// Program of the workers.
    pub worker: WorkerProgram,
    /// Binary of the relays.
    pub relay: PathBuf,
}

/// Receivers of the events of all members.
pub struct Inbox {
    acknowledgements: UnboundedReceiver<Acknowledgement>,
    real: UnboundedReceiver<(usize, RealNodeEvent)>,
    workers: UnboundedReceiver<(usize, WorkerEvent)>,
}

impl Inbox {
    /// Waits for the next event.
    pub async fn next(&mut self) -> FleetEvent {
        tokio::select! {
            // The start event of a node must be handled before the calls of that node.
            biased;
            Some((node, event)) = self.real.recv() => FleetEvent::Real(node, event),
            Some(acknowledgement) = self.acknowledgements.recv() => FleetEvent::Acknowledged(acknowledgement),
            Some((worker, event)) = self.workers.recv() => FleetEvent::Worker(worker, event),
            // The channel of a kind without members is closed, which disables its branch. With
            // all channels closed no event can arrive.
            else => pending().await,
        }
    }
}

/// All parts of a run that has been started.
pub struct Fleet<'a> {
    /// Options of the run.
    pub options: &'a Options,
    /// Simulated discovery.
    pub discovery: DiscoveryService,
    /// Relays between discovery and the nodes.
    pub relays: Relays,
    /// Newest version of the endpoint list.
    version: u64,
    /// Processes in which the simulated nodes run.
    pub workers: Vec<Worker>,
    /// State of the members, derived from their events.
    pub state: FleetState,
    /// Events of the members.
    pub inbox: Inbox,
    traffic: Traffic,
    real: Vec<RealNode>,
    assignment: Assignment,
    /// Folder of the run's files, which is removed on drop.
    _folder: Folder,
}

impl<'a> Fleet<'a> {
    /// Starts all processes. Simulated nodes start later, in `start_all_simulated`.
    pub async fn start(options: &'a Options, programs: &Programs) -> Result<Self, ScaleError> {
        let folder = Folder::new()?;
        let scenario = real::scenario(options)?;
        let assignment = Assignment::new(options);
        let table: AddressTable = Arc::new(RwLock::new(vec![None; options.nodes()]));
        let traffic =
            Traffic::start(table.clone(), options.real, options.requests, options.seed).await?;
        let (acknowledgement_sender, acknowledgements) = unbounded_channel();
        let discovery_service = DiscoveryService::start(
            options,
            traffic.servers,
            assignment.peers(),
            acknowledgement_sender,
        )
        .await?;
        let (real_sender, real_events) = unbounded_channel();
        let relay_upstream = assignment.relay_addresses(&discovery_service.addresses);
        let relays = Relays::start(options, &programs.relay, relay_upstream).await?;
        let environment = NodeEnvironment {
            scenario: &scenario,
            seed: options.seed,
            program: programs.node.clone(),
            folder: &folder.0,
            table,
            events: NodeEvents::default(),
            start: Instant::now(),
            live: Arc::default(),
        };
        let addresses = &discovery_service.addresses;
        let start_real = |node| {
            let discovery = assignment.real_node_addresses(node, addresses);
            RealNode::start(node, discovery, &environment, real_sender.clone())
        };
        let real = (0..options.real).map(start_real).collect();
        let (worker_sender, worker_events) = unbounded_channel();
        let configuration = real::write_configuration(&scenario, options.seed, &folder.0)?;
        let mut workers = Vec::with_capacity(assignment.workers());
        for index in 0..assignment.workers() {
            let mut worker = Worker::start(index, &programs.worker, worker_sender.clone())?;
            let setup = worker_setup(
                options,
                &assignment,
                index,
                addresses,
                &relays,
                &configuration,
            );
            worker.send_command(&WorkerCommand::SetUp(setup)).await?;
            workers.push(worker);
        }
        Ok(Self {
            options,
            discovery: discovery_service,
            relays,
            version: FIRST_VERSION,
            workers,
            state: FleetState::new(options)?,
            inbox: Inbox {
                acknowledgements,
                real: real_events,
                workers: worker_events,
            },
            traffic,
            real,
            assignment,
            _folder: folder,
        })
    }

    /// Ends all parts of the run, and returns the counts of the clients.
    pub async fn end(self) -> TrafficCounts {
        let clients = self.traffic.stop().await;
        // Concurrently, because each process may take some time to exit.
        let mut end_tasks = JoinSet::new();
        for node in self.real {
            end_tasks.spawn_local(node.end());
        }
        for worker in self.workers {
            end_tasks.spawn_local(worker.shut_down());
        }
        while end_tasks.join_next().await.is_some() {}
        self.relays.end().await;
        clients
    }

    /// Checks whether all nodes and relays are up to date and have open watches.
    pub fn is_settled(&self) -> bool {
        let expected_watches = self
            .options
            .relays
            .first()
            .copied()
            .unwrap_or(self.options.nodes());
        self.state.is_up_to_date()
            && self.discovery.waiting_watches() >= expected_watches
            && self.relays.are_settled(self.version, self.options)
    }

    /// Starts all simulated nodes.
    pub async fn start_all_simulated(&mut self) -> Result<(), ScaleError> {
        self.start_simulated((self.options.real..self.options.nodes()).collect())
            .await
    }

    /// Starts simulated nodes. Each start begins a new incarnation of the node.
    async fn start_simulated(&mut self, nodes: Vec<usize>) -> Result<(), ScaleError> {
        let at_us = monotonic_us();
        for &node in &nodes {
            self.state.incarnations[node] += 1;
            self.state
                .convergence
                .node_started(node, self.state.configuration, at_us);
        }
        for (index, worker) in self.workers.iter_mut().enumerate() {
            let worker_nodes = self.assignment.nodes(index);
            let worker_nodes: Vec<_> = nodes
                .iter()
                .copied()
                .filter(|node| worker_nodes.contains(node))
                .collect();
            if !worker_nodes.is_empty() {
                worker
                    .send_command(&WorkerCommand::Start(worker_nodes))
                    .await?;
            }
        }
        Ok(())
    }

    /// Restarts nodes of both kinds.
    pub async fn restart(&mut self, nodes: Vec<usize>) -> Result<(), ScaleError> {
        let first_simulated = self.options.real;
        let (real, simulated): (Vec<_>, Vec<_>) =
            nodes.into_iter().partition(|node| *node < first_simulated);
        for node in real {
            // The process id is unknown until the new process is ready.
            self.state.pids[node] = None;
            self.real[node].restart();
        }
        self.start_simulated(simulated).await
    }

    /// Changes entries of the endpoint list, all in one version.
    pub async fn change_list(
        &mut self,
        changes: Vec<EndpointChange>,
        cause: ChangeCause,
    ) -> Result<(), ScaleError> {
        let published = self.discovery.change(changes).await?;
        self.version = published.version;
        self.state.list_changes += 1;
        self.state.convergence.change_published(
            Change::List(published.version),
            cause,
            published.at_us,
        );
        Ok(())
    }

    /// Sends a new configuration to all nodes.
    pub async fn configure(&mut self) -> Result<(), ScaleError> {
        let at_us = monotonic_us();
        self.state.configuration += 1;
        let configuration = self.state.configuration;
        self.state.convergence.change_published(
            Change::Configuration(configuration),
            ChangeCause::Planned,
            at_us,
        );
        self.real.iter().for_each(RealNode::configure);
        for worker in &mut self.workers {
            worker
                .send_command(&WorkerCommand::Configure(configuration))
                .await?;
        }
        Ok(())
    }
}

fn worker_setup(
    options: &Options,
    assignment: &Assignment,
    worker: usize,
    addresses: &[SocketAddr],
    relays: &Relays,
    configuration: &Path,
) -> Setup {
    let node = |number| {
        let discovery_pair = assignment.simulated_node_addresses(worker, number, addresses);
        // With relays, both addresses name the same relay. A new configuration then makes the node
        // call the same relay again.
        NodeSetup {
            number,
            discovery: relays
                .address_for(number)
                .map_or(discovery_pair, |relay| [relay; 2]),
        }
    };
    Setup {
        configuration: configuration.to_owned(),
        nodes: assignment.nodes(worker).map(node).collect(),
        seed: options.seed,
        request_rate: options.requests,
    }
}
