//! The fleet under load: nodes, cache servers and the player database.

use super::number::{share, Bounded, Factor, Milliseconds, Seconds, Share};
use serde::{Deserialize, Serialize};

/// Nodes and cache servers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Nodes.
    pub nodes: usize,
    /// Cache servers.
    pub servers: usize,
    /// Names of the zones; servers are dealt out over them in turn.
    pub zones: Vec<String>,
    /// Cores of a server.
    pub cores: usize,
    /// Speed of a core, of a standard one; servers are spread evenly from the first to the second.
    pub speed: [Factor; 2],
    /// Requests that may wait at a server; more are turned away with `Srv-Declined: 1`.
    pub queue: usize,
    /// Connections that a server holds; more are reset.
    pub connections: usize,
    /// Values that a server holds, in KiB.
    pub memory_kib: usize,
    /// A server that starts has this share of its capacity at first.
    pub cold_share: Share,
    /// And all of it after so many seconds, evenly.
    pub warm_s: Seconds,
    /// Sent more than this multiple of its capacity for `fall_s` while cold, it falls over and stays down.
    pub fall_times: Factor,
    /// See `fall_times`, in seconds.
    pub fall_s: Seconds,
    /// Servers close a connection that has stood idle for so many seconds.
    pub idle_close_s: Seconds,
    /// Whether a cancelled request that waits is dropped; one at work always goes on.
    pub drops_cancelled: bool,
    /// Whether answers hold load reports (`Srv-Load`).
    pub reports: bool,
    /// Whether servers answer `GET /healthz` and `GET /load`; else both are 404.
    pub probes: bool,
    /// Discovery reports a change so many seconds late.
    pub discovery_late_s: Seconds,
    /// Descriptors of a node.
    pub sockets: usize,
    /// Memory of a node, in MB: it is told so, and not held to it.
    pub memory_mb: u32,
    /// Of a node's descriptors, clients use at most this share for their connections.
    pub clients: Share,
    /// So many seconds after a node's death the front deals it no more connections.
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
            fall_times: Bounded(3.0),
            fall_s: Bounded(1.5),
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
    /// The zone of a server.
    pub fn zone(&self, server: usize) -> &str {
        &self.zones[server % self.zones.len()]
    }
}

/// The player database: one queue, so many workers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Database {
    /// Fetches and writes that it works on at once.
    pub workers: usize,
    /// Mean time of one, in milliseconds.
    pub work_ms: Milliseconds,
    /// Those that may wait; more fail at once.
    pub queue: usize,
    /// Sent more than this multiple of what it can do for `fall_s`, it stops.
    pub fall_times: Factor,
    /// See `fall_times`, in seconds.
    pub fall_s: Seconds,
    /// For so many seconds.
    pub down_s: Seconds,
}

impl Default for Database {
    fn default() -> Self {
        Self {
            workers: 8,
            work_ms: Bounded(20.0),
            queue: 400,
            fall_times: Bounded(2.5),
            fall_s: Bounded(3.0),
            down_s: Bounded(3.0),
        }
    }
}
