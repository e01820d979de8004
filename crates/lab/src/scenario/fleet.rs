//! The fleet under load: nodes, cache servers and the player database.

use super::number::{share, Bounded, Factor, Milliseconds, Seconds, Share};
use serde::{Deserialize, Serialize};

/// Nodes and cache servers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of cache servers.
    pub servers: usize,
    /// Names of the zones; servers are assigned to zones round-robin.
    pub zones: Vec<String>,
    /// Number of cores of a server.
    pub cores: usize,
    /// Slowest and fastest core speed, relative to a standard core; servers are spread evenly
    /// between the two.
    pub speed: [Factor; 2],
    /// Maximum queue length of a server; further requests are rejected with `Srv-Declined: 1`.
    pub queue: usize,
    /// Maximum number of open connections of a server; further ones are reset.
    pub connections: usize,
    /// Size of a server's cache in KiB.
    pub memory_kib: usize,
    /// Share of its full capacity that a server has when it starts.
    pub cold_share: Share,
    /// Seconds over which the capacity of a started server rises linearly to its full value.
    pub warm_s: Seconds,
    /// A cold server that receives more work than this multiple of its capacity over
    /// `overload_window_s` becomes overloaded and stays down.
    #[serde(rename = "fall_times")]
    pub overload_factor: Factor,
    /// Span over which `overload_factor` is measured, in seconds.
    #[serde(rename = "fall_s")]
    pub overload_window_s: Seconds,
    /// Idle time in seconds after which servers close a connection.
    pub idle_close_s: Seconds,
    /// Whether a queued request is dropped when it is cancelled; a running one always continues.
    pub drops_cancelled: bool,
    /// Whether responses contain load reports (`Srv-Load`).
    pub reports: bool,
    /// Whether servers answer `GET /healthz` and `GET /load`; otherwise both return 404.
    pub probes: bool,
    /// Delay in seconds before discovery reports a change.
    pub discovery_late_s: Seconds,
    /// File descriptor limit of a node.
    pub sockets: usize,
    /// Memory limit of a node in MB: written into its configuration, and not enforced by the lab.
    pub memory_mb: u32,
    /// Maximum share of a node's file descriptors that clients use for their connections.
    pub clients: Share,
    /// Seconds after a node is killed until the front stops opening connections to it.
    pub front_late_s: Seconds,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            nodes: 2,
            servers: 9,
            zones: vec!["a".into(), "b".into(), "c".into()],
            cores: 1,
            speed: [Bounded(0.8), Bounded(1.6)],
            queue: 64,
            connections: 256,
            memory_kib: 2048,
            cold_share: Bounded(0.31),
            warm_s: Bounded(4.0),
            overload_factor: Bounded(3.0),
            overload_window_s: Bounded(1.5),
            idle_close_s: Bounded(15.0),
            drops_cancelled: true,
            reports: false,
            probes: false,
            discovery_late_s: Bounded(0.3),
            sockets: 1024,
            memory_mb: 192,
            clients: share(1.0 / 3.0),
            front_late_s: Bounded(1.0),
        }
    }
}

impl Fleet {
    /// Returns the zone of a server.
    pub fn zone(&self, server: usize) -> &str {
        &self.zones[server % self.zones.len()]
    }
}

/// The player database: one queue and a fixed number of workers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Database {
    /// Number of workers, each with one fetch or write at a time.
    pub workers: usize,
    /// Mean duration of a fetch or write, in milliseconds.
    pub work_ms: Milliseconds,
    /// Maximum number of queued fetches and writes; further ones fail at once.
    pub queue: usize,
    /// A database that receives more work than this multiple of its capacity over
    /// `overload_window_s` stops.
    #[serde(rename = "fall_times")]
    pub overload_factor: Factor,
    /// Span over which `overload_factor` is measured, in seconds.
    #[serde(rename = "fall_s")]
    pub overload_window_s: Seconds,
    /// Time from a stop of the database to its restart, in seconds.
    #[serde(rename = "down_s")]
    pub restart_delay_s: Seconds,
}

impl Default for Database {
    fn default() -> Self {
        Self {
            workers: 8,
            work_ms: Bounded(20.0),
            queue: 400,
            overload_factor: Bounded(2.5),
            overload_window_s: Bounded(3.0),
            restart_delay_s: Bounded(3.0),
        }
    }
}
