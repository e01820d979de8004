//! Memory: what each connection is counted as, and which ones wait for some.

use super::eviction::MAX_SCANNED;
use super::{CloseCause, ConnectionId, ConnectionTable, Phase};
use std::time::Duration;

impl ConnectionTable {
    /// Bytes have come, and none of the memory to read them is held yet. Where there is none it asks again once some is
    /// given back, and is closed if none is in the time for a request: `Err` with the one that is to give up its own,
    /// if any can, and has to be woken.
    pub fn on_readable(
        &mut self,
        now: Duration,
        id: ConnectionId,
    ) -> Result<(), Option<ConnectionId>> {
        let active_bytes = self.limits.active_bytes;
        let Some(entry) = self.entry_mut(id) else {
            return Ok(());
        };
        if entry.lease.try_set_bytes(active_bytes) {
            self.starved.remove(id);
            return Ok(());
        }
        if self.phase(id).is_idle() {
            self.enter_phase(now, id, Phase::ReadingRequest);
        }
        self.starved.push(0, id);
        let idle = self.phases.iter(Phase::Idle as usize).take(MAX_SCANNED);
        let other = idle
            .filter(|other| *other != id)
            .find(|other| self.entry(*other).is_some_and(|e| !e.parking));
        if let Some(entry) = other.and_then(|other| self.entry_mut(other)) {
            entry.parking = true;
        }
        Err(other)
    }

    /// So many bytes are held beside what a connection in use is counted as, until its answer. `false` where there are not
    /// that many.
    pub fn reserve_request_bytes(&mut self, id: ConnectionId, bytes: usize) -> bool {
        let bytes = self.limits.active_bytes.saturating_add(bytes);
        let held = self
            .entry_mut(id)
            .is_none_or(|entry| entry.lease.try_set_bytes(bytes));
        self.refused[CloseCause::MemoryLimit as usize] += u64::from(!held);
        held
    }

    /// It has given up all but its socket.
    pub fn on_parked(&mut self, id: ConnectionId) {
        if self.phase(id).is_idle() {
            self.phases.push(Phase::Parked as usize, id);
        }
        let parked_bytes = self.limits.parked_bytes;
        if let Some(entry) = self.entry_mut(id) {
            entry.parking = false;
            entry.lease.try_set_bytes(parked_bytes);
        }
    }

    /// Memory was given back: the one that has waited for it longest, which is to be woken and asks again.
    pub fn next_awaiting_memory(&mut self) -> Option<ConnectionId> {
        let next = self.starved.first(0)?;
        // If it gets none the next turn is another's.
        self.starved.push(0, next);
        Some(next)
    }
}
