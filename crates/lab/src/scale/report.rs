//! Report of a scale run: the derived `Serialize` writes it as JSON, and `Display` as a table.

mod text;

use crate::scale::bounds::{Estimate, Limits};
use crate::scale::convergence::TimeSummary;
use crate::scale::counts::ControlCounts;
use crate::scale::options::{FaultKind, Options};
use crate::scale::traffic::TrafficCounts;
use serde::Serialize;

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Options of the run.
    pub options: Options,
    /// Resources that the run was estimated to need.
    pub estimate: Estimate,
    /// Limits of the machine.
    pub limits: Limits,
    /// Duration of the measurement in seconds, from the time at which the whole fleet was first up
    /// to date.
    pub measured_s: f64,
    /// Nodes without the newest endpoint list and configuration in force at the end.
    pub behind_at_end: usize,
    /// Counts of messages and bytes. In a step-wise run without watch renewals, the same seed gives
    /// the same counts.
    pub counts: Counts,
    /// Simulated discovery, and the load that nodes put on it.
    pub discovery: Discovery,
    /// Averages over the real nodes.
    pub real_node: Option<Node>,
    /// Averages over the simulated nodes.
    pub simulated_node: Option<Node>,
    /// Relays by tier, the tier next to discovery first.
    pub relays: Vec<RelayTier>,
    /// Resident memory of a worker before it has nodes, in KiB, averaged over the workers.
    pub empty_worker_kib: u64,
    /// Times from a planned change of the endpoint list until nodes have the change in force.
    pub list_change: ChangeTimes,
    /// Times from a planned configuration until nodes have an endpoint list under that
    /// configuration in force.
    pub configuration: ChangeTimes,
    /// Times from the start of the whole fleet until nodes have their first endpoint list in force.
    pub start: StartTimes,
    /// Effects of the fault, if one was injected.
    #[serde(rename = "trouble")]
    pub fault: Option<Fault>,
    /// Requests of the clients of real nodes, by result.
    pub clients: TrafficCounts,
}

/// Counts of messages and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Changes of the endpoint list, including the changes of a fault.
    pub list_changes: u64,
    /// New configurations applied to the fleet.
    pub configurations: u64,
    /// Control traffic with real nodes, from the first start to the end.
    pub real: ControlCounts,
    /// Control traffic with simulated nodes, from the first start to the end: at the relays of the
    /// last tier, or at discovery in a run without relays.
    pub simulated: ControlCounts,
    /// Control traffic of discovery with all its callers, from the first start to the end.
    pub discovery: ControlCounts,
    /// Control traffic with real nodes during the measurement.
    pub real_measured: ControlCounts,
    /// Control traffic with simulated nodes during the measurement.
    pub simulated_measured: ControlCounts,
    /// Control traffic of discovery during the measurement.
    pub discovery_measured: ControlCounts,
}

/// Relays of one tier. Values for one relay are averages over the tier.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RelayTier {
    /// Number of relays in the tier.
    pub relays: usize,
    /// Control traffic of one relay with its callers.
    pub traffic: Traffic,
    /// Control traffic of all relays of the tier with their callers, from the first start to the
    /// end.
    pub callers: ControlCounts,
    /// Control traffic of all relays of the tier with their callers, during the measurement.
    pub callers_measured: ControlCounts,
    /// Calls of all relays of the tier to which upstream did not respond with an endpoint list,
    /// from the first start to the end.
    pub upstream_failed: u64,
    /// Processor time of one relay, in microseconds per second, including the processing of the
    /// run's ten status requests per second.
    pub processor_us_per_s: f64,
    /// Resident memory of one relay at the end, in KiB.
    pub resident_kib: f64,
    /// Connections of callers to one relay at the end.
    pub connections: f64,
}

/// Load and resource usage of the simulated discovery.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Discovery {
    /// Control traffic with all callers.
    pub traffic: Traffic,
    /// Processor time of the discovery thread, in microseconds per second.
    pub processor_us_per_s: f64,
    /// Share of the time in which discovery was busy with calls, at the configured costs.
    pub busy_share: f64,
    /// Resident memory of the run's own process, which contains discovery, in KiB.
    pub resident_kib: u64,
    /// Open connections at the end.
    pub connections: usize,
    /// Largest number of simultaneously open connections.
    pub most_connections: usize,
}

/// Control traffic per second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Traffic {
    /// Calls per second.
    pub calls_per_s: f64,
    /// Bytes of the calls per second.
    pub call_bytes_per_s: f64,
    /// Responses per second.
    pub answers_per_s: f64,
    /// Bytes of the responses per second.
    pub answer_bytes_per_s: f64,
}

impl Traffic {
    /// Returns the mean control traffic of one node, from the counts of `nodes` nodes over
    /// `seconds` seconds.
    pub fn of(counts: &ControlCounts, seconds: f64, nodes: usize) -> Self {
        let per_node_and_second = |count: u64| count as f64 / seconds / nodes.max(1) as f64;
        Self {
            calls_per_s: per_node_and_second(counts.calls()),
            call_bytes_per_s: per_node_and_second(counts.call_bytes),
            answers_per_s: per_node_and_second(counts.answers()),
            answer_bytes_per_s: per_node_and_second(counts.answer_bytes),
        }
    }
}

/// Averages over the nodes of one kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Node {
    /// Control traffic of the node.
    pub traffic: Traffic,
    /// Processor time, in microseconds per second.
    pub processor_us_per_s: f64,
    /// Processor time without the time for requests, in microseconds per second. It is unknown for
    /// a real node that has requests.
    pub control_processor_us_per_s: Option<f64>,
    /// Resident memory at the end, in KiB. For a simulated node, its share of the growth of the
    /// workers' memory since the workers had no nodes.
    pub resident_kib: f64,
    /// Open sockets at the end, including the listener of a real node.
    pub connections: f64,
    /// Requests per second that the decision module handled. Measured for simulated nodes only.
    pub requests_per_s: Option<f64>,
    /// Handled requests per second for which the module selected a server. It rejected the others.
    pub sent_per_s: Option<f64>,
}

/// Times until changes are in force.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ChangeTimes {
    /// Times until the last node has a change in force.
    pub to_last_node: TimeSummary,
    /// Times until each node has a change in force.
    pub to_each_node: TimeSummary,
}

/// Times of node starts. The worst time is the time of the whole group.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct StartTimes {
    /// Times of the real nodes, from the start of their process.
    pub real: TimeSummary,
    /// Times of the simulated nodes.
    pub simulated: TimeSummary,
}

/// Effects of a fault.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Time from the start of the fault until the last node had the resulting list change in force.
    /// Only the loss of a zone starts with a list change.
    pub to_last_node_ms: Option<f64>,
    /// Time from the end of the fault until the last node had the list change made at that time in
    /// force.
    pub recovered_ms: Option<f64>,
    /// Start times of the restarted nodes.
    pub restarted: Option<StartTimes>,
    /// Control traffic of discovery from the start of the fault to the end of the run.
    pub counts: ControlCounts,
    /// Failed calls of simulated nodes during the measurement.
    pub failed_calls: u64,
}
