//! Settings of a relay of the endpoint list, from a TOML file or from arguments.

use crate::toml_file::{self, SettingsError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// Default length of a relay's lease, in milliseconds. A watch waits a third of the lease, so a
/// relay calls upstream every 3.3 s while nothing changes.
pub const DEFAULT_LEASE_MS: u64 = 10_000;
/// Accepted lengths of a lease, in milliseconds. A shorter lease would expire between two calls to
/// upstream; a longer one would hide the loss of upstream.
const LEASE_MS_RANGE: RangeInclusive<u64> = 300..=3_600_000;
/// Maximum number of upstreams of one relay.
const MAX_UPSTREAMS: usize = 16;
/// Largest accepted limit on downstream connections.
const MAX_CONNECTIONS: usize = 1_000_000;

/// Reason why the settings of a relay are not accepted.
#[derive(Debug, Error)]
pub enum RelayConfigError {
    /// The file cannot be read or does not have the expected format.
    #[error(transparent)]
    File(#[from] SettingsError),
    /// The number of upstreams is not from 1 to the maximum.
    #[error("upstream has {0} addresses: expected 1 to {MAX_UPSTREAMS}")]
    Upstreams(usize),
    /// The lease, in milliseconds, is out of range.
    #[error("lease_ms is {0}: expected a number from {start} to {end}", start = LEASE_MS_RANGE.start(), end = LEASE_MS_RANGE.end())]
    Lease(u64),
    /// The limit on downstream connections, key `callers`, is out of range.
    #[error("callers is {0}: expected a number from 1 to {MAX_CONNECTIONS}")]
    Connections(usize),
}

/// Settings of a relay.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Addresses of discovery or of other relays, 1 to 16, in the order of attempts after a
    /// failure.
    pub upstream: Vec<SocketAddr>,
    /// Address on which the relay serves nodes and other relays.
    pub listen: SocketAddr,
    /// Length of the lease in milliseconds. If upstream has not answered for this time, calls are
    /// rejected.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Maximum number of concurrent downstream connections, key `callers`; `None` for the number
    /// that the process's limit on descriptors allows.
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
    /// Returns an error if the file cannot be read, does not have the expected format, or has a
    /// value out of range.
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
    /// Returns an error if a value is out of range.
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

    /// Returns the length of the lease: the time after the last answer from upstream for which the
    /// relay answers calls.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}
