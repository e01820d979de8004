//! Plays a scenario: stand-ins on one thread, clients on another, nodes as processes, faults on the time line.

mod faults;
mod nodes;
mod stand_ins;

use crate::client::Live;
use crate::nodes::{NodeError, Program};
use crate::plan::{mix, Plan};
use crate::record::{Record, TryId};
use crate::rules::{self, Breach};
use crate::scenario::Scenario;
use nodes::{play_load, LoadOutcome};
use stand_ins::stand_ins;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::{mpsc, Arc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::runtime;
use tokio::sync::{mpsc as channel, watch};

/// Why a run did not happen. What a node does wrong is a verdict, and not an error.
#[derive(Debug, Error)]
pub enum RunError {
    /// A socket, thread or folder of the rig's own.
    #[error("the rig cannot run: {0}")]
    Rig(#[from] io::Error),
    /// A thread of the rig has gone.
    #[error("the rig's {0} ended early")]
    Thread(&'static str),
    /// Nodes do not start.
    #[error("{0}")]
    Node(#[from] NodeError),
}

/// A node that is ready for clients.
#[derive(Clone, Copy, Debug)]
pub struct StartedNode {
    /// Where it answers.
    pub address: SocketAddr,
    /// Its process; `None` for one inside this process.
    pub pid: Option<i32>,
}

/// How to play.
#[derive(Clone)]
pub struct Options {
    /// What is under test.
    pub program: Program,
    /// Of all that is drawn.
    pub seed: u64,
    /// Ids of people's own may be asked for beside the load.
    pub by_hand: bool,
    /// Running counts.
    pub live: Arc<Live>,
    /// Set to end early; what was asked by then is finished.
    pub stop: Arc<AtomicBool>,
    /// Gets all nodes once they are ready.
    pub ready: Option<mpsc::Sender<Vec<StartedNode>>>,
}

impl Options {
    /// A plain run of a binary.
    pub fn new(program: Program, seed: u64) -> Self {
        let (live, stop) = (Arc::default(), Arc::default());
        Self {
            program,
            seed,
            by_hand: false,
            live,
            stop,
            ready: None,
        }
    }
}

/// A run that was played to its end.
pub struct Played {
    /// What was asked.
    pub plan: Arc<Plan>,
    /// What was seen.
    pub record: Record,
    /// The rules that were broken.
    pub breaches: Vec<Breach>,
    /// For how long load arrived.
    pub lasted: Duration,
}

/// A folder of this run's own, which goes with it.
pub(crate) struct Folder(pub(crate) PathBuf);

impl Folder {
    pub(crate) fn new() -> io::Result<Self> {
        let unique = mix(u64::from(std::process::id())
            ^ SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |t| t.as_nanos() as u64));
        let path = std::env::temp_dir().join(format!("slatelink-lab-{unique:016x}"));
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What cannot be removed is a small file in the system's temporary folder.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What the stand-ins listen on.
struct Addresses {
    /// For each node: discovery's two addresses.
    discovery: Vec<[SocketAddr; 2]>,
    /// The servers', as the first node knows them.
    servers: Vec<SocketAddr>,
}

/// A command to the stand-ins while they run.
enum Command {
    /// Load begins: faults count from now.
    StartFaults,
    /// A node follows another address: its old one closes.
    CloseOldAddress { node: usize, which: usize },
}

/// Plays a scenario once.
pub fn play(scenario: &Scenario, options: &Options) -> Result<Played, RunError> {
    let plan = Arc::new(Plan::draw(scenario, options.seed));
    let folder = Folder::new()?;
    // One clock for all; the run's zero precedes the nodes' start, and is moved to the load's at the end.
    let start = Instant::now();
    let (shutdown, shutdown_seen) = watch::channel(false);
    let (commands, received_commands) = channel::unbounded_channel();
    let (addresses, listening) = mpsc::channel();
    let stand_ins = spawn_thread("stand-ins", {
        let (scenario, plan, by_hand) = (scenario.clone(), plan.clone(), options.by_hand);
        move || {
            stand_ins(
                scenario,
                plan,
                start,
                by_hand,
                addresses,
                received_commands,
                shutdown_seen,
            )
        }
    })?;
    let listening = match listening.recv() {
        Ok(addresses) => addresses,
        Err(_) => {
            return Err(join_thread(stand_ins, "stand-ins")?
                .err()
                .map_or(RunError::Thread("stand-ins"), RunError::Rig))
        }
    };
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let played = runtime.block_on(play_load(
        scenario, options, &plan, start, listening, &folder, commands,
    ));
    shutdown.send_replace(true);
    let observed = join_thread(stand_ins, "stand-ins")??;
    let LoadOutcome {
        clients,
        node_events,
        load_start,
        lasted,
    } = played?;
    let mut record = Record {
        tries: clients.tries,
        send_delays_us: clients.send_delays_us,
        node_events,
        ..observed
    };
    record.shift(load_start);
    let class_of = |id: TryId| plan.arrivals[id.arrival as usize].class;
    let breaches = rules::check(&record, &scenario.classes, class_of);
    Ok(Played {
        plan,
        record,
        breaches,
        lasted,
    })
}

fn spawn_thread<T: Send + 'static>(
    name: &str,
    body: impl FnOnce() -> T + Send + 'static,
) -> io::Result<JoinHandle<T>> {
    thread::Builder::new().name(name.to_owned()).spawn(body)
}

fn join_thread<T>(thread: JoinHandle<T>, name: &'static str) -> Result<T, RunError> {
    thread.join().map_err(|_| RunError::Thread(name))
}
