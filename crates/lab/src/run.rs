//! Runs a scenario: stand-ins on one thread, clients on another, nodes as processes, and scheduled
//! faults.

mod faults;
mod nodes;
mod stand_ins;

use crate::client::LiveCounters;
use crate::nodes::{NodeError, Program};
use crate::plan::{mix, Plan};
use crate::record::{Record, TryId};
use crate::rules::{self, Breach};
use crate::scenario::Scenario;
use nodes::{run_load, LoadOutcome};
use stand_ins::run_stand_ins;
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

/// Error that prevents a run. A fault of a node is part of the verdict, not an error.
#[derive(Debug, Error)]
pub enum RunError {
    /// A socket, thread or folder of the lab itself failed.
    #[error("I/O of the lab failed: {0}")]
    Io(#[from] io::Error),
    /// A thread of the lab ended early.
    #[error("lab thread {0} ended early")]
    Thread(&'static str),
    /// A node did not start.
    #[error("{0}")]
    Node(#[from] NodeError),
}

/// A node that is ready for clients.
#[derive(Clone, Copy, Debug)]
pub struct StartedNode {
    /// Address at which the node answers.
    pub address: SocketAddr,
    /// Process id of the node; `None` for a node inside this process.
    pub pid: Option<i32>,
}

/// Options of a run.
#[derive(Clone)]
pub struct Options {
    /// Program under test.
    pub program: Program,
    /// Seed of all random values.
    pub seed: u64,
    /// Whether cache servers answer manual requests in addition to the load.
    pub manual_requests: bool,
    /// Live counters of the run.
    pub live: Arc<LiveCounters>,
    /// Set to end the run early; requests already started are completed.
    pub stop: Arc<AtomicBool>,
    /// Receives all nodes once they are ready.
    pub ready: Option<mpsc::Sender<Vec<StartedNode>>>,
}

impl Options {
    /// Returns default options for a run of `program`.
    pub fn new(program: Program, seed: u64) -> Self {
        let (live, stop) = (Arc::default(), Arc::default());
        Self {
            program,
            seed,
            manual_requests: false,
            live,
            stop,
            ready: None,
        }
    }
}

/// A completed run.
pub struct CompletedRun {
    /// Requests that were planned.
    pub plan: Arc<Plan>,
    /// Observations of stand-ins and clients.
    pub record: Record,
    /// Breaches of the rules.
    pub breaches: Vec<Breach>,
    /// Duration of the load phase.
    pub load_duration: Duration,
}

/// Temporary folder of one run, removed on drop.
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
        // A failed removal leaves only small files in the system's temporary folder.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Addresses at which the stand-ins listen.
struct Addresses {
    /// The two discovery addresses of each node.
    discovery: Vec<[SocketAddr; 2]>,
    /// Addresses of the servers for the first node.
    servers: Vec<SocketAddr>,
}

/// Command to the running stand-ins.
enum Command {
    /// Start of the load, from which the times of faults count.
    StartFaults,
    /// Closes the previous discovery address of a node that switched to the other one.
    CloseOldAddress { node: usize, address_index: usize },
}

/// Runs a scenario once.
pub fn run_scenario(scenario: &Scenario, options: &Options) -> Result<CompletedRun, RunError> {
    let plan = Arc::new(Plan::draw(scenario, options.seed));
    let folder = Folder::new()?;
    // All threads share one clock. Its zero precedes the start of the nodes; at the end of the run,
    // recorded times are shifted to the start of the load.
    let start = Instant::now();
    let (shutdown, shutdown_requested) = watch::channel(false);
    let (commands, received_commands) = channel::unbounded_channel();
    let (address_sender, address_receiver) = mpsc::channel();
    let stand_ins_thread = spawn_thread("stand-ins", {
        let (scenario, plan, manual_requests) =
            (scenario.clone(), plan.clone(), options.manual_requests);
        move || {
            run_stand_ins(
                scenario,
                plan,
                start,
                manual_requests,
                address_sender,
                received_commands,
                shutdown_requested,
            )
        }
    })?;
    let listening_addresses = match address_receiver.recv() {
        Ok(addresses) => addresses,
        Err(_) => {
            return Err(join_thread(stand_ins_thread, "stand-ins")?
                .err()
                .map_or(RunError::Thread("stand-ins"), RunError::Io))
        }
    };
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let outcome = runtime.block_on(run_load(
        scenario,
        options,
        &plan,
        start,
        listening_addresses,
        &folder,
        commands,
    ));
    shutdown.send_replace(true);
    let observed = join_thread(stand_ins_thread, "stand-ins")??;
    let LoadOutcome {
        clients,
        node_events,
        load_start,
        load_duration,
    } = outcome?;
    let mut record = Record {
        tries: clients.tries,
        send_delays_us: clients.send_delays_us,
        node_events,
        ..observed
    };
    record.shift(load_start);
    let class_of = |id: TryId| plan.arrivals[id.arrival as usize].class;
    let breaches = rules::check(&record, &scenario.classes, class_of);
    Ok(CompletedRun {
        plan,
        record,
        breaches,
        load_duration,
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
