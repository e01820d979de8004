//! Real nodes of a scale run: processes of the node's binary, each driven by a task.

use crate::nodes::{Node, NodeEnvironment, NodeError};
use crate::scale::bounds::REAL_NODE_SOCKETS;
use crate::scale::options::Options;
use crate::scale::processes::monotonic_us;
use crate::scenario::{Scenario, ScenarioError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::interval;

/// Something that happened to a real node.
#[derive(Debug)]
pub enum RealNodeEvent {
    /// Its process is about to be started.
    Starts {
        /// The version of the configuration that it reads.
        configuration: u64,
        /// When, on the machine's monotonic clock.
        at_us: u64,
    },
    /// Its process is ready, and this is its id.
    Ready(Option<i32>),
    /// It did not come up, or ended by itself.
    Failed(RealNodeFailure),
}

/// Why a real node does not run.
#[derive(Debug, Error)]
pub enum RealNodeFailure {
    /// It cannot be started or configured.
    #[error("{0}")]
    Node(#[from] NodeError),
    /// Its process exited without being told to.
    #[error("it ended by itself")]
    Exited,
}

enum Order {
    Restart,
    Configure,
    End,
}

/// The description of the fleet that all nodes' configurations are from.
pub fn scenario(options: &Options) -> Result<Scenario, ScenarioError> {
    let text = "about = \"scale\"\nseconds = 3600\n[load]\nrate = 1\n";
    let mut scenario = Scenario::parse(text, Path::new("scale"))?;
    scenario.fleet.nodes = options.nodes();
    scenario.fleet.servers = options.servers;
    scenario.fleet.zones = (0..options.zones).map(Options::zone).collect();
    scenario.fleet.sockets = REAL_NODE_SOCKETS;
    Ok(scenario)
}

/// Writes the configuration that workers take their nodes' settings from.
pub fn write_configuration(
    scenario: &Scenario,
    seed: u64,
    folder: &Path,
) -> Result<PathBuf, NodeError> {
    let path = folder.join("simulated.json");
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let configuration = crate::nodes::config(0, scenario, seed, nowhere);
    let written = std::fs::write(&path, configuration.to_string());
    written.map_err(|error| NodeError::WriteFile {
        path: path.clone(),
        error,
    })?;
    Ok(path)
}

/// A real node, over all starts of its process.
pub struct RealNode {
    orders: UnboundedSender<Order>,
    task: JoinHandle<()>,
}

impl RealNode {
    /// Starts one that discovery answers at these addresses. Its events go to `events`, with its number.
    pub fn start(
        number: usize,
        discovery: [SocketAddr; 2],
        environment: &NodeEnvironment,
        events: UnboundedSender<(usize, RealNodeEvent)>,
    ) -> Self {
        let (orders, inbox) = unbounded_channel();
        let node = Node::new(number, discovery, environment);
        let task = spawn_local(drive(number, node, inbox, events));
        Self { orders, task }
    }

    /// Ends its process as the platform does, and starts it anew.
    pub fn restart(&self) {
        self.order(Order::Restart);
    }

    /// Gives it a new configuration, with the other address of discovery.
    pub fn configure(&self) {
        self.order(Order::Configure);
    }

    /// Ends it.
    pub async fn end(self) {
        self.order(Order::End);
        // A task that panicked has dropped its process, which ends with that.
        let _ = self.task.await;
    }

    fn order(&self, order: Order) {
        // A task that has ended has reported why.
        let _ = self.orders.send(order);
    }
}

/// Interval of the checks whether a process has exited by itself.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(200);

async fn drive(
    number: usize,
    mut node: Node,
    mut orders: UnboundedReceiver<Order>,
    events: UnboundedSender<(usize, RealNodeEvent)>,
) {
    let report = |event| {
        // The run may be over.
        let _ = events.send((number, event));
    };
    if let Err(error) = follow(&mut node, &mut orders, &report).await {
        report(RealNodeEvent::Failed(error.into()));
    }
    node.stop().await;
}

async fn follow(
    node: &mut Node,
    orders: &mut UnboundedReceiver<Order>,
    report: &impl Fn(RealNodeEvent),
) -> Result<(), NodeError> {
    let mut configuration = 0;
    start(node, configuration, report).await?;
    let mut looks = interval(EXIT_POLL_INTERVAL);
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(Order::Restart) => {
                    node.stop().await;
                    start(node, configuration, report).await?;
                }
                Some(Order::Configure) => {
                    configuration += 1;
                    node.move_discovery()?;
                }
                Some(Order::End) | None => return Ok(()),
            },
            _ = looks.tick() => if node.has_died() {
                report(RealNodeEvent::Failed(RealNodeFailure::Exited));
                return Ok(());
            },
        }
    }
}

async fn start(
    node: &mut Node,
    configuration: u64,
    report: &impl Fn(RealNodeEvent),
) -> Result<(), NodeError> {
    report(RealNodeEvent::Starts {
        configuration,
        at_us: monotonic_us(),
    });
    node.start().await?;
    report(RealNodeEvent::Ready(node.pid()));
    Ok(())
}
