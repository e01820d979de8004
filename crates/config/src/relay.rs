//! Settings of a relay of the endpoint list, from a TOML file or from arguments.

use crate::toml_file::{self, SettingsError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// Default length of a relay's lease, in milliseconds. A watch waits a third of it, so that a relay calls upstream every 3.3 s
/// while nothing changes.
pub const DEFAULT_LEASE_MS: u64 = 10_000;
/// Lengths of a lease that are accepted, in milliseconds. A shorter one would expire between two calls to upstream; with a longer
/// one the loss of upstream would go unnoticed.
const LEASE_MS_RANGE: RangeInclusive<u64> = 300..=3_600_000;
/// Most upstreams of one relay.
const MAX_UPSTREAMS: usize = 16;
/// The largest bound on downstream connections that may be set.
const MAX_CONNECTIONS: usize = 1_000_000;

/// Why a relay cannot start with its settings.
#[derive(Debug, Error)]
pub enum RelayConfigError {
    /// The file cannot be read, or is not of the expected form.
    #[error(transparent)]
    File(#[from] SettingsError),
    /// The number of upstreams is not from 1 to the most that is allowed.
    #[error("a relay needs 1 to {MAX_UPSTREAMS} upstreams, and {0} are named")]
    Upstreams(usize),
    /// The lease, in milliseconds, is out of its range.
    #[error("lease_ms is {0}: a number from {start} to {end} is wanted", start = LEASE_MS_RANGE.start(), end = LEASE_MS_RANGE.end())]
    Lease(u64),
    /// The bound on downstream connections, key `callers`, is out of its range.
    #[error("callers is {0}: a number from 1 to {MAX_CONNECTIONS} is wanted")]
    Connections(usize),
}

/// A relay's settings.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Discovery or other relays, in the order in which they are tried when one fails; from 1 to 16.
    pub upstream: Vec<SocketAddr>,
    /// Address on which nodes and further relays are answered.
    pub listen: SocketAddr,
    /// Length of the lease in milliseconds: once it has passed without an answer from upstream, calls are rejected.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Most downstream connections at once; `None` stands for what the process's limit on descriptors allows. Key `callers`.
    #[serde(rename = "callers")]
    pub max_connections: Option<usize>,
}

fn default_lease_ms() -> u64 {
    DEFAULT_LEASE_MS
}

impl RelaySettings {
    /// Reads and validates the settings in a TOML file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is not of the expected form, or has a value out of its range.
    pub fn load(path: &Path) -> Result<Self, RelayConfigError> {
        let text = toml_file::read(path)?;
        let settings: Self = toml_file::parse(path, &text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Checks the values against their ranges.
    ///
    /// # Errors
    ///
    /// If a value is out of its range.
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

    /// How long calls are answered after the last answer from upstream.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}
