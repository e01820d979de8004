//! Nodes and clients of a run: starts them, applies the faults of nodes, and waits for the end of
//! the load.

use super::faults::faults_by_target;
use super::{
    join_thread, spawn_thread, Addresses, Command, Folder, Options, RunError, StartedNode,
};
use crate::client::{AddressTable, Clients};
use crate::nodes::{Node, NodeEnvironment, NodeError, NodeEvents, Program};
use crate::plan::Plan;
use crate::record::{NodeEvent, ProcessEvent, Record};
use crate::scenario::{Fault, Scenario};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::runtime;
use tokio::sync::{mpsc as channel, watch};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Delay from the last node becoming ready to the start of the load, so that the figures of the
/// load include no start-up connection.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Time that stand-ins keep serving after the last response: attempts of refused or abandoned
/// requests may still arrive.
const LINGER_TIME: Duration = Duration::from_millis(300);
/// Interval of checks on the nodes and the clients.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Observations of the nodes and clients of a run.
pub(super) struct LoadOutcome {
    /// Observations of the clients.
    pub(super) clients: Record,
    /// Events of the nodes' processes.
    pub(super) node_events: Vec<NodeEvent>,
    /// Start of the load, in microseconds from the start of the run.
    pub(super) load_start: u64,
    /// Duration of the load phase.
    pub(super) load_duration: Duration,
}

/// Runs the nodes and the clients until all requests have ended.
pub(super) async fn run_load(
    scenario: &Scenario,
    options: &Options,
    plan: &Arc<Plan>,
    start: Instant,
    listening_addresses: Addresses,
    folder: &Folder,
    commands: channel::UnboundedSender<Command>,
) -> Result<LoadOutcome, RunError> {
    let Addresses { discovery, servers } = listening_addresses;
    let environment = NodeEnvironment {
        scenario,
        seed: options.seed,
        program: options
            .program
            .clone()
            .with_front(&scenario.front, &folder.0)?,
        folder: &folder.0,
        table: address_table(&options.program, &discovery, servers),
        events: NodeEvents::default(),
        start,
        live: options.live.clone(),
    };
    let nodes = start_nodes(&environment, options, discovery).await?;
    sleep(SETTLE_TIME).await;
    let load_start = Instant::now();
    // The stand-ins run until after this function returns, so the receiver exists.
    let _ = commands.send(Command::StartFaults);
    let clients = spawn_clients(scenario, options, plan, &environment.table, load_start)?;
    let nodes: Vec<_> = nodes
        .into_iter()
        .map(|node| RunningNode::spawn(node, scenario, load_start, &commands, &options.stop))
        .collect();
    while !clients.is_finished() {
        sleep(POLL_INTERVAL).await;
    }
    let load_duration = load_start.elapsed();
    sleep(LINGER_TIME).await;
    let failure = stop_nodes(nodes).await;
    let clients = join_thread(clients, "clients")??;
    if let Some(error) = failure {
        record_failure(&environment, &error);
    }
    let node_events = environment.events.lock();
    Ok(LoadOutcome {
        clients,
        node_events: node_events.map(|events| events.clone()).unwrap_or_default(),
        load_start: load_start.duration_since(start).as_micros() as u64,
        load_duration,
    })
}

/// Returns the addresses for clients: empty slots that nodes fill once ready, or the cache servers
/// in a run without nodes.
fn address_table(
    program: &Program,
    discovery: &[[SocketAddr; 2]],
    servers: Vec<SocketAddr>,
) -> AddressTable {
    let listed = match program {
        Program::NoNode => servers.into_iter().map(Some).collect(),
        _ => vec![None; discovery.len()],
    };
    Arc::new(RwLock::new(listed))
}

/// Starts the nodes one after the other and sends them to `options.ready`.
async fn start_nodes(
    environment: &NodeEnvironment<'_>,
    options: &Options,
    mut discovery: Vec<[SocketAddr; 2]>,
) -> Result<Vec<Node>, RunError> {
    if matches!(options.program, Program::NoNode) {
        discovery.clear();
    }
    let (mut nodes, mut started) = (Vec::new(), Vec::new());
    for (index, discovery) in discovery.into_iter().enumerate() {
        let mut node = Node::new(index, discovery, environment);
        let address = node.start().await?;
        started.push(StartedNode {
            address,
            pid: node.pid(),
        });
        nodes.push(node);
    }
    if let Some(ready) = &options.ready {
        // The receiver may have been dropped.
        let _ = ready.send(started);
    }
    Ok(nodes)
}

