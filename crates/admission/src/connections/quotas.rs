//! Quotas of connections per client address and of requests per class, and the count of connections
//! that wait for a descriptor.

use super::{CloseCause, ConnectionId, ConnectionTable};
use std::fmt;
use std::net::IpAddr;

/// Connections of one client address.
#[derive(Debug, Default)]
pub(super) struct AddressUsage {
    /// Number of connections.
    pub(super) connections: usize,
    /// Index of the list in `ConnectionTable::idle_by_address` that holds the idle connections.
    pub(super) idle_list: usize,
}

/// The client address has reached its connection quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressQuotaExceeded {
    /// Longest idle connection of the address, which is closed to admit the new connection; its
    /// owner has to be woken. `None` if all connections of the address are in use; the new
    /// connection is then refused.
    pub evicted: Option<ConnectionId>,
}

impl fmt::Display for AddressQuotaExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the client address has reached its connection quota")
    }
}

impl std::error::Error for AddressQuotaExceeded {}

impl ConnectionTable {
    /// Increments the number of accepted connections that wait for a descriptor. While any
    /// connection waits, connections close with their responses.
    pub fn add_waiter(&mut self) {
        self.waiting += 1;
    }

    /// Decrements the number of connections that wait for a descriptor. Each call must match an
    /// earlier call of [`add_waiter`](Self::add_waiter).
    pub fn remove_waiter(&mut self) {
        self.waiting -= 1;
    }

    /// Checks whether an address may have one more connection. If not, closes the longest idle
    /// connection of the address.
    pub fn check_address_quota(&mut self, address: IpAddr) -> Result<(), AddressQuotaExceeded> {
        let quota = self.limits.per_address.unwrap_or(usize::MAX);
        let Some(usage) = self
            .addresses
            .get(&address)
            .filter(|usage| usage.connections >= quota)
        else {
            return Ok(());
        };
        let evicted = self.first_not_closing(self.idle_by_address.iter(usage.idle_list));
        match evicted {
            Some(id) => self.close(id, CloseCause::AddressQuota),
            None => self.refused[CloseCause::AddressQuota as usize] += 1,
        }
        Err(AddressQuotaExceeded { evicted })
    }

    /// Increments the number of connections of an address.
    pub(super) fn add_to_address(&mut self, address: IpAddr) {
        let usage = self
            .addresses
            .entry(address)
            .or_insert_with(|| AddressUsage {
                connections: 0,
                idle_list: self
                    .free_idle_lists
                    .pop()
                    .unwrap_or_else(|| self.idle_by_address.add_list()),
            });
        usage.connections += 1;
    }

    /// Decrements the number of connections of an address. The closed connection must already be
    /// removed from the idle list of the address.
    pub(super) fn remove_from_address(&mut self, address: IpAddr) {
        let Some(usage) = self.addresses.get_mut(&address) else {
            return;
        };
        usage.connections -= 1;
        if usage.connections == 0 {
            self.free_idle_lists.push(usage.idle_list);
            self.addresses.remove(&address);
        }
    }

    /// Changes the maximum number of requests in flight per class; see
    /// [`ConnectionLimits::per_class`](super::ConnectionLimits::per_class). Requests in flight
    /// count against the changed limits.
    pub fn set_class_limits(&mut self, per_class: Vec<Option<usize>>) {
        self.limits.per_class = per_class;
    }

    /// Increments the number of requests in flight of a class. Returns whether the class then
    /// exceeds its quota.
    pub(super) fn add_to_class(&mut self, class: usize) -> bool {
        if self.in_flight_by_class.len() <= class {
            self.in_flight_by_class.resize(class + 1, 0);
        }
        self.in_flight_by_class[class] += 1;
        let quota = self.limits.per_class.get(class).copied().flatten();
        let exceeded = quota.is_some_and(|quota| self.in_flight_by_class[class] > quota);
        self.refused[CloseCause::ClassQuota as usize] += u64::from(exceeded);
        exceeded
    }

    /// Decrements the number of requests in flight of a class; does nothing for `None`.
    pub(super) fn remove_from_class(&mut self, class: Option<u16>) {
        let in_flight = class.and_then(|class| self.in_flight_by_class.get_mut(usize::from(class)));
        if let Some(in_flight) = in_flight {
            *in_flight -= 1;
        }
    }
}
