//! Section `front`: limits on client connections, and the shares of the node's descriptors.

use super::bounded::BoundedInteger;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Clients and connections to endpoints each get one third of the descriptors by default.
const DEFAULT_DIVISOR: usize = 3;
/// Default idle timeout of a client connection, in seconds.
const DEFAULT_IDLE_S: usize = 10;

/// Section `front`. Every key has a default.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Limit on client connections, in percent of the process's descriptors.
    clients_percent: Option<BoundedInteger<1, 100>>,
    /// Number of descriptors reserved for connections to endpoints.
    servers_floor: Option<BoundedInteger<1, 1_000_000>>,
    /// Idle timeout of a client connection, in seconds.
    idle_s: Option<BoundedInteger<2, 86_400>>,
    /// Maximum number of connections of one client address.
    per_address: Option<BoundedInteger<1, 1_000_000>>,
    /// Limit on the open requests of each class, by class name, in percent of the clients'
    /// descriptors.
    #[serde(rename = "per_class")]
    pub percent_per_class: BTreeMap<String, BoundedInteger<1, 100>>,
}

impl AdmissionSettings {
    /// Returns the maximum number of client connections, out of this number of descriptors.
    pub fn client_limit(&self, descriptors: usize) -> usize {
        match self.clients_percent {
            Some(percent) => descriptors * percent.get() / 100,
            None => descriptors / DEFAULT_DIVISOR,
        }
    }

    /// Returns the number of descriptors reserved for connections to endpoints, out of this number.
    pub fn upstream_reservation(&self, descriptors: usize) -> usize {
        match self.servers_floor {
            Some(floor) => floor.get(),
            None => descriptors / DEFAULT_DIVISOR,
        }
    }

    /// Returns the time after which an idle client connection is closed.
    pub fn idle_timeout(&self) -> Duration {
        let seconds = self.idle_s.map_or(DEFAULT_IDLE_S, BoundedInteger::get);
        Duration::from_secs(seconds as u64)
    }

    /// Returns the maximum number of connections of one client address; `None` if unlimited.
    pub fn connections_per_address(&self) -> Option<usize> {
        self.per_address.map(BoundedInteger::get)
    }
}
