//! The nodes' and clients' side of a run: starts them, plays the faults of nodes, and waits for the load's end.

use super::faults::faults_by_target;
use super::{join_thread, spawn_thread, Addresses, Command, Folder, Options, RunError};
use crate::client::{Clients, Table};
use crate::nodes::{Node, NodeError, NodeEvents, Program};
use crate::plan::Plan;
use crate::record::{NodeEvent, ProcessEvent, Record};
use crate::scenario::{Fault, Scenario};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::runtime;
use tokio::sync::{mpsc as channel, watch};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Load begins so long after all nodes are ready, so that no connection of the start is in its figures.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Stand-ins serve on for so long after the last answer: what was refused or given up may still arrive.
const LINGER_TIME: Duration = Duration::from_millis(300);
/// The nodes are looked at so often.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the nodes' and clients' side of a run has seen.
pub(super) struct LoadOutcome {
    /// By the clients.
    pub(super) clients: Record,
    /// Of the nodes' processes.
    pub(super) node_events: Vec<NodeEvent>,
    /// The load's start, in microseconds from the run's.
    pub(super) load_start: u64,
    /// For how long load arrived.
    pub(super) lasted: Duration,
}

/// Runs the nodes and the clients, until all requests have ended.
pub(super) async fn play_load(
    scenario: &Scenario,
    options: &Options,
    plan: &Arc<Plan>,
    start: Instant,
    listening: Addresses,
    folder: &Folder,
    commands: channel::UnboundedSender<Command>,
) -> Result<LoadOutcome, RunError> {
    let Addresses {
        mut discovery,
        servers,
    } = listening;
    let listed = match options.program {
        Program::Nothing => {
            discovery.clear();
            servers.into_iter().map(Some).collect()
        }
        _ => vec![None; discovery.len()],
    };
    let table: Table = Arc::new(RwLock::new(listed));
    let events: NodeEvents = Arc::default();
    let program = options
        .program
        .clone()
        .with_front(&scenario.front, &folder.0)?;
    let mut started = Vec::new();
    for (index, discovery) in discovery.into_iter().enumerate() {
        let program = program.clone();
        let (table, events) = (table.clone(), events.clone());
        let mut node = Node::new(
            index,
            scenario,
            options.seed,
            program,
            discovery,
            &folder.0,
            table,
            events,
            start,
            options.live.clone(),
        );
        let address = node.start().await?;
        started.push((node, address));
    }
    if let Some(ready) = &options.ready {
        // Whoever asked may have gone.
        let _ = ready.send(
            started
                .iter()
                .map(|(node, address)| (*address, node.pid()))
                .collect(),
        );
    }
    sleep(SETTLE_TIME).await;
    let load_start = Instant::now();
    // The stand-ins end only after this.
    let _ = commands.send(Command::StartFaults);
    let clients = spawn_thread("clients", {
        let (scenario, plan, table) = (scenario.clone(), plan.clone(), table.clone());
        let (live, stop) = (options.live.clone(), options.stop.clone());
        move || {
            let runtime = runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            let clients = Clients::new(&scenario, plan, load_start, table, live, stop);
            Ok::<_, io::Error>(LocalSet::new().block_on(&runtime, clients.run()))
        }
    })?;
    let mut running = Vec::new();
    for (index, (mut node, _)) in started.into_iter().enumerate() {
        let mut faults: Vec<_> = faults_by_target(scenario)
            .filter(|(fault, target, _)| fault.kind.targets_nodes() && *target == index)
            .map(|(fault, _, at)| (at, fault))
            .collect();
        faults.sort_by_key(|(at, _)| *at);
        let (commands, stop) = (commands.clone(), options.stop.clone());
        let (stop_watching, watch_ended) = watch::channel(false);
        running.push((
            stop_watching,
            tokio::spawn(async move {
                let result = watch_node(
                    &mut node,
                    index,
                    load_start,
                    faults,
                    commands,
                    stop,
                    watch_ended,
                )
                .await;
                node.stop().await;
                result
            }),
        ));
    }
    while !clients.is_finished() {
        sleep(POLL_INTERVAL).await;
    }
    let lasted = load_start.elapsed();
    sleep(LINGER_TIME).await;
    let mut first_error = None;
    for (stop_watching, task) in running {
        stop_watching.send_replace(true);
        if let Ok(Err(error)) = task.await {
            first_error = first_error.or(Some(error));
        }
    }
    let clients = join_thread(clients, "clients")??;
    // A node that does not come back is a failure of the node under test, and stands in the record as one.
    if let Some(error) = first_error {
        let at = start.elapsed().as_micros() as u64;
        if let Ok(mut events) = events.lock() {
            let detail = error.to_string();
            events.push(NodeEvent {
                node: 0,
                event: ProcessEvent::Died,
                at,
                detail,
            });
        }
    }
    let node_events = events
        .lock()
        .map(|events| events.clone())
        .unwrap_or_default();
    let load_start = load_start.duration_since(start).as_micros() as u64;
    Ok(LoadOutcome {
        clients,
        node_events,
        load_start,
        lasted,
    })
}

/// Plays a node's faults and watches whether its process has died.
async fn watch_node(
    node: &mut Node,
    index: usize,
    load_start: Instant,
    faults: Vec<(Duration, Fault)>,
    commands: channel::UnboundedSender<Command>,
    stop: Arc<AtomicBool>,
    watch_ended: watch::Receiver<bool>,
) -> Result<(), NodeError> {
    let mut faults = faults.into_iter().peekable();
    while !*watch_ended.borrow() {
        let next = faults.peek().map(|(at, _)| load_start + *at);
        if next.is_some_and(|at| at <= Instant::now()) && !stop.load(Ordering::Relaxed) {
            if let Some((_, fault)) = faults.next() {
                if let Some(which) = node.inject_fault(&fault).await? {
                    let _ = commands.send(Command::CloseOldAddress { node: index, which });
                }
            }
        }
        node.has_died();
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
