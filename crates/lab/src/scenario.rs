//! A day of the lab, as a TOML file: fleet, load, faults on a time line, and what is expected of it.

mod fault;
mod fleet;
mod load;
mod number;

pub use fault::{Fault, Kind};
pub use fleet::{Database, Fleet};
pub use load::{default_classes, Change, Class, Effect, Load};
pub use number::{Bounded, Factor, Milliseconds, Seconds, Share};

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

/// A whole scenario.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One line on what it is for.
    pub about: String,
    /// How long load arrives, in seconds.
    pub seconds: Bounded<100, 3_600_000>,
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
    #[serde(default = "default_classes", rename = "class")]
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
    pub p99_ms: Option<Milliseconds>,
}

impl Scenario {
    /// Reads the file at `path`.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let text = std::fs::read_to_string(path).map_err(|error| ScenarioError::Unreadable {
            path: path.into(),
            error,
        })?;
        Self::parse(&text, path)
    }

    /// Reads a scenario from its text; `path` is for the errors.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScenarioError> {
        let malformed = |offset: usize, what: String| {
            let line = text.get(..offset).unwrap_or_default().matches('\n').count() + 1;
            ScenarioError::Malformed {
                path: path.into(),
                line,
                what,
            }
        };
        let scenario: Self = toml::from_str(text).map_err(|error| {
            let what = error.message().lines().collect::<Vec<_>>().join(" ");
            malformed(error.span().map_or(0, |span| span.start), what)
        })?;
        scenario
            .check()
            .map_err(|(offset, what)| malformed(offset, what))?;
        Ok(scenario)
    }

    /// What types alone do not say; where it is wrong, at which byte and why.
    fn check(&self) -> Result<(), (usize, String)> {
        let Fleet {
            nodes,
            servers,
            cores,
            zones,
            ..
        } = &self.fleet;
        if !(1..=64).contains(nodes) || !(1..=512).contains(servers) || !(1..=64).contains(cores) {
            let what = "a fleet has 1 to 64 nodes, 1 to 512 servers and 1 to 64 cores each";
            return Err((0, format!("{what}, not {nodes}, {servers} and {cores}")));
        }
        if zones.is_empty() || self.database.workers == 0 || self.load.keys == 0 {
            return Err((0, "zones, database workers and keys cannot be none".into()));
        }
        let shares: f64 = self.classes.iter().map(|class| class.share.get()).sum();
        if (shares - 1.0).abs() > 1e-6 {
            return Err((
                0,
                format!("the classes' shares add up to {shares}, not to 1"),
            ));
        }
        for fault in &self.faults {
            self.check_fault(fault.get_ref())
                .map_err(|what| (fault.span().start, what))?;
        }
        Ok(())
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), String> {
        let kind = serde_json::to_string(&fault.kind).unwrap_or_default();
        let end = self.seconds.get();
        if fault.at_s.get() > end {
            return Err(format!(
                "at_s {} lies past the scenario's {end} s",
                fault.at_s.get()
            ));
        }
        if let Some(zone) = fault
            .zone
            .as_ref()
            .filter(|zone| !self.fleet.zones.contains(zone))
        {
            return Err(format!("zone {zone:?} is none of {:?}", self.fleet.zones));
        }
        let targets = fault.target_servers(&self.fleet);
        if let Some(server) = targets.iter().find(|&&server| server >= self.fleet.servers) {
            return Err(format!(
                "server {server} is none of 0 to {}",
                self.fleet.servers - 1
            ));
        }
        if let Some(node) = fault.nodes.iter().find(|&&node| node >= self.fleet.nodes) {
            return Err(format!(
                "node {node} is none of 0 to {}",
                self.fleet.nodes - 1
            ));
        }
        if fault.kind.targets_servers() && targets.is_empty() {
            return Err(format!("a fault of kind {kind} needs servers or a zone"));
        }
        if fault.kind.targets_nodes() && fault.nodes.is_empty() {
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
