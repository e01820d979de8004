//! Why a scale run ends without a report.

use crate::nodes::NodeError;
use crate::scale::bounds::BoundsError;
use crate::scale::options::OptionsError;
use crate::scale::real::RealNodeFailure;
use crate::scale::relays::RelayProcessError;
use crate::scale::service::ServiceEnded;
use crate::scale::workers::{WorkerEnd, WorkersError};
use crate::scenario::ScenarioError;
use std::io;
use std::time::Duration;
use thiserror::Error;

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
    Worker(usize, WorkerEnd),
    /// A worker that says nothing.
    #[error("a worker did not answer in time")]
    Silent,
    /// A real node that gave up.
    #[error("real node {0}: {1}")]
    RealNode(usize, RealNodeFailure),
    /// A relay.
    #[error(transparent)]
    Relay(#[from] RelayProcessError),
    /// The stand-in for discovery.
    #[error(transparent)]
    Service(#[from] ServiceEnded),
    /// The fleet.
    #[error("{behind} of {nodes} nodes had no list {} s after the start", .waited.as_secs())]
    NoStart {
        /// Nodes without one.
        behind: usize,
        /// All nodes.
        nodes: usize,
        /// How long the run waited for them.
        waited: Duration,
    },
    /// The histograms of times.
    #[error("{0}")]
    Times(#[from] hdrhistogram::CreationError),
}
