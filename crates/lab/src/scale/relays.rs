//! Relays of a scale run: processes of this program between discovery and the nodes, in tiers.

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

/// A relay listens, and has a list, within this.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two looks at whether a relay that starts has a list.
const START_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Pause between two calls for a relay's state while the run goes on.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// A call for its state is given up after this.
const STATUS_TIMEOUT: Duration = Duration::from_secs(10);
/// A relay that is told to stop ends within this, or is ended.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a relay is not there.
#[derive(Debug, Error)]
pub enum RelayProcessError {
    /// It cannot be started.
    #[error("cannot start a relay: {0}")]
    Start(io::Error),
    /// It ended or said something else.
    #[error("a relay did not say where it listens, but {0:?}")]
    NoAddress(String),
    /// It has no list.
    #[error("relay {0} had no list {seconds} s after its start", seconds = START_TIMEOUT.as_secs())]
    NoList(SocketAddr),
    /// It does not tell its state.
    #[error("relay {0} does not tell its state: {1}")]
    NoStatus(SocketAddr, StatusError),
}

/// Why a relay's state is not known.
#[derive(Debug, Error)]
pub enum StatusError {
    /// It cannot be called.
    #[error("{0}")]
    Call(#[from] io::Error),
    /// Its answer cannot be read.
    #[error("{0}")]
    Answer(#[from] ReadError),
    /// Its answer is no state.
    #[error("{0}")]
    Body(#[from] serde_json::Error),
    /// It did not answer within `STATUS_TIMEOUT`.
    #[error("no answer in time")]
    Timeout(#[from] Elapsed),
}

/// The connection for a relay's state.
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

    async fn ask(&mut self) -> Result<RelayStatus, RelayProcessError> {
        let exchanged = timeout(STATUS_TIMEOUT, exchange(self.address, &mut self.conn)).await;
        exchanged
            .unwrap_or_else(|elapsed| Err(elapsed.into()))
            .map_err(|error| RelayProcessError::NoStatus(self.address, error))
    }
}

/// One call for a relay's state, on the connection of the last one where that is left.
async fn exchange(
    address: SocketAddr,
    kept: &mut Option<Conn>,
) -> Result<RelayStatus, StatusError> {
    let mut conn = match kept.take() {
        Some(conn) => conn,
        None => Conn::new(TcpStream::connect(address).await?)?,
    };
    conn.write(format!("GET {STATUS_PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())
        .await?;
    let status = serde_json::from_slice(&conn.response().await?.body)?;
    *kept = Some(conn);
    Ok(status)
}

/// A relay's process.
pub struct RelayProcess {
    /// Where it listens.
    pub address: SocketAddr,
    child: Child,
    latest: Rc<RefCell<RelayStatus>>,
    /// Its log is read, and its state asked for, as long as it lives.
    _tasks: JoinSet<()>,
}

impl RelayProcess {
    /// Starts one and waits until it has a list.
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
            // Ctrl-C is for the run, which ends its relays itself.
            .process_group(0)
            .spawn()
            .map_err(RelayProcessError::Start)?;
        let missing = || RelayProcessError::NoAddress(String::new());
        let mut log = BufReader::new(child.stderr.take().ok_or_else(missing)?).lines();
        let address = address(&mut log).await?;
        let latest = Rc::new(RefCell::new(first_list(address).await?));
        let mut tasks = JoinSet::new();
        tasks.spawn_local(read_out(log));
        tasks.spawn_local(follow(address, latest.clone()));
        Ok(Self {
            address,
            child,
            latest,
            _tasks: tasks,
        })
    }

    /// Its process, while it runs.
    pub fn pid(&self) -> Option<i32> {
        self.child.id().and_then(|id| i32::try_from(id).ok())
    }

    /// Its state now.
    pub async fn status(&self) -> Result<RelayStatus, RelayProcessError> {
        StatusClient::new(self.address).ask().await
    }

    async fn end(mut self) {
        if let Some(pid) = self.pid() {
            // It may have ended this moment.
            let _ =
                nix::sys::signal::kill(nix::unistd::Pid::from_raw(pid), nix::sys::signal::SIGTERM);
        }
        if timeout(STOP_TIMEOUT, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

/// The address in the first line of a relay's log.
async fn address(log: &mut Lines<BufReader<ChildStderr>>) -> Result<SocketAddr, RelayProcessError> {
    let line = timeout(START_TIMEOUT, log.next_line())
        .await
        .ok()
        .and_then(Result::ok)
        .flatten()
        .unwrap_or_default();
    let address = line.rsplit(' ').next().and_then(|word| word.parse().ok());
    address.ok_or(RelayProcessError::NoAddress(line))
}

/// A relay that is called before it has a list would refuse those calls, which are counted.
async fn first_list(address: SocketAddr) -> Result<RelayStatus, RelayProcessError> {
    let mut client = StatusClient::new(address);
    let asked = async {
        loop {
            let status = client.ask().await?;
            if status.version.is_some() {
                return Ok(status);
            }
            sleep(START_POLL_INTERVAL).await;
        }
    };
    timeout(START_TIMEOUT, asked)
        .await
        .map_err(|_| RelayProcessError::NoList(address))?
}

async fn read_out(mut log: Lines<BufReader<ChildStderr>>) {
    while let Ok(Some(_)) = log.next_line().await {}
}

/// Keeps the state up to date. A relay that does not answer keeps the one that it had.
async fn follow(address: SocketAddr, latest: Rc<RefCell<RelayStatus>>) {
    let mut client = StatusClient::new(address);
    loop {
        if let Ok(status) = client.ask().await {
            *latest.borrow_mut() = status;
        }
        sleep(STATUS_INTERVAL).await;
    }
}

/// All relays.
#[derive(Default)]
pub struct Relays {
    /// By tier, from discovery on.
    pub tiers: Vec<Vec<RelayProcess>>,
}

impl Relays {
    /// Starts all tiers, one after the other; the first one's relays call at these addresses of discovery.
    pub async fn start(
        options: &Options,
        program: &Path,
        discovery: &[SocketAddr],
    ) -> Result<Self, RelayProcessError> {
        let mut relays = Self::default();
        for (tier, count) in options.relays.iter().enumerate() {
            let mut started = Vec::with_capacity(*count);
            for place in 0..*count {
                let upstream = relays.upstream(tier, place, discovery);
                started
                    .push(RelayProcess::start(program, &upstream, options.relay_lease_ms).await?);
            }
            relays.tiers.push(started);
        }
        Ok(relays)
    }

    /// The sources of a relay: its own of the tier above, and the next one of that.
    fn upstream(&self, tier: usize, place: usize, discovery: &[SocketAddr]) -> Vec<SocketAddr> {
        let Some(above) = tier.checked_sub(1).map(|above| &self.tiers[above]) else {
            return vec![discovery[place]];
        };
        let first = place % above.len();
        let second = (first + 1) % above.len();
        let mut places = vec![first, second];
        places.dedup();
        places
            .into_iter()
            .map(|place| above[place].address)
            .collect()
    }

    /// Where a node calls; `None` where there are no relays.
    pub fn address_for(&self, node: usize) -> Option<SocketAddr> {
        self.tiers
            .last()
            .map(|last| last[node % last.len()].address)
    }

    /// Whether all relays hold this version, and all their callers have it and watch.
    pub fn are_settled(&self, version: u64, options: &Options) -> bool {
        self.tiers.iter().enumerate().all(|(tier, relays)| {
            let latest = || relays.iter().map(|relay| relay.latest.borrow());
            let waiting: usize = latest().map(|status| status.waiting_watches).sum();
            latest().all(|status| status.version == Some(version))
                && waiting >= options.callers_of_tier(tier)
        })
    }

    /// Ends all of them, those that nodes call first.
    pub async fn end(self) {
        for tier in self.tiers.into_iter().rev() {
            let mut ending = JoinSet::new();
            for relay in tier {
                ending.spawn_local(relay.end());
            }
            while ending.join_next().await.is_some() {}
        }
    }
}
