//! Faults on the time line: what goes wrong, when, and with which servers or nodes.

use super::fleet::Fleet;
use super::number::{Bounded, Factor, Seconds};
use serde::{Deserialize, Serialize};

/// Something that goes wrong, from `at_s` on; with `for_s` it ends by itself.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds from the start.
    pub at_s: Seconds,
    /// For how long; to the end where nothing stands here.
    pub for_s: Option<Seconds>,
    /// What.
    pub kind: FaultKind,
    /// Which servers, by place from 0.
    #[serde(default)]
    pub servers: Vec<usize>,
    /// Or all servers of this zone.
    pub zone: Option<String>,
    /// Which nodes, by place from 0.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// For `slow`: so many times slower. For `discovery_late`: seconds.
    pub by: Option<Factor>,
    /// For `drain`: so many seconds after it is gone it is back, cold; else it stays away.
    pub back_s: Option<Seconds>,
    /// Each server or node so many seconds after the one before.
    #[serde(default = "Fault::no_interval")]
    pub apart_s: Seconds,
}

impl Fault {
    fn no_interval() -> Seconds {
        Bounded(0.0)
    }

    /// The servers it targets, of so many dealt out over these zones.
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
    /// A server's process dies: connections are reset and new ones too. After `for_s` it is back, cold and empty.
    Kill,
    /// A server accepts and never answers.
    Hang,
    /// A server works `by` times slower.
    Slow,
    /// A server runs each request and resets its connection.
    Reset,
    /// A server sends half of each answer and closes.
    #[serde(rename = "half")]
    Truncate,
    /// A server answers with what is no HTTP.
    Garbage,
    /// A server resets new connections and serves those it has.
    Refuse,
    /// Discovery reports that a server drains; after `for_s` it is gone, and back after `back_s`.
    Drain,
    /// A server leaves and a new one, cold and with another id, takes its place in the list.
    Replace,
    /// A server is cut off: nothing comes through, nothing is said. After `for_s` old connections are reset.
    #[serde(rename = "cut")]
    Partition,
    /// Discovery is down: calls are reset.
    DiscoveryDown,
    /// Discovery answers every call 503.
    DiscoveryRefuses,
    /// Discovery reports changes `by` seconds later than usual.
    DiscoveryLate,
    /// Discovery reports all servers as ready, whatever they are.
    #[serde(rename = "discovery_lies")]
    DiscoveryReportsAllReady,
    /// A node is killed and starts again after `for_s`.
    NodeKill,
    /// A node gets SIGTERM and, once it has ended, starts again.
    NodeTerm,
    /// A node gets SIGHUP with another address of discovery.
    NodeHup,
}

impl FaultKind {
    /// Whether it targets servers.
    pub fn targets_servers(self) -> bool {
        !self.targets_nodes() && !self.targets_discovery()
    }
    /// Whether it targets nodes.
    pub fn targets_nodes(self) -> bool {
        matches!(self, Self::NodeKill | Self::NodeTerm | Self::NodeHup)
    }
    /// Whether one without an end of its own stays as it is.
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
