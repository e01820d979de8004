//! A worker: one process that runs many simulated nodes, on one thread.

use crate::scale::processes::{monotonic_us, thread_processor_time};
use crate::scale::protocol::{InForce, Message, NodeSetup, Order, Setup, WorkerCounts};
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

/// Lists that came into force are reported this long after the first of them.
const REPORT_DELAY: Duration = Duration::from_millis(20);
/// Interval at which the log reports the lines it dropped.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why a worker cannot go on.
#[derive(Debug, Error)]
pub enum WorkerError {
    /// Its standard input is not what a run gives it.
    #[error("this is for lab scale itself, which starts it with pipes: {0}")]
    Pipes(io::Error),
    /// An order that it does not know.
    #[error("an order cannot be read: {0}")]
    Order(#[from] serde_json::Error),
    /// It got another order before it was set up.
    #[error("the first order was not to set up")]
    NotSetUp,
    /// An order for a node of another worker.
    #[error("node {0} is not one of this worker's")]
    Unknown(usize),
    /// The configuration of its nodes.
    #[error("{0}")]
    Configuration(#[from] ConfigError),
    /// The log.
    #[error("{0}")]
    Telemetry(#[from] TelemetryError),
    /// Its pipes or its runtime.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Runs simulated nodes as standard input says, until that ends.
pub fn work() -> Result<(), WorkerError> {
    let one = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let worked = LocalSet::new().block_on(&one, async {
        let input = io::stdin()
            .as_fd()
            .try_clone_to_owned()
            .map_err(WorkerError::Pipes)?;
        let input = Receiver::from_owned_fd(input).map_err(WorkerError::Pipes)?;
        follow_orders(BufReader::new(input).lines()).await
    });
    if let Err(error) = &worked {
        send(&Message::Failed(error.to_string()))?;
    }
    worked
}

async fn follow_orders(mut orders: Lines<BufReader<Receiver>>) -> Result<(), WorkerError> {
    let Some(first) = orders.next_line().await? else {
        return Ok(());
    };
    let Order::SetUp(setup) = serde_json::from_str(&first)? else {
        return Err(WorkerError::NotSetUp);
    };
    let mut worker = Worker::new(setup)?;
    send(&Message::Ready)?;
    let mut log_turns = interval(LOG_INTERVAL);
    // When lists that came into force are to be reported.
    let mut report_at = None;
    loop {
        let tally = worker.tally.clone();
        tokio::select! {
            order = orders.next_line() => match order? {
                Some(order) => worker.follow(serde_json::from_str(&order)?)?,
                None => return Ok(()),
            },
            () = tally.news.notified(), if report_at.is_none() => report_at = Some(Instant::now() + REPORT_DELAY),
            () = at(report_at) => {
                report_at = None;
                worker.report()?;
            }
            _ = log_turns.tick() => worker.telemetry.log.report_suppressed(),
        }
    }
}

/// Waits until this time; for ever where there is none.
async fn at(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => pending().await,
    }
}

fn send(message: &Message) -> Result<(), WorkerError> {
    let mut line = serde_json::to_vec(message)?;
    line.push(b'\n');
    Ok(io::stdout().lock().write_all(&line)?)
}

/// What its nodes report to.
#[derive(Default)]
struct Tally {
    in_force: RefCell<Vec<InForce>>,
    counts: RefCell<WorkerCounts>,
    /// Something came into force.
    news: Notify,
}

struct Worker {
    settings: Settings,
    seed: u64,
    request_rate: f64,
    nodes: BTreeMap<usize, SimulatedNode>,
    tally: Rc<Tally>,
    /// Keeps the log's writer.
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
            tally: Rc::default(),
            telemetry: telemetry?,
        })
    }

    fn follow(&mut self, order: Order) -> Result<(), WorkerError> {
        match order {
            Order::SetUp(_) => return Err(WorkerError::NotSetUp),
            Order::Start(nodes) => {
                for number in nodes {
                    self.start(number)?;
                }
            }
            Order::Configure(version) => self
                .nodes
                .values_mut()
                .for_each(|node| node.configure(version)),
            Order::Count => {
                // Lists that came into force before are reported before.
                self.report()?;
                send(&Message::Counted(*self.tally.counts.borrow()))?;
            }
        }
        Ok(())
    }

    fn start(&mut self, number: usize) -> Result<(), WorkerError> {
        let node = self
            .nodes
            .get_mut(&number)
            .ok_or(WorkerError::Unknown(number))?;
        let log = self.telemetry.log.clone();
        node.start(
            &self.settings,
            self.seed,
            self.request_rate,
            log,
            self.tally.clone(),
        );
        Ok(())
    }

    /// Reports lists that came into force since the last time.
    fn report(&self) -> Result<(), WorkerError> {
        let in_force = self.tally.in_force.take();
        if !in_force.is_empty() {
            send(&Message::InForce(in_force))?;
        }
        Ok(())
    }
}

/// A simulated node, over all its incarnations.
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
        tally: Rc<Tally>,
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
            ordered: self.configuration.clone(),
            in_force: Cell::new(self.configuration.get()),
            tally,
        };
        self.running = Some(spawn_local(control::run(options, Rc::new(observer))));
    }

    fn configure(&mut self, version: u64) {
        self.configuration.set(version);
        // A node's discovery alternates between its two addresses.
        self.discovery
            .send_replace(self.setup.discovery[(version % 2) as usize]);
    }
}

/// Reports for one incarnation of a node.
struct NodeObserver {
    node: usize,
    incarnation: u32,
    /// The newest configuration that the node was given.
    ordered: Rc<Cell<u64>>,
    /// The one it has a list from.
    in_force: Cell<u64>,
    tally: Rc<Tally>,
}

impl ControlObserver for NodeObserver {
    fn endpoint_list_applied(&self, version: u64, complete: bool) {
        // At a new address a node begins with the whole list.
        if complete {
            self.in_force.set(self.ordered.get());
        }
        self.tally.in_force.borrow_mut().push(InForce {
            node: self.node,
            incarnation: self.incarnation,
            list: version,
            configuration: self.in_force.get(),
            at_us: monotonic_us(),
        });
        self.tally.news.notify_one();
    }

    fn discovery_failed(&self) {
        self.tally.counts.borrow_mut().failed_calls += 1;
    }

    fn request_handled(&self, sent: bool, processor: Duration) {
        let mut counts = self.tally.counts.borrow_mut();
        counts.requests += 1;
        counts.sent += u64::from(sent);
        counts.request_processor_ns += processor.as_nanos() as u64;
    }
}
