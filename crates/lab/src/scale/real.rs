//! Real nodes of a scale run: processes of the node's binary, each managed by a task.

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

/// Event of a real node.
#[derive(Debug)]
pub enum RealNodeEvent {
    /// The process is about to be started.
    Starts {
        /// Version of the configuration that the process reads.
        configuration: u64,
        /// Time of the event on the machine's monotonic clock.
        at_us: u64,
    },
    /// The process with this id is ready.
    Ready(Option<i32>),
    /// The process did not become ready, could not be configured, or exited by itself.
    Failed(RealNodeFailure),
}

/// Failure of a real node.
#[derive(Debug, Error)]
pub enum RealNodeFailure {
    /// The process cannot be started or configured.
    #[error("{0}")]
    Node(#[from] NodeError),
    /// The process exited without a signal from the run.
    #[error("the process exited by itself")]
    Exited,
}

enum Command {
    Restart,
    Configure,
    End,
}

/// Returns the scenario from which the configurations of all nodes are derived.
pub fn scenario(options: &Options) -> Result<Scenario, ScenarioError> {
    let text = "about = \"scale\"\nseconds = 3600\n[load]\nrate = 1\n";
    let mut scenario = Scenario::parse(text, Path::new("scale"))?;
    scenario.fleet.nodes = options.nodes();
    scenario.fleet.servers = options.servers;
    scenario.fleet.zones = (0..options.zones).map(Options::zone).collect();
    scenario.fleet.sockets = REAL_NODE_SOCKETS;
    Ok(scenario)
}

/// Writes the configuration from which the workers take the settings of their nodes.
pub fn write_configuration(
    scenario: &Scenario,
    seed: u64,
    folder: &Path,
) -> Result<PathBuf, NodeError> {
    let path = folder.join("simulated.json");
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    let configuration = crate::nodes::config(0, scenario, seed, unused_address);
    let result = std::fs::write(&path, configuration.to_string());
    result.map_err(|error| NodeError::WriteFile {
        path: path.clone(),
        error,
    })?;
    Ok(path)
}

/// A real node, which has one process at a time over all its restarts.
pub struct RealNode {
    commands: UnboundedSender<Command>,
    task: JoinHandle<()>,
}

impl RealNode {
    /// Starts a real node that calls discovery at these addresses. Its events are sent to `events`
    /// with the node's number.
    pub fn start(
        number: usize,
        discovery: [SocketAddr; 2],
        environment: &NodeEnvironment,
        events: UnboundedSender<(usize, RealNodeEvent)>,
    ) -> Self {
        let (commands, command_receiver) = unbounded_channel();
        let node = Node::new(number, discovery, environment);
        let task = spawn_local(manage_node(number, node, command_receiver, events));
        Self { commands, task }
    }

    /// Stops the process with SIGTERM, as a platform does, and starts a new one.
    pub fn restart(&self) {
        self.send_command(Command::Restart);
    }

    /// Applies a new configuration, which has the node's other discovery address.
    pub fn configure(&self) {
        self.send_command(Command::Configure);
    }

    /// Ends the process.
    pub async fn end(self) {
        self.send_command(Command::End);
        // A task that panicked has dropped its process handle, which ends the process.
        let _ = self.task.await;
    }

    fn send_command(&self, command: Command) {
        // The channel is closed only after the task has reported a failure.
        let _ = self.commands.send(command);
    }
}

/// Interval of the checks for a process that has exited by itself.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Manages a node until a command ends it or it fails, and then stops its process.
async fn manage_node(
    number: usize,
    mut node: Node,
    mut commands: UnboundedReceiver<Command>,
    events: UnboundedSender<(usize, RealNodeEvent)>,
) {
    let emit = |event| {
        // The receiver is closed when the run has ended.
        let _ = events.send((number, event));
    };
    if let Err(error) = run_commands(&mut node, &mut commands, &emit).await {
        emit(RealNodeEvent::Failed(error.into()));
    }
    node.stop().await;
}

async fn run_commands(
    node: &mut Node,
    commands: &mut UnboundedReceiver<Command>,
    emit: &impl Fn(RealNodeEvent),
) -> Result<(), NodeError> {
    let mut configuration = 0;
    start(node, configuration, emit).await?;
    let mut ticks = interval(EXIT_POLL_INTERVAL);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(Command::Restart) => {
                    node.stop().await;
                    start(node, configuration, emit).await?;
                }
                Some(Command::Configure) => {
                    configuration += 1;
                    node.switch_discovery()?;
                }
                Some(Command::End) | None => return Ok(()),
            },
            _ = ticks.tick() => if node.detect_exit() {
                emit(RealNodeEvent::Failed(RealNodeFailure::Exited));
                return Ok(());
            },
        }
    }
}

async fn start(
    node: &mut Node,
    configuration: u64,
    emit: &impl Fn(RealNodeEvent),
) -> Result<(), NodeError> {
    emit(RealNodeEvent::Starts {
        configuration,
        at_us: monotonic_us(),
    });
    node.start().await?;
    emit(RealNodeEvent::Ready(node.pid()));
    Ok(())
}
