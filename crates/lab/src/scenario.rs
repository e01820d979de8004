//! A day of the lab, as a TOML file: fleet, load, faults on a time line, and what is expected of it.

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use thiserror::Error;
use toml::Spanned;

/// Why a scenario cannot be played.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("cannot read {}: {error}", .path.display())]
    Unreadable {
        /// Which.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// It is no scenario.
    #[error("{} line {line}: {what}", .path.display())]
    Malformed {
        /// Which.
        path: PathBuf,
        /// Where, from 1.
        line: usize,
        /// What was read and what was expected.
        what: String,
    },
}

/// A number from `LEAST` to `MOST`, both in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Within<const LEAST: u64, const MOST: u64>(f64);

impl<const LEAST: u64, const MOST: u64> Within<LEAST, MOST> {
    /// The number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl<const LEAST: u64, const MOST: u64> TryFrom<f64> for Within<LEAST, MOST> {
    type Error = String;
    fn try_from(value: f64) -> Result<Self, String> {
        let (least, most) = (LEAST as f64 / 1e3, MOST as f64 / 1e3);
        // Not a number is in no range.
        if value >= least && value <= most {
            Ok(Self(value))
        } else {
            Err(format!("{value} is not a number from {least} to {most}"))
        }
    }
}

impl<const LEAST: u64, const MOST: u64> From<Within<LEAST, MOST>> for f64 {
    fn from(value: Within<LEAST, MOST>) -> f64 {
        value.0
    }
}

/// A part of a whole, 0 to 1.
pub type Share = Within<0, 1_000>;
/// Seconds on the time line, up to an hour.
pub type Seconds = Within<0, 3_600_000>;
/// A multiple, a thousandth to a thousand.
pub type Times = Within<1, 1_000_000>;
/// Milliseconds, up to a minute.
pub type Millis = Within<0, 60_000_000>;

fn share(value: f64) -> Share {
    Within(value)
}

/// A whole scenario.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One line on what it is for.
    pub about: String,
    /// How long load arrives, in seconds.
    pub seconds: Within<100, 3_600_000>,
    /// Of all that is drawn, unless the command names another.
    #[serde(default)]
    pub seed: u64,
    /// Nodes and cache servers.
    #[serde(default)]
    pub fleet: Fleet,
    /// The player database.
    #[serde(default)]
    pub database: Database,
    /// What is asked.
    pub load: Load,
    /// Classes of requests; the usual three where none stands here.
    #[serde(default = "usual_classes", rename = "class")]
    pub classes: Vec<Class>,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<Fault>>,
    /// Section `front` of each node's operators' file, as the node reads it.
    #[serde(default, skip_serializing_if = "toml::Table::is_empty")]
    pub front: toml::Table,
    /// What must hold beside the rules.
    #[serde(default)]
    pub expect: Expect,
}

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
    pub speed: [Times; 2],
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
    pub fall_times: Times,
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
    /// Discovery tells of a change so many seconds late.
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
            speed: [Within(0.8), Within(1.6)],
            queue: 64,
            connections: 256,
            memory_kib: 2048,
            cold_share: Within(0.31),
            warm_s: Within(4.0),
            fall_times: Within(3.0),
            fall_s: Within(1.5),
            idle_close_s: Within(15.0),
            drops_cancelled: true,
            reports: false,
            probes: false,
            discovery_late_s: Within(0.3),
            sockets: 1024,
            memory_mb: 192,
            clients: share(1.0 / 3.0),
            front_late_s: Within(1.0),
        }
    }
}

/// The player database: one queue, so many workers.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Database {
    /// Fetches and writes that it works on at once.
    pub workers: usize,
    /// Mean time of one, in milliseconds.
    pub work_ms: Millis,
    /// Those that may wait; more fail at once.
    pub queue: usize,
    /// Sent more than this multiple of what it can do for `fall_s`, it stops.
    pub fall_times: Times,
    /// See `fall_times`, in seconds.
    pub fall_s: Seconds,
    /// For so many seconds.
    pub down_s: Seconds,
}

