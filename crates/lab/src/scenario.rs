//! Scenario of a run as a TOML file: fleet, load, scheduled faults and expected results.

mod check;
mod fault;
mod fleet;
mod load;
mod number;

pub use fault::{Fault, FaultKind};
pub use fleet::{Database, Fleet};
pub use load::{default_classes, Change, Class, Idempotency, Load};
pub use number::{Bounded, Factor, Milliseconds, OutOfRange, Seconds, Share};

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use thiserror::Error;
use toml::Spanned;

/// Error of a scenario that cannot be run.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("cannot read {}: {error}", .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        error: std::io::Error,
    },
    /// The file is not a valid scenario.
    #[error("{} line {line}: {what}", .path.display())]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Value met and value expected.
        what: String,
    },
}

/// A complete scenario.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Purpose of the scenario in one line.
    pub about: String,
    /// Duration of the load phase in seconds.
    pub seconds: Bounded<100, 3_600_000>,
    /// Seed of all random values, unless the command line sets another.
    #[serde(default)]
    pub seed: u64,
    /// Nodes and cache servers under load.
    #[serde(default)]
    pub fleet: Fleet,
    /// The player database.
    #[serde(default)]
    pub database: Database,
    /// Request rate and client behaviour.
    pub load: Load,
    /// Classes of requests; the three default classes if the file defines none.
    #[serde(default = "default_classes", rename = "class")]
    pub classes: Vec<Class>,
    /// Scheduled faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Spanned<Fault>>,
    /// Section `front` of the operators' file of each node, in the node's own format.
    #[serde(default, skip_serializing_if = "toml::Table::is_empty")]
    pub front: toml::Table,
    /// Expected results in addition to the rules.
    #[serde(default)]
    pub expect: Expect,
}

/// Expected results in addition to the rules.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Minimum share of the priority weight that is served in time.
    pub served: Option<Share>,
    /// Minimum share of the priority weight served in time in the worst second.
    pub worst_second: Option<Share>,
    /// Maximum share of tries that are refused.
    pub refused: Option<Share>,
    /// Maximum 99th percentile of the latency of served requests.
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

    /// Parses a scenario from its text; `path` is used only in error messages.
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
            .map_err(|error| malformed(error.offset, error.problem.to_string()))?;
        Ok(scenario)
    }
}

#[cfg(test)]
mod tests;
