//! Admission: connections by address, requests by class, and connections that wait for a descriptor.

use super::{CloseCause, ConnectionId, ConnectionTable};
use std::net::IpAddr;

/// What one address has.
#[derive(Debug, Default)]
pub(super) struct Holder {
    /// Its connections.
    pub(super) count: usize,
    /// Its list among those of idle connections by address.
    pub(super) idle: usize,
}

impl ConnectionTable {
    /// One more connection waits for a descriptor: until it has one, others close with their responses.
    pub fn add_waiter(&mut self) {
        self.waiting += 1;
    }

    /// One connection waits no longer.
    pub fn remove_waiter(&mut self) {
        self.waiting -= 1;
    }

    /// Whether an address may have one more connection. Where it has all it may, its own that has been idle for longest
    /// is to close: `Err` with that, which has to be woken, or with none where all of them are in use.
    pub fn check_address_limit(&mut self, address: IpAddr) -> Result<(), Option<ConnectionId>> {
        let most = self.limits.per_address.unwrap_or(usize::MAX);
        let Some(holder) = self
            .holders
            .get(&address)
            .filter(|holder| holder.count >= most)
        else {
            return Ok(());
        };
        let oldest = self.first_not_closing(self.idle_by_address.iter(holder.idle));
        match oldest {
            Some(id) => self.close(id, CloseCause::AddressQuota),
            None => self.refused[CloseCause::AddressQuota as usize] += 1,
        }
        Err(oldest)
    }

    /// Counts one more connection of an address.
    pub(super) fn hold_address(&mut self, address: IpAddr) {
        let holder = self.holders.entry(address).or_insert_with(|| Holder {
            count: 0,
            idle: self
                .free_idle_lists
                .pop()
                .unwrap_or_else(|| self.idle_by_address.add()),
        });
        holder.count += 1;
    }

    /// Counts one connection of an address less.
    pub(super) fn release_address(&mut self, address: IpAddr) {
        let Some(holder) = self.holders.get_mut(&address) else {
            return;
        };
        holder.count -= 1;
        if holder.count == 0 {
            self.free_idle_lists.push(holder.idle);
            self.holders.remove(&address);
        }
    }

    /// Counts one more open request of a class. Whether that is more than its share.
    pub(super) fn hold_class(&mut self, class: usize) -> bool {
        if self.open_by_class.len() <= class {
            self.open_by_class.resize(class + 1, 0);
        }
        self.open_by_class[class] += 1;
        let most = self.limits.per_class.get(class).copied().flatten();
        let over = most.is_some_and(|most| self.open_by_class[class] > most);
        self.refused[CloseCause::ClassQuota as usize] += u64::from(over);
        over
    }

    /// Counts one open request of a class less, if there is any.
    pub(super) fn release_class(&mut self, class: Option<u16>) {
        if let Some(open) = class.and_then(|class| self.open_by_class.get_mut(usize::from(class))) {
            *open -= 1;
        }
    }
}