impl Default for Database {
    fn default() -> Self {
        Self {
            workers: 8,
            work_ms: Within(20.0),
            queue: 400,
            fall_times: Within(2.5),
            fall_s: Within(3.0),
            down_s: Within(3.0),
        }
    }
}

/// What is asked, and how clients behave.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries a second.
    pub rate: Within<1, 200_000_000>,
    /// Keys there are.
    #[serde(default = "Load::usual_keys")]
    pub keys: u32,
    /// Exponent of their Zipf distribution.
    #[serde(default = "Load::usual_zipf")]
    pub zipf: Within<1, 5_000>,
    /// Tries a client makes after the first.
    #[serde(default = "Load::usual_retries")]
    pub retries: u8,
    /// It waits so long before each.
    #[serde(default = "Load::usual_wait")]
    pub retry_wait_ms: Millis,
    /// A try is given up after this share of its class's deadline.
    #[serde(default = "Load::usual_patience")]
    pub patience: Share,
    /// Share of the clients that heed `Retry-After`.
    #[serde(default = "Load::usual_heed")]
    pub heed: Share,
    /// Changes of the load on the time line.
    #[serde(default, rename = "change")]
    pub changes: Vec<Change>,
}

impl Load {
    fn usual_keys() -> u32 {
        20_000
    }
    fn usual_zipf() -> Within<1, 5_000> {
        Within(1.0)
    }
    fn usual_retries() -> u8 {
        2
    }
    fn usual_wait() -> Millis {
        Within(20.0)
    }
    fn usual_patience() -> Share {
        share(0.5)
    }
    fn usual_heed() -> Share {
        share(0.0)
    }
}

/// A change of the load. Several at once multiply.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// A sine over the whole time: the rate goes up and down by this share.
    Wave {
        /// Seconds from crest to crest.
        period_s: Within<10, 3_600_000>,
        /// Of the rate.
        depth: Share,
    },
    /// So many times the rate.
    Burst {
        /// From.
        at_s: Seconds,
        /// For.
        for_s: Seconds,
        /// Of the rate.
        times: Times,
    },
    /// Evenly from the rate at the start to this multiple at the end.
    Ramp {
        /// At the end.
        to: Times,
    },
    /// A few keys draw a share of the reads.
    HotKey {
        /// From.
        at_s: Seconds,
        /// For.
        for_s: Seconds,
        /// Of the reads.
        share: Share,
        /// How many keys.
        keys: u32,
    },
    /// A share of the reads asks for keys that are wanted only once.
    Scan {
        /// From.
        at_s: Seconds,
        /// For.
        for_s: Seconds,
        /// Of the reads.
        share: Share,
    },
}

impl Change {
    /// Its name, beginning and length in seconds, where it has one.
    pub fn span(&self) -> Option<(&'static str, f64, f64)> {
        match self {
            Self::Burst { at_s, for_s, .. } => Some(("burst", at_s.get(), for_s.get())),
            Self::HotKey { at_s, for_s, .. } => Some(("hot_key", at_s.get(), for_s.get())),
            Self::Scan { at_s, for_s, .. } => Some(("scan", at_s.get(), for_s.get())),
            Self::Wave { .. } | Self::Ramp { .. } => None,
        }
    }
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// No harm.
    Safe,
    /// No harm within the window: servers drop repeats.
    Keyed,
    /// Harm.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Of all requests.
    pub share: Share,
    /// What a repeat does.
    pub effect: Effect,
    /// For a keyed class: servers drop repeats for so many seconds.
    #[serde(default = "Class::usual_window")]
    pub window_s: Seconds,
    /// Whether it goes on to the database and voids kept copies.
    #[serde(default)]
    pub write: bool,
    /// Mean work on a standard core.
    pub work_ms: Within<1, 60_000_000>,
    /// Answers within this time count.
    pub aim_ms: Within<1_000, 60_000_000>,
    /// The client's last word.
    pub deadline_ms: Within<1_000, 60_000_000>,
    /// What one is worth.
    pub worth: Within<0, 1_000_000>,
}

