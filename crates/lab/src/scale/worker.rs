//! Worker process, which runs many simulated nodes on one thread.

use crate::scale::processes::{monotonic_us, thread_processor_time};
use crate::scale::protocol::{AppliedList, Message, NodeSetup, Setup, WorkerCommand, WorkerCounts};
use slatelink_config::operators;
use slatelink_config::platform::{self, ConfigError};
use slatelink_node::control::{self, ControlObserver, ControlOptions};
use slatelink_policy::Settings;
use slatelink_telemetry::{Log, LogFormat, Telemetry, TelemetryError};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::net::unix::pipe::Receiver;
use tokio::runtime;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{interval, sleep_until, Instant};

/// Delay between the first unreported list that a node applies and the report, which batches all
/// lists applied in the meantime.
const REPORT_DELAY: Duration = Duration::from_millis(20);
/// Interval at which the log reports the number of suppressed lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Error that ends a worker.
#[derive(Debug, Error)]
pub enum WorkerError {
    /// The standard input is not a pipe from a run.
    #[error("the standard input is not a pipe from `lab scale`, which starts this worker: {0}")]
    Pipes(io::Error),
    /// A command cannot be parsed, or a message cannot be serialised.
    #[error("invalid worker command or message: {0}")]
    Command(#[from] serde_json::Error),
    /// The first command was not the set-up command, or a later command was.
    #[error("the set-up command must be the first command and must not be repeated")]
    NotSetUp,
    /// A command names a node that is not assigned to this worker.
    #[error("node {0} is not assigned to this worker")]
    UnknownNode(usize),
    /// The configuration of the nodes cannot be loaded.
    #[error("{0}")]
    Configuration(#[from] ConfigError),
    /// The log cannot be started.
    #[error("{0}")]
    Telemetry(#[from] TelemetryError),
    /// I/O error of the pipes or the runtime.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Runs simulated nodes according to the commands on standard input, until the input ends.
pub fn run_worker() -> Result<(), WorkerError> {
    let thread_runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let result = LocalSet::new().block_on(&thread_runtime, async {
        let input = io::stdin()
            .as_fd()
            .try_clone_to_owned()
            .map_err(WorkerError::Pipes)?;
        let input = Receiver::from_owned_fd(input).map_err(WorkerError::Pipes)?;
        run_commands(BufReader::new(input).lines()).await
    });
    if let Err(error) = &result {
        send_message(&Message::Failed(error.to_string()))?;
    }
    result
}

async fn run_commands(mut commands: Lines<BufReader<Receiver>>) -> Result<(), WorkerError> {
    let Some(first) = commands.next_line().await? else {
        return Ok(());
    };
    let WorkerCommand::SetUp(setup) = serde_json::from_str(&first)? else {
        return Err(WorkerError::NotSetUp);
    };
    let mut worker = Worker::new(setup)?;
    send_message(&Message::Ready)?;
    let mut log_ticks = interval(LOG_INTERVAL);
    // Time of the next report of applied lists, if any are unreported.
    let mut report_at = None;
    loop {
        let observations = worker.observations.clone();
        tokio::select! {
            command = commands.next_line() => match command? {
                Some(command) => worker.execute(serde_json::from_str(&command)?)?,
                None => return Ok(()),
            },
            () = observations.list_applied.notified(), if report_at.is_none() => report_at = Some(Instant::now() + REPORT_DELAY),
            () = sleep_until_some(report_at) => {
                report_at = None;
                worker.report()?;
            }
            _ = log_ticks.tick() => worker.telemetry.log.report_suppressed(),
        }
    }
}

/// Waits until this time, or forever if there is none.
async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => pending().await,
    }
}

fn send_message(message: &Message) -> Result<(), WorkerError> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    Ok(io::stdout().lock().write_all(&line)?)
}

/// Observations of all nodes of the worker.
#[derive(Default)]
struct Observations {
    /// Applied lists that are not reported yet.
    applied_lists: RefCell<Vec<AppliedList>>,
    counts: RefCell<WorkerCounts>,
    /// Notified when a node has applied a list.
    list_applied: Notify,
}

struct Worker {
    settings: Settings,
    seed: u64,
    request_rate: f64,
    nodes: BTreeMap<usize, SimulatedNode>,
    observations: Rc<Observations>,
    /// Keeps the log's writer running.
    telemetry: Rc<Telemetry>,
}

impl Worker {
    fn new(setup: Setup) -> Result<Self, WorkerError> {
        let path = setup.configuration.display().to_string();
        let config = platform::load(|name| (name == "LB_CONFIG").then(|| path.clone()))?;
        let telemetry = Telemetry::start(&operators::Settings::default(), &[], LogFormat::Text);
        let nodes = setup
            .nodes
            .into_iter()
            .map(|node| (node.number, SimulatedNode::new(node)));
        Ok(Self {
            settings: config.settings,
            seed: setup.seed,
            request_rate: setup.request_rate,
            nodes: nodes.collect(),
            observations: Rc::default(),
            telemetry: telemetry?,
        })
    }

