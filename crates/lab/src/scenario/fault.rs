//! Scheduled faults: kind, time, and the affected servers or nodes.

use super::fleet::Fleet;
use super::number::{Bounded, Factor, Seconds};
use serde::{Deserialize, Serialize};

/// A fault that begins at `at_s`; with `for_s` it ends by itself.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start time in seconds from the start of the load.
    pub at_s: Seconds,
    /// Duration; until the end of the run if absent.
    pub for_s: Option<Seconds>,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Indexes of the affected servers, from 0.
    #[serde(default)]
    pub servers: Vec<usize>,
    /// Zone whose servers are all affected, in place of `servers`.
    pub zone: Option<String>,
    /// Indexes of the affected nodes, from 0.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// For `slow`: the slowdown factor. For `discovery_late`: the additional delay in seconds.
    pub by: Option<Factor>,
    /// For `drain`: seconds from the removal until the server returns, cold; without a value the
    /// server stays removed.
    #[serde(rename = "back_s")]
    pub return_delay_s: Option<Seconds>,
    /// Seconds between the starts of the fault at consecutive servers or nodes.
    #[serde(rename = "apart_s", default = "Fault::no_interval")]
    pub interval_s: Seconds,
}

impl Fault {
    fn no_interval() -> Seconds {
        Bounded(0.0)
    }

    /// Returns the servers of the fleet that the fault targets.
    pub fn target_servers(&self, fleet: &Fleet) -> Vec<usize> {
        match &self.zone {
            Some(zone) => (0..fleet.servers)
                .filter(|&server| fleet.zone(server) == zone)
                .collect(),
            None => self.servers.clone(),
        }
    }
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A server is killed: open and new connections are reset. After `for_s` the server
    /// restarts, cold and with an empty cache.
    Kill,
    /// A server accepts connections and never answers.
    Hang,
    /// A server works slower by the factor `by`.
    Slow,
    /// A server runs each request and resets the connection without a response.
    Reset,
    /// A server sends half of each response and closes the connection.
    #[serde(rename = "half")]
    Truncate,
    /// A server answers with bytes that are not HTTP.
    Garbage,
    /// A server resets new connections and still serves the open ones.
    Refuse,
    /// Discovery reports a server as draining; after `for_s` the server is removed, and after a
    /// further `return_delay_s` it returns.
    Drain,
    /// A server leaves the list and a new one, cold and with another id, replaces it.
    Replace,
    /// A server is partitioned from the nodes: its connections stay silent. After `for_s` the
    /// connections opened before are reset.
    #[serde(rename = "cut")]
    Partition,
    /// Discovery is down: its connections are reset.
    DiscoveryDown,
    /// Discovery answers every call with status 503.
    DiscoveryRefuses,
    /// Discovery reports changes with an additional delay of `by` seconds.
    DiscoveryLate,
    /// Discovery reports all servers as ready, whatever their state.
    #[serde(rename = "discovery_lies")]
    DiscoveryReportsAllReady,
    /// A node is killed and restarts after `for_s`.
    NodeKill,
    /// A node receives SIGTERM and restarts once it has exited.
    NodeTerm,
    /// A node receives SIGHUP with a new discovery address.
    NodeHup,
}

impl FaultKind {
    /// Returns whether the fault targets servers.
    pub fn targets_servers(self) -> bool {
        !self.targets_nodes() && !self.targets_discovery()
    }
    /// Returns whether the fault targets nodes.
    pub fn targets_nodes(self) -> bool {
        matches!(self, Self::NodeKill | Self::NodeTerm | Self::NodeHup)
    }
    /// Returns whether a fault without a duration stays in effect until the end of the run.
    pub fn persists(self) -> bool {
        !self.targets_nodes() && self != Self::Replace
    }
    fn targets_discovery(self) -> bool {
        matches!(
            self,
            Self::DiscoveryDown
                | Self::DiscoveryRefuses
                | Self::DiscoveryLate
                | Self::DiscoveryReportsAllReady
        )
    }
}