impl Class {
    fn usual_window() -> Seconds {
        Within(4.0)
    }
}

/// Lookups, queue-joins and entry fees, as the operators' fleet has them, a quarter of the times.
pub fn usual_classes() -> Vec<Class> {
    let class = |name: &str, part, effect, write, work, aim, deadline, worth| Class {
        name: name.into(),
        share: share(part),
        effect,
        window_s: Within(4.0),
        write,
        work_ms: Within(work),
        aim_ms: Within(aim),
        deadline_ms: Within(deadline),
        worth: Within(worth),
    };
    vec![
        class("lookup", 0.95, Effect::Safe, false, 6.0, 250.0, 625.0, 1.0),
        class("queue-join", 0.027, Effect::Keyed, true, 5.0, 200.0, 500.0, 3.0),
        class("entry-fee", 0.023, Effect::Unsafe, true, 2.0, 250.0, 750.0, 10.0),
    ]
}

/// Something that goes wrong, from `at_s` on; with `for_s` it ends by itself.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds from the start.
    pub at_s: Seconds,
    /// For how long; to the end where nothing stands here.
    pub for_s: Option<Seconds>,
    /// What.
    pub kind: Kind,
    /// Which servers, by place from 0.
    #[serde(default)]
    pub servers: Vec<usize>,
    /// Or all servers of this zone.
    pub zone: Option<String>,
    /// Which nodes, by place from 0.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// For `slow`: so many times slower. For `discovery_late`: seconds.
    pub by: Option<Times>,
    /// For `drain`: so many seconds after it is gone it is back, cold; else it stays away.
    pub back_s: Option<Seconds>,
    /// Each server or node so many seconds after the one before.
    #[serde(default = "Fault::together")]
    pub apart_s: Seconds,
}

impl Fault {
    fn together() -> Seconds {
        Within(0.0)
    }

    /// The servers it strikes, of so many dealt out over these zones.
    pub fn struck(&self, fleet: &Fleet) -> Vec<usize> {
        match &self.zone {
            Some(zone) => (0..fleet.servers).filter(|&i| fleet.zone(i) == zone).collect(),
            None => self.servers.clone(),
        }
    }
}

impl Fleet {
    /// The zone of a server.
    pub fn zone(&self, server: usize) -> &str {
        &self.zones[server % self.zones.len()]
    }
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A server's process dies: connections are reset and new ones too. After `for_s` it is back, cold and empty.
    Kill,
    /// A server accepts and never answers.
    Hang,
    /// A server works `by` times slower.
    Slow,
    /// A server runs each request and resets its connection.
    Reset,
    /// A server sends half of each answer and closes.
    Half,
    /// A server answers with what is no HTTP.
    Garbage,
    /// A server resets new connections and serves those it has.
    Refuse,
    /// Discovery tells that a server drains; after `for_s` it is gone, and back after `back_s`.
    Drain,
    /// A server leaves and a new one, cold and with another id, takes its place in the list.
    Replace,
    /// A server is cut off: nothing comes through, nothing is said. After `for_s` old connections are reset.
    Cut,
    /// Discovery is down: calls are reset.
    DiscoveryDown,
    /// Discovery answers every call 503.
    DiscoveryRefuses,
    /// Discovery tells of changes `by` seconds later than usual.
    DiscoveryLate,
    /// Discovery calls all servers ready, whatever they are.
    DiscoveryLies,
    /// A node is killed and starts again after `for_s`.
    NodeKill,
    /// A node gets SIGTERM and, once it has ended, starts again.
    NodeTerm,
    /// A node gets SIGHUP with another address of discovery.
    NodeHup,
}

