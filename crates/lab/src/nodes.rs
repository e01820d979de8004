//! The nodes under test: real processes of a given binary, their configuration, their signals and their ends.

mod config;
mod log;
mod program;

use crate::client::{healthy, Live, Table};
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

/// A node that is not ready by then does not come up.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// A node that starts is asked for its health so often.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A node that does not exit in this time after SIGTERM has failed to stop; the platform would kill it.
const STOP_TIMEOUT: Duration = Duration::from_millis(4500);
/// A node that was sent SIGTERM stays in the table of clients for so long: connections keep coming for a while.
const TERMINATED_IN_TABLE: Duration = Duration::from_millis(300);

/// Why nodes do not run.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The process cannot be started.
    #[error("cannot start {0}: {1}")]
    Start(String, io::Error),
    /// It ended, or never was ready.
    #[error("node {node} did not become ready: {why}")]
    NotReady {
        /// Which.
        node: usize,
        /// The end of its log.
        why: String,
    },
    /// Two operators' files.
    #[error("the scenario has a section [front] of the operators' file, and --features names another file: one of the two must go")]
    TwoFiles,
    /// Its files cannot be written.
    #[error("cannot write {}: {error}", .path.display())]
    Files {
        /// Which.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
}

/// The events of all nodes' processes, in order.
pub type NodeEvents = Arc<Mutex<Vec<NodeEvent>>>;

/// What all nodes of a run have in common.
pub struct NodeEnvironment<'a> {
    /// The fleet that they belong to.
    pub scenario: &'a Scenario,
    /// The seed of the run.
    pub seed: u64,
    /// What is started.
    pub program: Program,
    /// Where their configurations go.
    pub folder: &'a Path,
    /// Where they listen, for their clients.
    pub table: Table,
    /// The record of their processes.
    pub events: NodeEvents,
    /// The run's start, which times of events count from.
    pub start: Instant,
    /// Running counts, which the circuit breakers they log are added to.
    pub live: Arc<Live>,
}

/// One node, over all starts of its process.
pub struct Node {
    index: usize,
    program: Program,
    config: Value,
    discovery: [SocketAddr; 2],
    /// Which of the two its configuration names.
    current_discovery: usize,
    file: PathBuf,
    table: Table,
    events: NodeEvents,
    start: Instant,
    front_late: Duration,
    child: Option<Child>,
    log: LogTail,
    live: Arc<Live>,
}

impl Node {
    /// A node that is not started yet, with the two addresses that discovery answers it at.
    pub fn new(index: usize, discovery: [SocketAddr; 2], environment: &NodeEnvironment) -> Self {
        let NodeEnvironment { scenario, seed, .. } = *environment;
        Self {
            index,
            program: environment.program.clone(),
            config: config(index, scenario, seed, discovery[0]),
            discovery,
            current_discovery: 0,
            file: environment.folder.join(format!("n{index}.json")),
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
        tracing::info!(node = self.index, life = ?event, word = detail, "a node");
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

    /// Puts its configuration in place whole, as it must be where a process may be reading it.
    fn write_config(&self) -> Result<(), NodeError> {
        let new = self.file.with_extension("new");
        std::fs::write(&new, self.config.to_string())
            .and_then(|()| std::fs::rename(&new, &self.file))
            .map_err(|error| NodeError::Files {
                path: self.file.clone(),
                error,
            })
    }

    /// Its position in the fleet.
    pub fn index(&self) -> usize {
        self.index
    }

    /// The process's id, while it runs.
    pub fn pid(&self) -> Option<i32> {
        self.child
            .as_ref()?
            .id()
            .and_then(|id| i32::try_from(id).ok())
    }

    /// Starts its process and waits until it is ready; then clients get its address.
    pub async fn start(&mut self) -> Result<SocketAddr, NodeError> {
        self.write_config()?;
        let address = match self.program.clone() {
            Program::InProcess(launch) => launch(self.config.clone())
                .map_err(|error| NodeError::Start("a node inside".into(), error))?,
            Program::Nothing => return Err(self.not_ready("there is none")),
            Program::Binary(path, arguments) => self.start_process(&path, &arguments).await?,
        };
        self.wait_until_healthy(address).await?;
        self.record_event(ProcessEvent::Ready, "");
        self.set_address(Some(address));
        Ok(address)
    }

    /// Starts a binary as the platform does; where it listens.
    async fn start_process(
        &mut self,
        path: &Path,
        arguments: &[String],
    ) -> Result<SocketAddr, NodeError> {
        let discovery = self.discovery[self.current_discovery];
        let mut child = Command::new(path)
            .args(arguments)
            .env("LB_CONFIG", &self.file)
            .env("LB_DISCOVERY", discovery.to_string())
            .env_remove("LB_NAME")
            .env_remove("LB_LISTEN")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            // Ctrl-C is for the lab, which ends its nodes itself.
            .process_group(0)
            .spawn()
            .map_err(|error| NodeError::Start(path.display().to_string(), error))?;
        let stderr = child.stderr.take();
        self.child = Some(child);
        let stderr = stderr.ok_or_else(|| self.not_ready("it has no standard error"))?;
        let mut lines = BufReader::new(stderr).lines();
        let listens = listening_address(&mut lines, &self.log);
        let address = timeout(READY_TIMEOUT, listens).await.ok().flatten();
        tokio::spawn(log::follow(lines, self.log.clone(), self.live.clone()));
        address.ok_or_else(|| self.not_ready(&self.log.text()))
    }

    async fn wait_until_healthy(&self, address: SocketAddr) -> Result<(), NodeError> {
        let started = Instant::now();
        while !healthy(address).await {
            if started.elapsed() > READY_TIMEOUT {
                return Err(self.not_ready(&self.log.text()));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn not_ready(&self, why: &str) -> NodeError {
        NodeError::NotReady {
            node: self.index,
            why: why.to_owned(),
        }
    }

    /// Whether it has exited by itself; `true` only the first time.
    pub fn has_died(&mut self) -> bool {
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
            // It may have ended meanwhile, which shows elsewhere.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Plays a fault on this node. After SIGHUP: which discovery address it followed before.
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
            FaultKind::NodeHup => return self.move_discovery().map(Some),
            _ => {}
        }
        Ok(None)
    }

    /// Gives it a new configuration with discovery at its other address; which one it was before.
    pub fn move_discovery(&mut self) -> Result<usize, NodeError> {
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

    /// Sends SIGTERM, and SIGKILL if it does not exit in time.
    pub async fn stop(&mut self) {
        if self.child.is_none() {
            return;
        }
        self.record_event(ProcessEvent::Terminating, "");
        self.signal(Signal::SIGTERM);
        sleep(TERMINATED_IN_TABLE).await;
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
