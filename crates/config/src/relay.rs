//! The settings of a relay of the endpoint list: a TOML file, or the same as arguments.

use crate::toml_file::{self, SettingsError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// Milliseconds that a relay answers for after it last heard from upstream, where nothing else is said. A third of it is the wait
/// of a watch, so that a relay calls upstream once in 3.3 s where nothing changes.
pub const DEFAULT_LEASE_MS: u64 = 10_000;
/// Below this a lease would run out between two calls; above it nobody would notice that upstream is gone.
const LEASE_MS_RANGE: RangeInclusive<u64> = 300..=3_600_000;
/// Sources that are tried in turn, at most.
const MAX_UPSTREAMS: usize = 16;
/// The largest limit on callers' connections that may be set.
const MAX_CONNECTIONS: usize = 1_000_000;

/// Why a relay cannot start with its settings.
#[derive(Debug, Error)]
pub enum RelayConfigError {
    /// The file cannot be read, or is not of the expected form.
    #[error(transparent)]
    File(#[from] SettingsError),
    /// The number of upstreams is out of its range.
    #[error("a relay needs 1 to {MAX_UPSTREAMS} upstreams, and {0} are named")]
    Upstreams(usize),
    /// The lease is out of its range.
    #[error("lease_ms is {0}: a number from {start} to {end} is wanted", start = LEASE_MS_RANGE.start(), end = LEASE_MS_RANGE.end())]
    Lease(u64),
    /// The limit on callers' connections is out of its range.
    #[error("callers is {0}: a number from 1 to {MAX_CONNECTIONS} is wanted")]
    Connections(usize),
}

/// A relay's settings.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Discovery, or other relays; the next one is tried when one fails.
    pub upstream: Vec<SocketAddr>,
    /// Where callers are answered.
    pub listen: SocketAddr,
    /// Callers are refused once nothing was heard from upstream for so many milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Connections of callers, at most; what the limit on descriptors allows where nothing is said.
    #[serde(rename = "callers")]
    pub max_connections: Option<usize>,
}

fn default_lease_ms() -> u64 {
    DEFAULT_LEASE_MS
}

impl RelaySettings {
    /// Reads them from a file and validates them.
    pub fn load(path: &Path) -> Result<Self, RelayConfigError> {
        let text = toml_file::read(path)?;
        let settings: Self = toml_file::parse(path, &text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Fails where a value is out of its range.
    pub fn validate(&self) -> Result<(), RelayConfigError> {
        if !(1..=MAX_UPSTREAMS).contains(&self.upstream.len()) {
            return Err(RelayConfigError::Upstreams(self.upstream.len()));
        }
        if !LEASE_MS_RANGE.contains(&self.lease_ms) {
            return Err(RelayConfigError::Lease(self.lease_ms));
        }
        match self.max_connections {
            Some(connections) if !(1..=MAX_CONNECTIONS).contains(&connections) => {
                Err(RelayConfigError::Connections(connections))
            }
            _ => Ok(()),
        }
    }

    /// Callers are answered for so long after the relay last heard from upstream.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}
