//! Errors that end a scale run without a report.

use crate::nodes::NodeError;
use crate::scale::bounds::BoundsError;
use crate::scale::discovery::ServiceStopped;
use crate::scale::options::OptionsError;
use crate::scale::real::RealNodeFailure;
use crate::scale::relays::RelayProcessError;
use crate::scale::workers::{WorkerEnd, WorkersError};
use crate::scenario::ScenarioError;
use std::io;
use std::time::Duration;
use thiserror::Error;

/// Error that ends a scale run without a report.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The options are invalid.
    #[error(transparent)]
    Options(#[from] OptionsError),
    /// The run would exceed a resource bound.
    #[error(transparent)]
    Bounds(#[from] BoundsError),
    /// The run was stopped, for example by Ctrl-C.
    #[error("stopped")]
    Stopped,
    /// I/O on a file, socket or thread of the run itself failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The scenario of the real nodes is invalid.
    #[error("{0}")]
    Scenario(#[from] ScenarioError),
    /// A file of the nodes cannot be written.
    #[error("{0}")]
    Nodes(#[from] NodeError),
    /// A worker cannot be started or commanded.
    #[error(transparent)]
    Workers(#[from] WorkersError),
    /// A worker failed or ended.
    #[error("worker {0}: {1}")]
    Worker(usize, WorkerEnd),
    /// A worker did not answer in time.
    #[error("a worker did not answer in time")]
    WorkerTimeout,
    /// A real node failed.
    #[error("real node {0}: {1}")]
    RealNode(usize, RealNodeFailure),
    /// A relay cannot be started or does not report its state.
    #[error(transparent)]
    Relay(#[from] RelayProcessError),
    /// The simulated discovery stopped.
    #[error(transparent)]
    Discovery(#[from] ServiceStopped),
    /// Nodes had no list when the start timeout expired.
    #[error("{behind} of {nodes} nodes had no list {} s after the start", .waited.as_secs())]
    StartTimeout {
        /// Number of nodes without a list.
        behind: usize,
        /// Number of all nodes.
        nodes: usize,
        /// Duration of the wait.
        waited: Duration,
    },
    /// A histogram of times cannot be created.
    #[error("{0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}
