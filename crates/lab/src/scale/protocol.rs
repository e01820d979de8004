//! Messages between the run and its workers: JSON lines on a worker's standard input and output.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// One simulated node.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct NodeSetup {
    /// Its number in the fleet.
    pub number: usize,
    /// Where discovery answers it; a new configuration takes it from one address to the other.
    pub discovery: [SocketAddr; 2],
}

/// What a worker runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    /// The platform's configuration that its nodes' settings are from.
    pub configuration: PathBuf,
    /// Its nodes.
    pub nodes: Vec<NodeSetup>,
    /// Of all that is drawn.
    pub seed: u64,
    /// Requests a second of each node.
    pub request_rate: f64,
}

/// An order for a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// The first of all: what to run.
    SetUp(Setup),
    /// Start these nodes; those that run are ended before.
    Start(Vec<usize>),
    /// A new configuration for all nodes, of this version.
    Configure(u64),
    /// Say what was counted so far.
    Count,
}

/// A message from a worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Message {
    /// It is set up.
    Ready,
    /// Lists that came into force.
    InForce(Vec<InForce>),
    /// What was counted so far.
    Counted(WorkerCounts),
    /// It cannot go on.
    Failed(String),
}

/// A node has a list in force.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct InForce {
    /// Which node.
    pub node: usize,
    /// Which of its starts, counted from 1.
    pub incarnation: u32,
    /// The list's version.
    pub list: u64,
    /// The version of the configuration under which it was asked for.
    pub configuration: u64,
    /// When, on the machine's monotonic clock.
    pub at_us: u64,
}

/// What a worker counts.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct WorkerCounts {
    /// Requests that were drawn.
    pub requests: u64,
    /// Of those, the ones that the decision module chose a server for.
    pub sent: u64,
    /// Processor time of the decision module for them, in nanoseconds.
    pub request_processor_ns: u64,
    /// Calls to discovery that failed.
    pub failed_calls: u64,
}
