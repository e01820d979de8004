//! Memory of connections: what each is counted as, and which ones wait for memory to be read with.

use super::eviction::MAX_SCANNED;
use super::{CloseCause, ConnectionId, ConnectionTable, Phase, AWAITING_MEMORY};
use std::fmt;
use std::time::Duration;

/// There is no memory to read from a connection; it waits until some is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShortage {
    /// The idle connection that is to give up its buffers by [`Directive::Park`](super::Directive::Park), and has to be
    /// woken; `None` where none can.
    pub parking: Option<ConnectionId>,
}

impl fmt::Display for MemoryShortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("there is no memory to read from the connection")
    }
}

impl std::error::Error for MemoryShortage {}

impl ConnectionTable {
    /// Bytes have arrived on a connection: reserves the memory to read them with.
    ///
    /// Without memory the connection has to ask again when [`next_awaiting_memory`](Self::next_awaiting_memory) names
    /// it, and is closed when it got none within the time for a request.
    pub fn on_readable(&mut self, now: Duration, id: ConnectionId) -> Result<(), MemoryShortage> {
        let active_bytes = self.limits.active_bytes;
        let Some(entry) = self.entry_mut(id) else {
            return Ok(());
        };
        if entry.lease.try_set_bytes(active_bytes) {
            self.awaiting_memory.remove(id);
            return Ok(());
        }
        if self.phase(id).is_idle() {
            self.enter_phase(now, id, Phase::ReadingRequest);
        }
        self.awaiting_memory.push_back(AWAITING_MEMORY, id);
        let parking = self.request_parking(id);
        Err(MemoryShortage { parking })
    }

    /// Requests that the longest idle connection other than `id` is parked, if one is idle whose parking is not requested yet.
    fn request_parking(&mut self, id: ConnectionId) -> Option<ConnectionId> {
        let found = self
            .phases
            .iter(Phase::Idle as usize)
            .take(MAX_SCANNED)
            .filter(|other| *other != id)
            .find(|other| self.entry(*other).is_some_and(|e| !e.park_requested))?;
        if let Some(entry) = self.entry_mut(found) {
            entry.park_requested = true;
        }
        Some(found)
    }

    /// Reserves this many bytes for a request, beside those of a connection in use, until its response.
    ///
    /// `false` where there is no memory for them; the request is then to be shed.
    pub fn reserve_request_bytes(&mut self, id: ConnectionId, bytes: usize) -> bool {
        let bytes = self.limits.active_bytes.saturating_add(bytes);
        let reserved = self
            .entry_mut(id)
            .is_none_or(|entry| entry.lease.try_set_bytes(bytes));
        self.refused[CloseCause::MemoryLimit as usize] += u64::from(!reserved);
        reserved
    }

    /// A connection has released everything but its socket.
    pub fn on_parked(&mut self, id: ConnectionId) {
        if self.phase(id).is_idle() {
            self.phases.push_back(Phase::Parked as usize, id);
        }
        let parked_bytes = self.limits.parked_bytes;
        if let Some(entry) = self.entry_mut(id) {
            entry.park_requested = false;
            entry.lease.try_set_bytes(parked_bytes);
        }
    }

    /// Memory was given back: the connection that has waited for some longest. It has to be woken, and calls
    /// [`on_readable`](Self::on_readable) again.
    pub fn next_awaiting_memory(&mut self) -> Option<ConnectionId> {
        let next = self.awaiting_memory.first(AWAITING_MEMORY)?;
        // To the back: should it get none, the next memory that is given back goes to another one.
        self.awaiting_memory.push_back(AWAITING_MEMORY, next);
        Some(next)
    }
}