    fn execute(&mut self, command: WorkerCommand) -> Result<(), WorkerError> {
        match command {
            WorkerCommand::SetUp(_) => return Err(WorkerError::NotSetUp),
            WorkerCommand::Start(nodes) => {
                for number in nodes {
                    self.start(number)?;
                }
            }
            WorkerCommand::Configure(version) => self
                .nodes
                .values_mut()
                .for_each(|node| node.configure(version)),
            WorkerCommand::Count => {
                // Lists applied earlier must be reported before the counters.
                self.report()?;
                send_message(&Message::Counted(*self.observations.counts.borrow()))?;
            }
        }
        Ok(())
    }

    fn start(&mut self, number: usize) -> Result<(), WorkerError> {
        let node = self
            .nodes
            .get_mut(&number)
            .ok_or(WorkerError::UnknownNode(number))?;
        let log = self.telemetry.log.clone();
        node.start(
            &self.settings,
            self.seed,
            self.request_rate,
            log,
            self.observations.clone(),
        );
        Ok(())
    }

    /// Reports the lists applied since the previous report.
    fn report(&self) -> Result<(), WorkerError> {
        let applied_lists = self.observations.applied_lists.take();
        if !applied_lists.is_empty() {
            send_message(&Message::InForce(applied_lists))?;
        }
        Ok(())
    }
}

/// Simulated node across all of its incarnations.
struct SimulatedNode {
    setup: NodeSetup,
    incarnation: u32,
    configuration: Rc<Cell<u64>>,
    discovery: watch::Sender<SocketAddr>,
    running: Option<JoinHandle<()>>,
}

impl SimulatedNode {
    fn new(setup: NodeSetup) -> Self {
        let discovery = watch::Sender::new(setup.discovery[0]);
        Self {
            setup,
            incarnation: 0,
            configuration: Rc::default(),
            discovery,
            running: None,
        }
    }

    fn start(
        &mut self,
        settings: &Settings,
        seed: u64,
        request_rate: f64,
        log: Log,
        observations: Rc<Observations>,
    ) {
        if let Some(running) = self.running.take() {
            running.abort();
        }
        self.incarnation += 1;
        let seed = crate::plan::mix(
            seed ^ crate::plan::mix(self.setup.number as u64) ^ u64::from(self.incarnation),
        );
        let options = ControlOptions {
            settings: settings.clone(),
            seed,
            discovery: self.discovery.subscribe(),
            request_rate,
            processor_clock: thread_processor_time,
            log,
        };
        let observer = NodeObserver {
            node: self.setup.number,
            incarnation: self.incarnation,
            latest_configuration: self.configuration.clone(),
            list_configuration: Cell::new(self.configuration.get()),
            observations,
        };
        self.running = Some(spawn_local(control::run(options, Rc::new(observer))));
    }

    fn configure(&mut self, version: u64) {
        self.configuration.set(version);
        // Successive configurations alternate between the node's two addresses of discovery.
        self.discovery
            .send_replace(self.setup.discovery[(version % 2) as usize]);
    }
}

/// Records the events of one incarnation of a node.
struct NodeObserver {
    node: usize,
    incarnation: u32,
    /// Version of the latest configuration given to the node.
    latest_configuration: Rc<Cell<u64>>,
    /// Version of the configuration under which the node requested its current list.
    list_configuration: Cell<u64>,
    observations: Rc<Observations>,
}

impl ControlObserver for NodeObserver {
    fn endpoint_list_applied(&self, version: u64, complete: bool) {
        // The first list from a new address is always complete, so a complete list belongs to the
        // latest configuration.
        if complete {
            self.list_configuration.set(self.latest_configuration.get());
        }
        self.observations
            .applied_lists
            .borrow_mut()
            .push(AppliedList {
                node: self.node,
                incarnation: self.incarnation,
                list: version,
                configuration: self.list_configuration.get(),
                at_us: monotonic_us(),
            });
        self.observations.list_applied.notify_one();
    }

    fn discovery_failed(&self) {
        self.observations.counts.borrow_mut().failed_calls += 1;
    }

    fn request_handled(&self, sent: bool, processor_time: Duration) {
        let mut counts = self.observations.counts.borrow_mut();
        counts.requests += 1;
        counts.sent += u64::from(sent);
        counts.request_processor_ns += processor_time.as_nanos() as u64;
    }
}