/// Starts the clients on a separate thread.
fn spawn_clients(
    scenario: &Scenario,
    options: &Options,
    plan: &Arc<Plan>,
    table: &AddressTable,
    load_start: Instant,
) -> io::Result<JoinHandle<io::Result<Record>>> {
    let (scenario, plan, table) = (scenario.clone(), plan.clone(), table.clone());
    let (live, stop) = (options.live.clone(), options.stop.clone());
    spawn_thread("clients", move || {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let clients = Clients::new(&scenario, plan, load_start, table, live, stop);
        Ok(LocalSet::new().block_on(&runtime, clients.run()))
    })
}

/// A node supervised by its own task.
struct RunningNode {
    /// Set to end the task, which then stops the node.
    end_supervision: watch::Sender<bool>,
    task: tokio::task::JoinHandle<Result<(), NodeError>>,
}

impl RunningNode {
    /// Spawns the task that applies the scenario's faults of this node until it is stopped.
    fn spawn(
        node: Node,
        scenario: &Scenario,
        load_start: Instant,
        commands: &channel::UnboundedSender<Command>,
        stop: &Arc<AtomicBool>,
    ) -> Self {
        let index = node.index();
        let mut faults: Vec<_> = faults_by_target(scenario)
            .filter(|(fault, target, _)| fault.kind.targets_nodes() && *target == index)
            .map(|(fault, _, at)| (at, fault))
            .collect();
        faults.sort_by_key(|(at, _)| *at);
        let (end_supervision, supervision_ended) = watch::channel(false);
        let supervision = supervise_node(
            node,
            load_start,
            faults,
            commands.clone(),
            stop.clone(),
            supervision_ended,
        );
        Self {
            end_supervision,
            task: tokio::spawn(supervision),
        }
    }
}

/// Stops all nodes; returns the error of the first one that did not restart after a fault.
async fn stop_nodes(nodes: Vec<RunningNode>) -> Option<NodeError> {
    let mut first_error = None;
    for RunningNode {
        end_supervision,
        task,
    } in nodes
    {
        end_supervision.send_replace(true);
        if let Ok(Err(error)) = task.await {
            first_error = first_error.or(Some(error));
        }
    }
    first_error
}

/// Records a node that did not restart as a failure of the node under test.
fn record_failure(environment: &NodeEnvironment, error: &NodeError) {
    let at = environment.start.elapsed().as_micros() as u64;
    if let Ok(mut events) = environment.events.lock() {
        events.push(NodeEvent {
            node: 0,
            event: ProcessEvent::Died,
            at,
            detail: error.to_string(),
        });
    }
}

/// Supervises a node until `supervision_ended` is set, then stops it.
async fn supervise_node(
    mut node: Node,
    load_start: Instant,
    faults: Vec<(Duration, Fault)>,
    commands: channel::UnboundedSender<Command>,
    stop: Arc<AtomicBool>,
    supervision_ended: watch::Receiver<bool>,
) -> Result<(), NodeError> {
    let result = apply_faults(
        &mut node,
        load_start,
        faults,
        commands,
        stop,
        supervision_ended,
    )
    .await;
    node.stop().await;
    result
}

/// Applies the faults of a node and records an unexpected exit of its process.
async fn apply_faults(
    node: &mut Node,
    load_start: Instant,
    faults: Vec<(Duration, Fault)>,
    commands: channel::UnboundedSender<Command>,
    stop: Arc<AtomicBool>,
    supervision_ended: watch::Receiver<bool>,
) -> Result<(), NodeError> {
    let mut faults = faults.into_iter().peekable();
    while !*supervision_ended.borrow() {
        let next = faults.peek().map(|(at, _)| load_start + *at);
        if next.is_some_and(|at| at <= Instant::now()) && !stop.load(Ordering::Relaxed) {
            if let Some((_, fault)) = faults.next() {
                if let Some(address_index) = node.inject_fault(&fault).await? {
                    let _ = commands.send(Command::CloseOldAddress {
                        node: node.index(),
                        address_index,
                    });
                }
            }
        }
        node.detect_exit();
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
