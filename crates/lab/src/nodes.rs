//! The nodes under test: real processes of a given binary, their configuration, their signals and their ends.

use crate::client::{healthy, Live, Table};
use crate::record::{NodeEvent, ProcessEvent};
use crate::scenario::{Effect, Fault, Kind, Scenario};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
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
/// Of a node's log, the lines kept for a report of its death.
const LOG_TAIL_LINES: usize = 20;

/// What is under test.
#[derive(Clone)]
pub enum Program {
    /// A binary, started as the platform does, with these arguments.
    Binary(PathBuf, Vec<String>),
    /// Something inside this process, which is given a node's configuration and says where it listens: for tests of
    /// the checker. It cannot be killed or signalled.
    InProcess(Arc<dyn Fn(Value) -> io::Result<SocketAddr> + Send + Sync>),
    /// Nothing: clients ask the servers themselves, for what the rig can do without a node.
    Nothing,
}

impl Program {
    /// The same with this section `front` of the operators' file, which is written into `folder`.
    pub fn with_front(self, front: &toml::Table, folder: &Path) -> Result<Self, NodeError> {
        let Self::Binary(path, mut arguments) = self else {
            return Ok(self);
        };
        if front.is_empty() {
            return Ok(Self::Binary(path, arguments));
        }
        if arguments.iter().any(|argument| argument == "--features") {
            return Err(NodeError::TwoFiles);
        }
        let file = folder.join("features.toml");
        let whole =
            toml::Table::from_iter([("front".to_owned(), toml::Value::Table(front.clone()))]);
        std::fs::write(&file, whole.to_string()).map_err(|error| NodeError::Files {
            path: file.clone(),
            error,
        })?;
        arguments.extend(["--features".to_owned(), file.display().to_string()]);
        Ok(Self::Binary(path, arguments))
    }
}

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
    log: Arc<Mutex<Vec<String>>>,
    live: Arc<Live>,
}

