//! Memory of connections: the bytes charged for each, and the queue of connections that wait for
//! memory to read.

use super::eviction::MAX_SCANNED;
use super::{CloseCause, ConnectionId, ConnectionTable, Phase, AWAITING_MEMORY};
use crate::budget::ByteReservation;
use std::fmt;
use std::time::Duration;

/// No memory is available to read from a connection, which waits until memory is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShortage {
    /// Idle connection that has to release its buffers on
    /// [`Directive::Park`](super::Directive::Park); its owner has to be woken. `None` if no
    /// connection can be parked.
    pub parking: Option<ConnectionId>,
}

impl fmt::Display for MemoryShortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("no memory is available to read from the connection")
    }
}

impl std::error::Error for MemoryShortage {}

impl ConnectionTable {
    /// Reserves the memory to read bytes that have arrived on a connection.
    ///
    /// On failure, the connection has to try again when
    /// [`next_awaiting_memory`](Self::next_awaiting_memory) returns its id, and is closed if it
    /// gets no memory within the request timeout.
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

    /// Requests parking of the longest idle connection other than `id` whose parking is not already
    /// requested.
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

    /// Reserves `bytes` for the body of a request, in addition to the bytes of a connection in use.
    /// The body may outlive the connection, while an attempt is in flight.
    ///
    /// Returns `None` if the budget has no memory for the body; the request must then be shed.
    pub fn reserve_request_bytes(
        &mut self,
        id: ConnectionId,
        bytes: usize,
    ) -> Option<ByteReservation> {
        let reservation = self.entry(id)?.lease.budget().reserve_bytes(bytes);
        if reservation.is_none() {
            self.on_memory_refusal();
        }
        reservation
    }

    /// Counts a request that is to be shed because no memory is left for its bodies.
    pub fn on_memory_refusal(&mut self) {
        self.refused[CloseCause::MemoryLimit as usize] += 1;
    }

    /// Records that a connection has released everything except its socket.
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

    /// Returns the connection that has waited longest for memory, after memory was released. Its
    /// owner has to be woken and calls [`on_readable`](Self::on_readable) again.
    pub fn next_awaiting_memory(&mut self) -> Option<ConnectionId> {
        let next = self.awaiting_memory.first(AWAITING_MEMORY)?;
        // Moved to the back: if the connection gets no memory, the next release wakes another one.
        self.awaiting_memory.push_back(AWAITING_MEMORY, next);
        Some(next)
    }
}
