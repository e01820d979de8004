//! Section `front`: which client connections are accepted, and who may hold how much of the node.

use super::bounded::BoundedInteger;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Clients, and connections to endpoints, each have a third of the descriptors unless the settings say otherwise.
const DEFAULT_DIVISOR: usize = 3;
/// Seconds after which an idle connection is closed unless the settings say otherwise.
const DEFAULT_IDLE_S: usize = 10;

/// Section `front`. All of it has a default.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// Percent of the process's descriptors.
    clients_percent: Option<BoundedInteger<1, 100>>,
    /// Descriptors that are reserved for connections to endpoints.
    servers_floor: Option<BoundedInteger<1, 1_000_000>>,
    /// In seconds.
    idle_s: Option<BoundedInteger<2, 86_400>>,
    /// Connections of one client address.
    per_address: Option<BoundedInteger<1, 1_000_000>>,
    /// By the name of a class: percent of the clients' descriptors that its open requests may take.
    #[serde(rename = "per_class")]
    pub percent_per_class: BTreeMap<String, BoundedInteger<1, 100>>,
}

impl AdmissionSettings {
    /// Of so many descriptors, those that client connections may hold at most.
    pub fn client_limit(&self, descriptors: usize) -> usize {
        match self.clients_percent {
            Some(percent) => descriptors * percent.get() / 100,
            None => descriptors / DEFAULT_DIVISOR,
        }
    }

    /// Of so many descriptors, those that are reserved for connections to endpoints.
    pub fn upstream_reservation(&self, descriptors: usize) -> usize {
        match self.servers_floor {
            Some(floor) => floor.get(),
            None => descriptors / DEFAULT_DIVISOR,
        }
    }

    /// A client connection that has been idle for this long is closed.
    pub fn idle_timeout(&self) -> Duration {
        let seconds = self.idle_s.map_or(DEFAULT_IDLE_S, BoundedInteger::get);
        Duration::from_secs(seconds as u64)
    }

    /// Connections that one client address may hold at most; `None` where there is no such limit.
    pub fn connections_per_address(&self) -> Option<usize> {
        self.per_address.map(BoundedInteger::get)
    }
}
