//! Events of a connection's requests, from the first byte to the end of the response.

use super::{ConnectionId, ConnectionTable, Directive, Phase};
use std::time::Duration;

impl ConnectionTable {
    /// Records that bytes were read from a connection.
    pub fn on_bytes_read(&mut self, now: Duration, id: ConnectionId) {
        match self.phase(id) {
            Phase::AwaitingFirstByte | Phase::AwaitingMemory | Phase::Idle | Phase::Parked => {
                self.enter_phase(now, id, Phase::ReadingRequest);
            }
            Phase::ReadingRequest | Phase::Lingering => {}
            Phase::Processing | Phase::WritingResponse => {
                if let Some(entry) = self.entry_mut(id) {
                    entry.next_request_begun = true;
                }
            }
        }
    }

    /// Records that the head of a request was read; its body may follow.
    pub fn on_request_head(&mut self, now: Duration, id: ConnectionId) {
        if let Some(entry) = self.entry_mut(id) {
            entry.next_request_begun = false;
        }
        let reading = matches!(
            self.phase(id),
            Phase::AwaitingFirstByte | Phase::ReadingRequest
        );
        if !reading {
            self.enter_phase(now, id, Phase::ReadingRequest);
        }
    }

    /// Records that a request of this class was read completely. Returns whether the class now
    /// exceeds its quota of requests in flight, which the caller has to report to the decision
    /// module.
    pub fn on_request(&mut self, now: Duration, id: ConnectionId, class: usize) -> bool {
        self.enter_phase(now, id, Phase::Processing);
        if let Some(entry) = self.entry_mut(id) {
            entry.class = u16::try_from(class).ok();
            // The request timeout may have passed while the last bytes were read; a complete
            // request is still answered.
            if let Some(closing) = &mut entry.closing {
                if closing.directive == Directive::Abort {
                    closing.directive = Directive::Finish;
                }
            }
        }
        self.add_to_class(class)
    }

    /// Records that the response to the request is ready and about to be written.
    pub fn on_response(&mut self, now: Duration, id: ConnectionId) {
        let class = self.entry_mut(id).and_then(|entry| entry.class.take());
        self.remove_from_class(class);
        self.enter_phase(now, id, Phase::WritingResponse);
    }

    /// Records that all pending output has been written.
    pub fn on_flushed(&mut self, now: Duration, id: ConnectionId) {
        if self.phase(id) != Phase::WritingResponse {
            return;
        }
        let memory_short = !self.phases.is_empty(Phase::AwaitingMemory as usize);
        let Some(entry) = self.entry_mut(id) else {
            return;
        };
        let next_request_begun = entry.next_request_begun;
        entry.park_requested = memory_short && !next_request_begun;
        let phase = if next_request_begun {
            Phase::ReadingRequest
        } else {
            Phase::Idle
        };
        self.enter_phase(now, id, phase);
    }

    /// Records that the node has shut down its side of a connection and keeps only the socket,
    /// while the client may still be reading. The owner bounds the duration of this phase.
    pub fn on_lingering(&mut self, now: Duration, id: ConnectionId) {
        self.enter_phase(now, id, Phase::Lingering);
        self.release_buffers(id);
    }

    /// Moves a connection to a phase and sets the timeout of the phase.
    pub(super) fn enter_phase(&mut self, now: Duration, id: ConnectionId, phase: Phase) {
        let request_begins = phase.precedes_request() && !self.phase(id).precedes_request();
        let Some(entry) = self.entry_mut(id) else {
            return;
        };
        entry.phase_since = now;
        if request_begins {
            entry.request_since = now;
        }
        let address = entry.address;
        self.phases.push_back(phase as usize, id);
        self.set_timeout(now, id, phase);
        let Some(address) = address else { return };
        match self.addresses.get(&address) {
            Some(usage) if phase.is_idle() => self.idle_by_address.push_back(usage.idle_list, id),
            _ => {
                self.idle_by_address.remove(id);
            }
        }
    }
}