impl Kind {
    /// Whether it strikes servers.
    pub fn of_servers(self) -> bool {
        !self.of_nodes() && !self.of_discovery()
    }
    /// Whether it strikes nodes.
    pub fn of_nodes(self) -> bool {
        matches!(self, Self::NodeKill | Self::NodeTerm | Self::NodeHup)
    }
    /// Whether one without an end of its own stays as it is.
    pub fn lasts(self) -> bool {
        !self.of_nodes() && self != Self::Replace
    }
    fn of_discovery(self) -> bool {
        matches!(
            self,
            Self::DiscoveryDown | Self::DiscoveryRefuses | Self::DiscoveryLate | Self::DiscoveryLies
        )
    }
}

/// What must hold beside the rules.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// At least this share of the worth is served in time.
    pub served: Option<Share>,
    /// At least this share in the worst second.
    pub worst_second: Option<Share>,
    /// At most this share of the tries is refused.
    pub refused: Option<Share>,
    /// The 99th percentile of served requests, at most.
    pub p99_ms: Option<Millis>,
}

impl Scenario {
    /// Reads the file at `path`.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ScenarioError::Unreadable { path: path.into(), error })?;
        Self::parse(&text, path)
    }

    /// Reads a scenario from its text; `path` is for the errors.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScenarioError> {
        let bad = |at: usize, what: String| {
            let line = text.get(..at).unwrap_or_default().matches('\n').count() + 1;
            ScenarioError::Malformed { path: path.into(), line, what }
        };
        let scenario: Self = toml::from_str(text).map_err(|error| {
            let what = error.message().lines().collect::<Vec<_>>().join(" ");
            bad(error.span().map_or(0, |span| span.start), what)
        })?;
        scenario.check().map_err(|(at, what)| bad(at, what))?;
        Ok(scenario)
    }

    /// What types alone do not say; where it is wrong, at which byte and why.
    fn check(&self) -> Result<(), (usize, String)> {
        let Fleet { nodes, servers, cores, zones, .. } = &self.fleet;
        if !(1..=64).contains(nodes) || !(1..=512).contains(servers) || !(1..=64).contains(cores) {
            let what = "a fleet has 1 to 64 nodes, 1 to 512 servers and 1 to 64 cores each";
            return Err((0, format!("{what}, not {nodes}, {servers} and {cores}")));
        }
        if zones.is_empty() || self.database.workers == 0 || self.load.keys == 0 {
            return Err((0, "zones, database workers and keys cannot be none".into()));
        }
        let shares: f64 = self.classes.iter().map(|class| class.share.get()).sum();
        if (shares - 1.0).abs() > 1e-6 {
            return Err((0, format!("the classes' shares add up to {shares}, not to 1")));
        }
        for fault in &self.faults {
            self.check_fault(fault.get_ref()).map_err(|what| (fault.span().start, what))?;
        }
        Ok(())
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), String> {
        let kind = serde_json::to_string(&fault.kind).unwrap_or_default();
        let end = self.seconds.get();
        if fault.at_s.get() > end {
            return Err(format!("at_s {} lies past the scenario's {end} s", fault.at_s.get()));
        }
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !self.fleet.zones.contains(zone)) {
            return Err(format!("zone {zone:?} is none of {:?}", self.fleet.zones));
        }
        let struck = fault.struck(&self.fleet);
        if let Some(i) = struck.iter().find(|&&i| i >= self.fleet.servers) {
            return Err(format!("server {i} is none of 0 to {}", self.fleet.servers - 1));
        }
        if let Some(i) = fault.nodes.iter().find(|&&i| i >= self.fleet.nodes) {
            return Err(format!("node {i} is none of 0 to {}", self.fleet.nodes - 1));
        }
        if fault.kind.of_servers() && struck.is_empty() {
            return Err(format!("a fault of kind {kind} needs servers or a zone"));
        }
        if fault.kind.of_nodes() && fault.nodes.is_empty() {
            return Err(format!("a fault of kind {kind} needs nodes"));
        }
        if matches!(fault.kind, Kind::Slow | Kind::DiscoveryLate) && fault.by.is_none() {
            return Err(format!("a fault of kind {kind} needs by"));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
