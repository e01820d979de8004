//! A day of the lab, as a TOML file: fleet, load, faults on a time line, and what is expected of it.

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
            .map_err(|error| malformed(error.offset, error.problem.to_string()))?;
        Ok(scenario)
    }
}

#[cfg(test)]
mod tests;
