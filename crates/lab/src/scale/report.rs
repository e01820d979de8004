//! What a scale run measured. It is written as JSON by its derived `Serialize`, and as a table by its `Display`.

mod text;

use crate::scale::bounds::{Estimate, Limits};
use crate::scale::convergence::TimeSummary;
use crate::scale::counts::ControlCounts;
use crate::scale::options::{FaultKind, Options};
use crate::scale::traffic::TrafficCounts;
use serde::Serialize;

/// A whole run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was asked for.
    pub options: Options,
    /// What it was estimated to take.
    pub estimate: Estimate,
    /// What this machine allows.
    pub limits: Limits,
    /// Seconds that were measured: from the fleet's first being up to date to the end.
    pub measured_s: f64,
    /// Nodes that did not have the newest list and configuration at the end.
    pub behind_at_end: usize,
    /// Messages and bytes; the same for a seed in a step-wise run in which no watch is renewed.
    pub counts: Counts,
    /// Discovery's stand-in, and what nodes need of it.
    pub discovery: Discovery,
    /// A real node, on average.
    pub real_node: Option<Node>,
    /// A simulated node, on average.
    pub simulated_node: Option<Node>,
    /// The relays between, by tier from discovery on.
    pub relays: Vec<RelayTier>,
    /// Resident memory of a worker without nodes, in KiB.
    pub empty_worker_kib: u64,
    /// From a planned change of the list until nodes have it in force.
    pub list_change: ChangeTimes,
    /// From a planned configuration until nodes have a list by it in force.
    pub configuration: ChangeTimes,
    /// From the start of the whole fleet to a node's first list in force.
    pub start: StartTimes,
    /// The fault, if one was played.
    #[serde(rename = "trouble")]
    pub fault: Option<Fault>,
    /// What clients of real nodes saw.
    pub clients: TrafficCounts,
}

/// Messages and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Changes of the list that were made, those of a fault with them.
    pub list_changes: u64,
    /// Configurations that were given out.
    pub configurations: u64,
    /// With real nodes, from the first start on.
    pub real: ControlCounts,
    /// With simulated nodes, from the first start on; with relays it is these that they call.
    pub simulated: ControlCounts,
    /// At discovery, with all that call there, from the first start on.
    pub discovery: ControlCounts,
    /// With real nodes, while it was measured.
    pub real_measured: ControlCounts,
    /// With simulated nodes, while it was measured.
    pub simulated_measured: ControlCounts,
    /// At discovery, while it was measured.
    pub discovery_measured: ControlCounts,
}

/// The relays of one tier. Figures of one relay are means.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RelayTier {
    /// So many.
    pub relays: usize,
    /// Control of one relay with its callers.
    pub traffic: Traffic,
    /// With callers of all of them, from the first start on.
    pub callers: ControlCounts,
    /// The same, while it was measured.
    pub callers_measured: ControlCounts,
    /// Calls of all of them that upstream did not answer with a list, from the first start on.
    pub upstream_failed: u64,
    /// Processor time of one, in microseconds for each second; ten questions for its state a second are in it.
    pub processor_us_per_s: f64,
    /// Resident memory of one at the end, in KiB.
    pub resident_kib: f64,
    /// Connections of callers with one at the end.
    pub connections: f64,
}

/// Discovery.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Discovery {
    /// Control with all nodes.
    pub traffic: Traffic,
    /// Processor time of its thread, in microseconds for each second.
    pub processor_us_per_s: f64,
    /// Share of the time that its turns took, by the stated costs.
    pub busy_share: f64,
    /// Resident memory of the run's own process, which holds it, in KiB.
    pub resident_kib: u64,
    /// Connections that were open at the end.
    pub connections: usize,
    /// The most that ever were.
    pub most_connections: usize,
}

/// Control a second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Traffic {
    /// Messages to discovery.
    pub calls_per_s: f64,
    /// Their bytes.
    pub call_bytes_per_s: f64,
    /// Messages from discovery.
    pub answers_per_s: f64,
    /// Their bytes.
    pub answer_bytes_per_s: f64,
}

impl Traffic {
    /// Of each of so many nodes.
    pub fn of(counts: &ControlCounts, seconds: f64, nodes: usize) -> Self {
        let each = |count: u64| count as f64 / seconds / nodes.max(1) as f64;
        Self {
            calls_per_s: each(counts.calls()),
            call_bytes_per_s: each(counts.call_bytes),
            answers_per_s: each(counts.answers()),
            answer_bytes_per_s: each(counts.answer_bytes),
        }
    }
}

/// A node, on average over its kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Node {
    /// Control with discovery.
    pub traffic: Traffic,
    /// Processor time, in microseconds for each second.
    pub processor_us_per_s: f64,
    /// Of that, what is not for requests; unknown for a real node that has requests.
    pub control_processor_us_per_s: Option<f64>,
    /// Resident memory at the end, in KiB: of a simulated node its part of what its worker grew by with its nodes.
    pub resident_kib: f64,
    /// Open sockets at the end, of a real node with its listener.
    pub connections: f64,
    /// Requests that its decision module handled, a second; a simulated node's.
    pub requests_per_s: Option<f64>,
    /// Of those, the ones that it chose a server for; the others it refused.
    pub sent_per_s: Option<f64>,
}

/// Times of changes.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ChangeTimes {
    /// To the last node.
    pub to_last_node: TimeSummary,
    /// To each node.
    pub to_each_node: TimeSummary,
}

/// Times of starts; the worst is the whole group's.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct StartTimes {
    /// Real nodes, from the start of their process.
    pub real: TimeSummary,
    /// Simulated nodes.
    pub simulated: TimeSummary,
}

/// How a fault went.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Fault {
    /// What was played.
    pub kind: FaultKind,
    /// From its begin until the last node had the change that it is; only a lost zone is one.
    pub to_last_node_ms: Option<f64>,
    /// From its end until the last node had the list as it was then.
    pub recovered_ms: Option<f64>,
    /// Starts of the restarted nodes.
    pub restarted: Option<StartTimes>,
    /// Messages of the whole fleet's control from its begin on.
    pub counts: ControlCounts,
    /// Calls of simulated nodes that failed, in the whole run.
    pub failed_calls: u64,
}
