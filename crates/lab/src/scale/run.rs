//! A scale run from its first process to its report.

use crate::nodes::{NodeError, Program};
use crate::scale::bounds::{BoundsError, Estimate, Limits};
use crate::scale::fleet::Fleet;
use crate::scale::options::{Options, OptionsError};
use crate::scale::play::{Player, FLEET_START};
use crate::scale::relays::RelayProcessError;
use crate::scale::report::Report;
use crate::scale::service::ServiceEnded;
use crate::scale::workers::WorkersError;
use crate::scenario::ScenarioError;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::runtime;
use tokio::task::LocalSet;
use tokio::time::interval;

/// Whether the run is to stop is looked at so often.
const LOOK: Duration = Duration::from_millis(20);

/// Why there is no report.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The options make no sense.
    #[error(transparent)]
    Options(#[from] OptionsError),
    /// It would take too much.
    #[error(transparent)]
    Bounds(#[from] BoundsError),
    /// Ctrl-C, or another word to stop.
    #[error("stopped")]
    Stopped,
    /// Files, sockets or threads of the run itself.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The real nodes' description.
    #[error("{0}")]
    Scenario(#[from] ScenarioError),
    /// The real nodes' files.
    #[error("{0}")]
    Nodes(#[from] NodeError),
    /// A worker.
    #[error(transparent)]
    Workers(#[from] WorkersError),
    /// A worker that gave up.
    #[error("worker {0}: {1}")]
    Worker(usize, String),
    /// A worker that says nothing.
    #[error("a worker did not answer in time")]
    Silent,
    /// A real node that gave up.
    #[error("real node {0}: {1}")]
    RealNode(usize, String),
    /// A relay.
    #[error(transparent)]
    Relay(#[from] RelayProcessError),
    /// The stand-in for discovery.
    #[error(transparent)]
    Service(#[from] ServiceEnded),
    /// The fleet.
    #[error("{behind} of {nodes} nodes had no list {} s after the start", FLEET_START.as_secs())]
    NoStart {
        /// Nodes without one.
        behind: usize,
        /// All nodes.
        nodes: usize,
    },
    /// The histograms of times.
    #[error("{0}")]
    Times(#[from] hdrhistogram::CreationError),
}

/// How far a run is, for whoever watches.
#[derive(Debug, Default)]
pub struct Progress(Mutex<String>);

impl Progress {
    /// One line.
    pub fn line(&self) -> String {
        self.0.lock().map(|line| line.clone()).unwrap_or_default()
    }

    /// Puts another one in its place.
    pub fn say(&self, line: String) {
        if let Ok(mut said) = self.0.lock() {
            *said = line;
        }
    }
}

/// What makes a process a worker.
#[derive(Clone, Debug)]
pub struct WorkerProgram {
    /// The binary.
    pub path: PathBuf,
    /// With these arguments.
    pub arguments: Vec<String>,
}

/// The programs that a run starts.
#[derive(Clone)]
pub struct Programs {
    /// The real nodes'.
    pub node: Program,
    /// The workers'.
    pub worker: WorkerProgram,
    /// The relays' binary.
    pub relay: PathBuf,
}

/// Runs it, until it is over or `stop` is raised. Nothing that it started is left then.
pub fn run(
    options: &Options,
    programs: &Programs,
    stop: &Arc<AtomicBool>,
    progress: &Progress,
) -> Result<Report, ScaleError> {
    options.check()?;
    let (estimate, limits) = (Estimate::of(options), Limits::read()?);
    estimate.check(&limits)?;
    let one = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&one, async {
        progress.say("starting".to_owned());
        let mut fleet = Fleet::start(options, programs).await?;
        let played = tokio::select! {
            played = Player::new(&mut fleet, progress).play(estimate, limits) => played,
            () = stopped(stop) => Err(ScaleError::Stopped),
        };
        progress.say("ending".to_owned());
        let clients = fleet.end().await;
        Ok(Report { clients, ..played? })
    })
}

async fn stopped(stop: &AtomicBool) {
    let mut looks = interval(LOOK);
    while !stop.load(Ordering::Relaxed) {
        looks.tick().await;
    }
}