impl Node {
    /// A node that is not started yet. `folder` is where its configuration goes.
    #[expect(
        clippy::too_many_arguments,
        reason = "a node's whole surroundings, named once"
    )]
    pub fn new(
        index: usize,
        scenario: &Scenario,
        seed: u64,
        program: Program,
        discovery: [SocketAddr; 2],
        folder: &Path,
        table: Table,
        events: NodeEvents,
        start: Instant,
        live: Arc<Live>,
    ) -> Self {
        Self {
            index,
            program,
            config: config(index, scenario, seed, discovery[0]),
            discovery,
            current_discovery: 0,
            file: folder.join(format!("n{index}.json")),
            table,
            events,
            start,
            front_late: Duration::from_secs_f64(scenario.fleet.front_late_s.get()),
            child: None,
            log: Arc::default(),
            live,
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
        let address = match &self.program {
            Program::InProcess(launch) => launch(self.config.clone())
                .map_err(|error| NodeError::Start("a node inside".into(), error))?,
            Program::Nothing => {
                return Err(NodeError::NotReady {
                    node: self.index,
                    why: "there is none".into(),
                })
            }
            Program::Binary(path, arguments) => {
                let mut child = Command::new(path)
                    .args(arguments)
                    .env("LB_CONFIG", &self.file)
                    .env(
                        "LB_DISCOVERY",
                        self.discovery[self.current_discovery].to_string(),
                    )
                    .env_remove("LB_NAME")
                    .env_remove("LB_LISTEN")
                    .stdin(Stdio::null())
                    .stdout(Stdio::null())
                    .stderr(Stdio::piped())
                    .kill_on_drop(true)
                    // Ctrl-C is for the rig, which ends its nodes itself.
                    .process_group(0)
                    .spawn()
                    .map_err(|error| NodeError::Start(path.display().to_string(), error))?;
                let stderr = child.stderr.take();
                self.child = Some(child);
                let Some(stderr) = stderr else {
                    return Err(NodeError::NotReady {
                        node: self.index,
                        why: "it has no standard error".into(),
                    });
                };
                let mut lines = BufReader::new(stderr).lines();
                let listens = async {
                    while let Ok(Some(line)) = lines.next_line().await {
                        if let Some((_, address)) = line.split_once(" listens on ") {
                            return address.trim().parse().ok();
                        }
                        keep(&self.log, line);
                    }
                    None
                };
                let address = timeout(READY_TIMEOUT, listens).await.ok().flatten();
                let (log, live) = (self.log.clone(), self.live.clone());
                tokio::spawn(async move {
                    while let Ok(Some(line)) = lines.next_line().await {
                        if line.starts_with("breaker of ") && line.contains(" tripped") {
                            live.tripped();
                        }
                        keep(&log, line);
                    }
                });
                address.ok_or_else(|| NodeError::NotReady {
                    node: self.index,
                    why: self.log_tail(),
                })?
            }
        };
        let started = Instant::now();
        while !healthy(address).await {
            if started.elapsed() > READY_TIMEOUT {
                return Err(NodeError::NotReady {
                    node: self.index,
                    why: self.log_tail(),
                });
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        self.record_event(ProcessEvent::Ready, "");
        self.set_address(Some(address));
        Ok(address)
    }

    /// The end of its log.
    fn log_tail(&self) -> String {
        let log = self
            .log
            .lock()
            .map(|log| log.join("; "))
            .unwrap_or_default();
        if log.is_empty() {
            "it said nothing".to_owned()
        } else {
            log
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
            &format!("{status}; {}", self.log_tail()),
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
            Kind::NodeKill => {
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
            Kind::NodeTerm => {
                self.stop().await;
                self.start().await?;
            }
            Kind::NodeHup => return self.move_discovery().map(Some),
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
        // Connections keep coming for a while after the signal.
        sleep(Duration::from_millis(300)).await;
        self.set_address(None);
        match self.wait().await {
            Some(status) if status.success() => self.record_event(ProcessEvent::Exited, ""),
            Some(status) => self.record_event(
                ProcessEvent::Died,
                &format!("{status} after SIGTERM; {}", self.log_tail()),
            ),
            None => {
                self.record_event(ProcessEvent::Died, "it did not end within 4.8 s of SIGTERM");
                self.signal(Signal::SIGKILL);
                self.wait().await;
            }
        }
    }
}

fn keep(log: &Mutex<Vec<String>>, line: String) {
    if let Ok(mut log) = log.lock() {
        if log.len() >= LOG_TAIL_LINES {
            log.remove(0);
        }
        log.push(line);
    }
}

/// A node's configuration, as the platform writes it.
pub(crate) fn config(index: usize, scenario: &Scenario, seed: u64, discovery: SocketAddr) -> Value {
    let fleet = &scenario.fleet;
    let us = |seconds: f64| (seconds * 1e6) as u64;
    let lanes: Vec<_> = scenario
        .classes
        .iter()
        .map(|class| {
            let effect = match class.effect {
                Effect::Safe => "safe",
                Effect::Keyed => "keyed",
                Effect::Unsafe => "unsafe",
            };
            json!({
                "name": class.name, "effect": effect, "dedup_scope": "all", "worth": class.worth.get(),
                "promise_us": us(class.aim_ms.get() / 1e3), "hard_limit_us": us(class.deadline_ms.get() / 1e3),
                "repeat_window_us": us(class.window_s.get()), "late_value": 0.0,
            })
        })
        .collect();
    json!({
        "name": format!("n{index}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": format!("{:016x}", crate::plan::mix(seed ^ index as u64)),
        "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {
            "az": fleet.zones[index % fleet.zones.len()], "zones": fleet.zones, "balancers": fleet.nodes,
            "membership_mode": "subscribe", "weights": "cores", "orgs": [], "lanes": lanes,
            "family_info": {"mode": "through"},
            "report": {"fields": if fleet.reports { "inflight,queue,util" } else { "" }},
            "limits": {
                "connect_timeout_us": 250_000, "keepalive_us": us(fleet.idle_close_s.get()), "most_tries": 6,
                "cancelling": true, "retry_after": true, "max_retry_after_us": 2_000_000, "second_copies": true,
                "probing": false,
            },
            "safety": {
                "cold_share": fleet.cold_share.get(), "warm_within_us": us(fleet.warm_s.get()),
                "fall_multiple": fleet.fall_times.get(), "fall_us": us(fleet.fall_s.get()),
            },
        },
    })
}
