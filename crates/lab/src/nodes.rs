//! The nodes under test: processes of a given binary, their configuration, signals and exits.

mod config;
mod log;
mod program;

use crate::client::{is_healthy, AddressTable, LiveCounters};
use crate::record::{NodeEvent, ProcessEvent};
use crate::scenario::{Fault, FaultKind, Scenario};
pub(crate) use config::config;
use log::{listening_address, LogTail};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
pub use program::Program;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Timeout for the listening address of a starting node, and then for its first successful health
/// check.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of health checks on a starting node.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for a node to exit after SIGTERM, counted from the end of `TABLE_REMOVAL_DELAY`. A node
/// that does not exit in this time counts as failed, since the platform would kill it.
const STOP_TIMEOUT: Duration = Duration::from_millis(4500);
/// Time that a node stays in the clients' address table after SIGTERM: the front keeps opening
/// connections for a while.
const TABLE_REMOVAL_DELAY: Duration = Duration::from_millis(300);

/// Error of starting or controlling a node.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The process cannot be started.
    #[error("cannot start {0}: {1}")]
    Start(String, io::Error),
    /// The process exited, or did not become ready in time.
    #[error("node {node} did not become ready: {reason}")]
    NotReady {
        /// Index of the node.
        node: usize,
        /// Last lines of the log, or the cause.
        reason: String,
    },
    /// Both the scenario and the command line give an operators' file.
    #[error("the scenario has a [front] section of the operators' file and --features names another file; use only one of the two")]
    ConflictingOperatorsFiles,
    /// A file of the node cannot be written.
    #[error("cannot write {}: {error}", .path.display())]
    WriteFile {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        error: io::Error,
    },
}

/// Events of all nodes' processes, in order.
pub type NodeEvents = Arc<Mutex<Vec<NodeEvent>>>;

/// Environment shared by all nodes of a run.
pub struct NodeEnvironment<'a> {
    /// Scenario of the run.
    pub scenario: &'a Scenario,
    /// Seed of the run.
    pub seed: u64,
    /// Program to start.
    pub program: Program,
    /// Folder of the configuration files.
    pub folder: &'a Path,
    /// Address table of the clients.
    pub table: AddressTable,
    /// Events of the nodes' processes.
    pub events: NodeEvents,
    /// Start of the run, from which the times of events count.
    pub start: Instant,
    /// Live counters, which include the breaker openings that nodes log.
    pub live: Arc<LiveCounters>,
}

/// One node across all starts of its process.
pub struct Node {
    index: usize,
    program: Program,
    config: Value,
    discovery: [SocketAddr; 2],
    /// Index into `discovery` of the address in the current configuration.
    current_discovery: usize,
    config_path: PathBuf,
    table: AddressTable,
    events: NodeEvents,
    start: Instant,
    front_late: Duration,
    child: Option<Child>,
    log: LogTail,
    live: Arc<LiveCounters>,
}

impl Node {
    /// Creates a node that is not started yet, with its two discovery addresses.
    pub fn new(index: usize, discovery: [SocketAddr; 2], environment: &NodeEnvironment) -> Self {
        let NodeEnvironment { scenario, seed, .. } = *environment;
        Self {
            index,
            program: environment.program.clone(),
            config: config(index, scenario, seed, discovery[0]),
            discovery,
            current_discovery: 0,
            config_path: environment.folder.join(format!("n{index}.json")),
            table: environment.table.clone(),
            events: environment.events.clone(),
            start: environment.start,
            front_late: Duration::from_secs_f64(scenario.fleet.front_late_s.get()),
            child: None,
            log: LogTail::default(),
            live: environment.live.clone(),
        }
    }

    fn record_event(&self, event: ProcessEvent, detail: &str) {
        let at = self.start.elapsed().as_micros() as u64;
        tracing::info!(node = self.index, life = ?event, word = detail, "node process event");
        if let Ok(mut events) = self.events.lock() {
            events.push(NodeEvent {
                node: self.index,
                event,
                at,
                detail: detail.to_owned(),
            });
        }
    }

    fn set_address(&self, address: Option<SocketAddr>) {
        if let Ok(mut table) = self.table.write() {
            table[self.index] = address;
        }
    }

    /// Writes the configuration to a new file and renames it into place, so that a running node
    /// never reads a partial file.
    fn write_config(&self) -> Result<(), NodeError> {
        let new = self.config_path.with_extension("new");
        std::fs::write(&new, self.config.to_string())
            .and_then(|()| std::fs::rename(&new, &self.config_path))
            .map_err(|error| NodeError::WriteFile {
                path: self.config_path.clone(),
                error,
            })
    }

    /// Returns the position of the node in the fleet.
    pub fn index(&self) -> usize {
        self.index
    }

    /// Returns the process id while the process runs.
    pub fn pid(&self) -> Option<i32> {
        self.child
            .as_ref()?
            .id()
            .and_then(|id| i32::try_from(id).ok())
    }

