//! Messages between the run and its workers, as JSON lines on a worker's standard input and output.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Setup of one simulated node.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct NodeSetup {
    /// Number of the node in the fleet.
    pub number: usize,
    /// The node's two addresses of discovery. Each new configuration switches to the other one.
    pub discovery: [SocketAddr; 2],
}

/// Setup of a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    /// Path of the platform's configuration, the source of the nodes' settings.
    pub configuration: PathBuf,
    /// Nodes run by the worker.
    pub nodes: Vec<NodeSetup>,
    /// Seed of all random draws.
    pub seed: u64,
    /// Requests per second of each node.
    pub request_rate: f64,
}

/// Command to a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerCommand {
    /// Sets the worker up. Must be the first command.
    SetUp(Setup),
    /// Starts these nodes; running ones are stopped first.
    Start(Vec<usize>),
    /// Applies the configuration of this version to all nodes.
    Configure(u64),
    /// Requests the counters.
    Count,
}

/// Message from a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// The worker is set up.
    Ready,
    /// Lists applied by nodes.
    InForce(Vec<AppliedList>),
    /// Counters since the worker's start.
    Counted(WorkerCounts),
    /// The worker failed with this error.
    Failed(String),
}

/// List applied by a node.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppliedList {
    /// Number of the node.
    pub node: usize,
    /// Incarnation of the node, counted from 1.
    pub incarnation: u32,
    /// Version of the list.
    pub list: u64,
    /// Version of the configuration under which the list was requested.
    pub configuration: u64,
    /// Time of application, on the machine's monotonic clock.
    pub at_us: u64,
}

/// Counters of a worker, summed over all of its nodes.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct WorkerCounts {
    /// Generated requests.
    pub requests: u64,
    /// Requests for which the decision module chose a server.
    pub sent: u64,
    /// Processor time of the decision module for all generated requests, in nanoseconds.
    pub request_processor_ns: u64,
    /// Failed calls to discovery.
    pub failed_calls: u64,
}
