//! Memory of connections: the bytes charged for each, and the queue of connections that wait for
//! memory to read.

use super::eviction::MAX_SCANNED;
use super::{CloseCause, ConnectionId, ConnectionTable, Phase};
use crate::budget::ByteReservation;
use std::fmt;
use std::time::Duration;

/// Time after which a connection with an incomplete request is evicted while others wait for
/// memory; shorter than the time that they wait.
const MEMORY_EVICTION_AGE: Duration = Duration::from_millis(250);

/// Memory for the beginning of a request that a connection holds even if the budget has none, in
/// bytes: most heads are shorter.
const MIN_HELD_BYTES: usize = 4 << 10;

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
    /// [`next_awaiting_memory`](Self::next_awaiting_memory) returns its id, and is closed unread if
    /// it gets no memory in time.
    pub fn on_readable(&mut self, now: Duration, id: ConnectionId) -> Result<(), MemoryShortage> {
        let active_bytes = self.limits.active_bytes;
        let Some(entry) = self.entry_mut(id) else {
            return Ok(());
        };
        let reserved = entry.lease.try_set_bytes(active_bytes);
        let was_waiting = self.phase(id) == Phase::AwaitingMemory;
        if reserved {
            if was_waiting {
                self.enter_phase(now, id, Phase::ReadingRequest);
            }
            return Ok(());
        }
        // The timeout starts at the first failure, and not again at a later one.
        if !was_waiting {
            self.enter_phase(now, id, Phase::AwaitingMemory);
        }
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

    /// Counts a request that is to be shed because its client has sent so much behind it that the
    /// client's end may stand behind bytes that were not read.
    pub fn on_trailing_bytes_refusal(&mut self) {
        self.refused[CloseCause::TrailingBytes as usize] += 1;
    }

    /// Counts a request that is to be shed because no memory is left for its bodies.
    pub fn on_memory_refusal(&mut self) {
        self.refused[CloseCause::MemoryLimit as usize] += 1;
    }

    /// Records that a connection has released everything except its socket and `held_bytes` of
    /// memory, for the beginning of its next request.
    pub fn on_parked(&mut self, id: ConnectionId, held_bytes: usize) {
        if self.phase(id).is_idle() {
            self.phases.push_back(Phase::Parked as usize, id);
        }
        self.release_buffers(id);
        self.on_bytes_held(id, held_bytes);
    }

    /// Records that the beginning of a request takes `held_bytes` of memory. A connection in use has
    /// memory for it. Without memory for more than 4 KiB, the connection is closed: its
    /// request is incomplete.
    pub fn on_bytes_held(&mut self, id: ConnectionId, held_bytes: usize) {
        let needed = self.limits.parked_bytes + held_bytes;
        let Some(entry) = self.entry_mut(id) else {
            return;
        };
        let charged = entry.lease.bytes() >= needed || entry.lease.try_set_bytes(needed);
        if !charged && held_bytes > MIN_HELD_BYTES && self.phase(id) == Phase::ReadingRequest {
            self.close(id, CloseCause::MemoryLimit);
        }
    }

    /// Releases the memory of everything except the socket.
    pub(super) fn release_buffers(&mut self, id: ConnectionId) {
        let parked_bytes = self.limits.parked_bytes;
        if let Some(entry) = self.entry_mut(id) {
            entry.park_requested = false;
            entry.lease.try_set_bytes(parked_bytes);
        }
    }

    /// Returns the connection that reads next, after memory was released. Its owner has to be woken
    /// and calls [`on_readable`](Self::on_readable) again.
    ///
    /// The order is last in, first out: under overload the requests that are read have waited
    /// little, and those that have waited longest are closed unread. First in, first out would read
    /// every request late.
    pub fn next_awaiting_memory(&self) -> Option<ConnectionId> {
        self.phases.last(Phase::AwaitingMemory as usize)
    }

    /// Frees memory while connections wait for it: evicts connections whose request has been
    /// incomplete for 250 ms, at most one for each that waits. Appends to `woken` the connections
    /// whose owners have to be woken, among them the one that reads next.
    pub fn reclaim_memory(&mut self, now: Duration, woken: &mut Vec<ConnectionId>) {
        for _ in 0..self.phases.len(Phase::AwaitingMemory as usize) {
            let incomplete = self.oldest_in_phase(now, Phase::ReadingRequest, MEMORY_EVICTION_AGE);
            let Some(incomplete) = incomplete else { break };
            self.close(incomplete, CloseCause::Evicted);
            woken.push(incomplete);
        }
        woken.extend(self.next_awaiting_memory());
    }
}