    /// Starts the process, waits until it is ready and then adds its address to the clients' table.
    pub async fn start(&mut self) -> Result<SocketAddr, NodeError> {
        self.write_config()?;
        let address = match self.program.clone() {
            Program::InProcess(launch) => launch(self.config.clone())
                .map_err(|error| NodeError::Start("a node inside".into(), error))?,
            Program::NoNode => return Err(self.not_ready("there is none")),
            Program::Binary(path, arguments) => self.start_process(&path, &arguments).await?,
        };
        self.wait_until_healthy(address).await?;
        self.record_event(ProcessEvent::Ready, "");
        self.set_address(Some(address));
        Ok(address)
    }

    /// Starts a binary as the platform does, and returns the address that the node listens on.
    async fn start_process(
        &mut self,
        path: &Path,
        arguments: &[String],
    ) -> Result<SocketAddr, NodeError> {
        let discovery = self.discovery[self.current_discovery];
        let mut child = Command::new(path)
            .args(arguments)
            .env("LB_CONFIG", &self.config_path)
            .env("LB_DISCOVERY", discovery.to_string())
            .env_remove("LB_NAME")
            .env_remove("LB_LISTEN")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            // Keeps Ctrl-C from reaching the node: the lab stops its nodes itself.
            .process_group(0)
            .spawn()
            .map_err(|error| NodeError::Start(path.display().to_string(), error))?;
        let stderr = child.stderr.take();
        self.child = Some(child);
        let stderr = stderr.ok_or_else(|| self.not_ready("it has no standard error"))?;
        let mut lines = BufReader::new(stderr).lines();
        let listening = listening_address(&mut lines, &self.log);
        let address = timeout(READY_TIMEOUT, listening).await.ok().flatten();
        tokio::spawn(log::follow(lines, self.log.clone(), self.live.clone()));
        address.ok_or_else(|| self.not_ready(&self.log.text()))
    }

    async fn wait_until_healthy(&self, address: SocketAddr) -> Result<(), NodeError> {
        let started = Instant::now();
        while !is_healthy(address).await {
            if started.elapsed() > READY_TIMEOUT {
                return Err(self.not_ready(&self.log.text()));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn not_ready(&self, reason: &str) -> NodeError {
        NodeError::NotReady {
            node: self.index,
            reason: reason.to_owned(),
        }
    }

    /// Records an exit of the process that the lab did not cause; returns `true` only on the first
    /// call after the exit.
    pub fn detect_exit(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let Ok(Some(status)) = child.try_wait() else {
            return false;
        };
        self.child = None;
        self.record_event(
            ProcessEvent::Died,
            &format!("{status}; {}", self.log.text()),
        );
        self.set_address(None);
        true
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // The process may have exited since; its exit is detected elsewhere.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Applies a fault to this node. After SIGHUP, returns the index of the previous discovery
    /// address.
    pub async fn inject_fault(&mut self, fault: &Fault) -> Result<Option<usize>, NodeError> {
        match fault.kind {
            FaultKind::NodeKill => {
                self.record_event(ProcessEvent::Killed, "");
                self.signal(Signal::SIGKILL);
                self.wait().await;
                sleep(self.front_late).await;
                self.set_address(None);
                if let Some(pause) = fault.for_s {
                    sleep(Duration::from_secs_f64(pause.get()).saturating_sub(self.front_late))
                        .await;
                    self.start().await?;
                }
            }
            FaultKind::NodeTerm => {
                self.stop().await;
                self.start().await?;
            }
            FaultKind::NodeHup => return self.switch_discovery().map(Some),
            _ => {}
        }
        Ok(None)
    }

    /// Writes a configuration with the other discovery address and sends SIGHUP; returns the index
    /// of the previous address.
    pub fn switch_discovery(&mut self) -> Result<usize, NodeError> {
        let old = self.current_discovery;
        self.current_discovery = 1 - old;
        self.config["discovery"] = json!(self.discovery[self.current_discovery].to_string());
        self.write_config()?;
        self.signal(Signal::SIGHUP);
        Ok(old)
    }

    async fn wait(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        let status = timeout(STOP_TIMEOUT, child.wait()).await.ok()?.ok();
        self.child = None;
        status
    }

    /// Sends SIGTERM, and SIGKILL if the process does not exit in time.
    pub async fn stop(&mut self) {
        if self.child.is_none() {
            return;
        }
        self.record_event(ProcessEvent::Terminating, "");
        self.signal(Signal::SIGTERM);
        sleep(TABLE_REMOVAL_DELAY).await;
        self.set_address(None);
        match self.wait().await {
            Some(status) if status.success() => self.record_event(ProcessEvent::Exited, ""),
            Some(status) => self.record_event(
                ProcessEvent::Died,
                &format!("{status} after SIGTERM; {}", self.log.text()),
            ),
            None => {
                self.record_event(ProcessEvent::Died, "it did not end within 4.8 s of SIGTERM");
                self.signal(Signal::SIGKILL);
                self.wait().await;
            }
        }
    }
}
