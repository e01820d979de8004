//! The nodes' and clients' side of a run: starts them, plays the faults of nodes, and waits for the load's end.

use super::faults::struck;
use super::{joined, spawn, Addresses, Folder, Options, RunError, Word};
use crate::client::{Clients, Table};
use crate::nodes::{Lives, Node, NodeError, Program};
use crate::plan::Plan;
use crate::record::{Life, Record};
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
const SETTLE: Duration = Duration::from_millis(200);
/// Stand-ins serve on for so long after the last answer: what was refused or given up may still arrive.
const LINGER: Duration = Duration::from_millis(300);
/// The nodes are looked at so often.
const LOOK: Duration = Duration::from_millis(20);

/// Runs the nodes and the clients, and gives what the clients saw, what became of the nodes, the load's start in
/// microseconds and how long it lasted.
pub(super) async fn nodes(
    scenario: &Scenario,
    options: &Options,
    plan: &Arc<Plan>,
    start: Instant,
    listening: Addresses,
    folder: &Folder,
    words: channel::UnboundedSender<Word>,
) -> Result<(Record, Vec<(usize, Life, u64, String)>, u64, Duration), RunError> {
    let Addresses { mut discovery, servers } = listening;
    let listed = match options.program {
        Program::Nothing => {
            discovery.clear();
            servers.into_iter().map(Some).collect()
        }
        _ => vec![None; discovery.len()],
    };
    let table: Table = Arc::new(RwLock::new(listed));
    let lives: Lives = Arc::default();
    let program = options.program.clone().with_front(&scenario.front, &folder.0)?;
    let mut all = Vec::new();
    for (place, discovery) in discovery.into_iter().enumerate() {
        let program = program.clone();
        let (table, lives) = (table.clone(), lives.clone());
        let mut node = Node::new(
            place,
            scenario,
            options.seed,
            program,
            discovery,
            &folder.0,
            table,
            lives,
            start,
            options.live.clone(),
        );
        let address = node.up().await?;
        all.push((node, address));
    }
    if let Some(ready) = &options.ready {
        // Whoever asked may have gone.
        let _ = ready.send(all.iter().map(|(node, address)| (*address, node.pid())).collect());
    }
    sleep(SETTLE).await;
    let begin = Instant::now();
    // The stand-ins end only after this.
    let _ = words.send(Word::Begin);
    let clients = spawn("clients", {
        let (scenario, plan, table) = (scenario.clone(), plan.clone(), table.clone());
        let (live, stop) = (options.live.clone(), options.stop.clone());
        move || {
            let one = runtime::Builder::new_current_thread().enable_all().build()?;
            let clients = Clients::new(&scenario, plan, begin, table, live, stop);
            Ok::<_, io::Error>(LocalSet::new().block_on(&one, clients.run()))
        }
    })?;
    let mut running = Vec::new();
    for (place, (mut node, _)) in all.into_iter().enumerate() {
        let mut faults: Vec<_> = struck(scenario)
            .filter(|(fault, whom, _)| fault.kind.of_nodes() && *whom == place)
            .map(|(fault, _, at)| (at, fault))
            .collect();
        faults.sort_by_key(|(at, _)| *at);
        let (words, stop) = (words.clone(), options.stop.clone());
        let (end, ended) = watch::channel(false);
        running.push((
            end,
            tokio::spawn(async move {
                let result = life(&mut node, place, begin, faults, words, stop, ended).await;
                node.down().await;
                result
            }),
        ));
    }
    while !clients.is_finished() {
        sleep(LOOK).await;
    }
    let lasted = begin.elapsed();
    sleep(LINGER).await;
    let mut failed = None;
    for (end, task) in running {
        end.send_replace(true);
        if let Ok(Err(error)) = task.await {
            failed = failed.or(Some(error));
        }
    }
    let seen = joined(clients, "clients")??;
    // A node that does not come back is a verdict: its fault said so, and the record tells.
    if let Some(error) = failed {
        let at = start.elapsed().as_micros() as u64;
        if let Ok(mut lives) = lives.lock() {
            lives.push((0, Life::Died, at, error.to_string()));
        }
    }
    let lives = lives.lock().map(|lives| lives.clone()).unwrap_or_default();
    Ok((seen, lives, begin.duration_since(start).as_micros() as u64, lasted))
}

/// Plays a node's faults and watches that it lives.
async fn life(
    node: &mut Node,
    place: usize,
    begin: Instant,
    faults: Vec<(Duration, Fault)>,
    words: channel::UnboundedSender<Word>,
    stop: Arc<AtomicBool>,
    ended: watch::Receiver<bool>,
) -> Result<(), NodeError> {
    let mut faults = faults.into_iter().peekable();
    while !*ended.borrow() {
        let next = faults.peek().map(|(at, _)| begin + *at);
        if next.is_some_and(|at| at <= Instant::now()) && !stop.load(Ordering::Relaxed) {
            if let Some((_, fault)) = faults.next() {
                if let Some(which) = node.strike(&fault).await? {
                    let _ = words.send(Word::CloseOld { node: place, which });
                }
            }
        }
        node.died();
        sleep(LOOK).await;
    }
    Ok(())
}
