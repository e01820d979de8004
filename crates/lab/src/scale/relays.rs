//! Relay processes of a scale run, in tiers between discovery and the nodes. They run this
//! program's binary.

use crate::http::{Conn, ReadError};
use crate::scale::options::Options;
use slatelink_node::relay::{RelayStatus, STATUS_PATH};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::task::JoinSet;
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};

/// Limit on the time until a started relay listens, and on the time until it holds a list.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two status requests to a starting relay that does not hold a list yet.
const START_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Pause between two status requests to a relay during the run.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a status request is abandoned.
const STATUS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a relay that has not exited on SIGTERM is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Failure to start a relay or to read its status.
#[derive(Debug, Error)]
pub enum RelayProcessError {
    /// The process cannot be started.
    #[error("cannot start a relay: {0}")]
    Start(io::Error),
    /// The relay exited without a log line, or its first log line has no address.
    #[error("the first log line of a relay does not end with an address: {0:?}")]
    NoAddress(String),
    /// The relay does not hold a list in time.
    #[error("relay {0} had no list {seconds} s after it began to listen", seconds = START_TIMEOUT.as_secs())]
    NoList(SocketAddr),
    /// The status request failed.
    #[error("status request to relay {0} failed: {1}")]
    NoStatus(SocketAddr, StatusError),
}

