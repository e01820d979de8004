//! Quotas of connections by client address and of requests by class, and connections that wait for a descriptor.

use super::{CloseCause, ConnectionId, ConnectionTable};
use std::fmt;
use std::net::IpAddr;

/// The connections of one client address.
#[derive(Debug, Default)]
pub(super) struct AddressUsage {
    /// How many it has.
    pub(super) connections: usize,
    /// Index of the list in `ConnectionTable::idle_by_address` that holds its idle ones.
    pub(super) idle_list: usize,
}

/// The address has reached its connection quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressQuotaExceeded {
    /// The connection of the address that closes for this: idle for longest, and to be woken. `None` where all of them
    /// are in use; the new connection is then refused.
    pub evicted: Option<ConnectionId>,
}

impl fmt::Display for AddressQuotaExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the address has as many connections as one may have")
    }
}

impl std::error::Error for AddressQuotaExceeded {}

impl ConnectionTable {
    /// Counts an accepted connection that waits for a descriptor: while any does, connections close with their
    /// responses.
    pub fn add_waiter(&mut self) {
        self.waiting += 1;
    }

    /// Counts one waiting connection less; each call matches one of [`add_waiter`](Self::add_waiter).
    pub fn remove_waiter(&mut self) {
        self.waiting -= 1;
    }

    /// Checks whether an address may have one more connection, and closes its longest idle one where it may not.
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

    /// Counts one more connection of an address.
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

    /// Counts one connection of an address less. Its idle list must not hold that connection any more.
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

    /// Counts one more request of a class in flight. Whether the class then exceeds its quota.
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

    /// Counts one request of a class in flight less; nothing for `None`.
    pub(super) fn remove_from_class(&mut self, class: Option<u16>) {
        let in_flight = class.and_then(|class| self.in_flight_by_class.get_mut(usize::from(class)));
        if let Some(in_flight) = in_flight {
            *in_flight -= 1;
        }
    }
}