/// Failure of a status request.
#[derive(Debug, Error)]
pub enum StatusError {
    /// The relay cannot be reached.
    #[error("{0}")]
    Call(#[from] io::Error),
    /// The response cannot be read.
    #[error("{0}")]
    Response(#[from] ReadError),
    /// The body of the response is not a relay status.
    #[error("{0}")]
    Body(#[from] serde_json::Error),
    /// The relay did not respond within `STATUS_TIMEOUT`.
    #[error("no response within the time limit")]
    Timeout(#[from] Elapsed),
}

/// Client for the status resource of a relay, with a connection that is reused.
struct StatusClient {
    address: SocketAddr,
    conn: Option<Conn>,
}

impl StatusClient {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            conn: None,
        }
    }

    async fn fetch(&mut self) -> Result<RelayStatus, RelayProcessError> {
        let result = timeout(STATUS_TIMEOUT, request_status(self.address, &mut self.conn)).await;
        result
            .unwrap_or_else(|elapsed| Err(elapsed.into()))
            .map_err(|error| RelayProcessError::NoStatus(self.address, error))
    }
}

/// Requests the status of a relay, on the idle connection of the previous request if there is one.
/// The connection is kept only after a successful request.
async fn request_status(
    address: SocketAddr,
    idle_conn: &mut Option<Conn>,
) -> Result<RelayStatus, StatusError> {
    let mut conn = match idle_conn.take() {
        Some(conn) => conn,
        None => Conn::new(TcpStream::connect(address).await?)?,
    };
    conn.write(format!("GET {STATUS_PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())
        .await?;
    let status = serde_json::from_slice(&conn.response().await?.body)?;
    *idle_conn = Some(conn);
    Ok(status)
}

/// A relay process.
pub struct RelayProcess {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    child: Child,
    latest_status: Rc<RefCell<RelayStatus>>,
    /// Tasks that read the relay's log and request its status; dropping the set aborts them.
    _tasks: JoinSet<()>,
}

impl RelayProcess {
    /// Starts a relay and waits until it holds a list.
    async fn start(
        program: &Path,
        upstream: &[SocketAddr],
        lease_ms: u64,
    ) -> Result<Self, RelayProcessError> {
        let mut child = Command::new(program)
            .args([
                "relay",
                "--listen",
                "127.0.0.1:0",
                "--lease-ms",
                &lease_ms.to_string(),
                "--upstream",
            ])
            .args(upstream.iter().map(SocketAddr::to_string))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            // Ctrl-C must reach only the run, which ends the relays itself.
            .process_group(0)
            .spawn()
            .map_err(RelayProcessError::Start)?;
        let no_address = || RelayProcessError::NoAddress(String::new());
        let mut log = BufReader::new(child.stderr.take().ok_or_else(no_address)?).lines();
        let address = read_address(&mut log).await?;
        let latest_status = Rc::new(RefCell::new(wait_for_list(address).await?));
        let mut tasks = JoinSet::new();
        tasks.spawn_local(discard_log(log));
        tasks.spawn_local(poll_status(address, latest_status.clone()));
        Ok(Self {
            address,
            child,
            latest_status,
            _tasks: tasks,
        })
    }

    /// Returns the process id, unless the process is known to have exited.
    pub fn pid(&self) -> Option<i32> {
        self.child.id().and_then(|id| i32::try_from(id).ok())
    }

    /// Requests the present status of the relay.
    pub async fn status(&self) -> Result<RelayStatus, RelayProcessError> {
        StatusClient::new(self.address).fetch().await
    }

    async fn end(mut self) {
        if let Some(pid) = self.pid() {
            // The process may have exited in the meantime.
            let _ =
                nix::sys::signal::kill(nix::unistd::Pid::from_raw(pid), nix::sys::signal::SIGTERM);
        }
        if timeout(STOP_TIMEOUT, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

/// Returns the address at the end of the first line of a relay's log.
async fn read_address(
    log: &mut Lines<BufReader<ChildStderr>>,
) -> Result<SocketAddr, RelayProcessError> {
    let line = timeout(START_TIMEOUT, log.next_line())
        .await
        .ok()
        .and_then(Result::ok)
        .flatten()
        .unwrap_or_default();
    let address = line.rsplit(' ').next().and_then(|field| field.parse().ok());
    address.ok_or(RelayProcessError::NoAddress(line))
}

/// Waits until a relay holds a list, and returns its status. A relay without a list rejects calls,
/// and such calls would appear in the counts.
async fn wait_for_list(address: SocketAddr) -> Result<RelayStatus, RelayProcessError> {
    let mut client = StatusClient::new(address);
    let polling = async {
        loop {
            let status = client.fetch().await?;
            if status.version.is_some() {
                return Ok(status);
            }
            sleep(START_POLL_INTERVAL).await;
        }
    };
    timeout(START_TIMEOUT, polling)
        .await
        .map_err(|_| RelayProcessError::NoList(address))?
}

/// Reads the log to its end, so that the relay never blocks on a full pipe.
async fn discard_log(mut log: Lines<BufReader<ChildStderr>>) {
    while let Ok(Some(_)) = log.next_line().await {}
}

/// Updates the status at an interval. If a relay does not respond, its last status stays.
async fn poll_status(address: SocketAddr, latest_status: Rc<RefCell<RelayStatus>>) {
    let mut client = StatusClient::new(address);
    loop {
        if let Ok(status) = client.fetch().await {
            *latest_status.borrow_mut() = status;
        }
        sleep(STATUS_INTERVAL).await;
    }
}

/// All relays of a run.
#[derive(Default)]
pub struct Relays {
    /// Relays by tier, the tier next to discovery first.
    pub tiers: Vec<Vec<RelayProcess>>,
}

impl Relays {
    /// Starts all tiers one after the other. Each relay of the first tier calls the discovery
    /// address with its index.
    pub async fn start(
        options: &Options,
        program: &Path,
        discovery: &[SocketAddr],
    ) -> Result<Self, RelayProcessError> {
        let mut relays = Self::default();
        for (tier, count) in options.relays.iter().enumerate() {
            let mut started = Vec::with_capacity(*count);
            for index in 0..*count {
                let upstream = relays.upstream(tier, index, discovery);
                started
                    .push(RelayProcess::start(program, &upstream, options.relay_lease_ms).await?);
            }
            relays.tiers.push(started);
        }
        Ok(relays)
    }

    /// Returns the upstream addresses of a relay: two adjacent relays of the tier above, chosen by
    /// the relay's index, or the relay's discovery address in the first tier.
    fn upstream(&self, tier: usize, index: usize, discovery: &[SocketAddr]) -> Vec<SocketAddr> {
        let Some(above) = tier.checked_sub(1).map(|above| &self.tiers[above]) else {
            return vec![discovery[index]];
        };
        let first = index % above.len();
        let second = (first + 1) % above.len();
        let mut indexes = vec![first, second];
        indexes.dedup();
        indexes
            .into_iter()
            .map(|index| above[index].address)
            .collect()
    }

    /// Returns the relay address for a node, or `None` without relays.
    pub fn address_for(&self, node: usize) -> Option<SocketAddr> {
        self.tiers
            .last()
            .map(|last| last[node % last.len()].address)
    }

    /// Checks whether all relays hold this version and all their callers have open watches.
    pub fn are_settled(&self, version: u64, options: &Options) -> bool {
        self.tiers.iter().enumerate().all(|(tier, relays)| {
            let latest_statuses = || relays.iter().map(|relay| relay.latest_status.borrow());
            let waiting: usize = latest_statuses().map(|status| status.waiting_watches).sum();
            latest_statuses().all(|status| status.version == Some(version))
                && waiting >= options.callers_of_tier(tier)
        })
    }

    /// Ends all relays, the tier next to the nodes first.
    pub async fn end(self) {
        for tier in self.tiers.into_iter().rev() {
            let mut end_tasks = JoinSet::new();
            for relay in tier {
                end_tasks.spawn_local(relay.end());
            }
            while end_tasks.join_next().await.is_some() {}
        }
    }
}
