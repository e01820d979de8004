//! Timeouts: the maximum duration of each phase of a connection.

use super::{CloseCause, ConnectionId, ConnectionTable, Phase};
use std::time::Duration;

/// Maximum time between the first byte and the end of a request; for the first request of a
/// connection, between the accept and the end of the request. A client must get an error or a close
/// within 3 s, whatever it sends or omits; the three timeouts of an incomplete request together are
/// shorter.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a request has at least from the moment at which the node begins to read it, even if it
/// has waited for memory or arrived as the connection was about to close.
const MIN_READ_TIME: Duration = Duration::from_millis(300);
/// Maximum time for which a request waits unread for memory. Its deadline is not known before it is
/// read, and a client counts a request as lost 0.5 s after its deadline.
const MEMORY_WAIT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum duration of writing a response; bounds the wait for a client that does not read.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time after which a connection releases its buffers and parser; an active client sends its
/// next request sooner.
const PARK_AFTER: Duration = Duration::from_millis(300);

impl ConnectionTable {
    /// Closes connections whose timeout has passed and parks idle ones, in at most `max_steps`
    /// steps (see [`TimerWheel::advance`](crate::TimerWheel::advance)). Appends to `woken`
    /// the connections whose owners have to be woken.
    ///
    /// Returns `false` if work remains for this time; the caller then calls again.
    pub fn advance(
        &mut self,
        now: Duration,
        max_steps: usize,
        woken: &mut Vec<ConnectionId>,
    ) -> bool {
        let mut fired = std::mem::take(&mut self.fired);
        let done = self.timers.advance(now, max_steps, &mut fired);
        woken.extend(fired.drain(..).filter(|id| self.on_timeout(now, *id)));
        self.fired = fired;
        done
    }

    /// Records that a new connection has waited for its descriptor: its request timeout counts from
    /// its arrival, but leaves time to read what has arrived.
    pub fn on_admission_delay(&mut self, now: Duration, id: ConnectionId, delay: Duration) {
        let Some(entry) = self.entry_mut(id) else {
            return;
        };
        entry.request_since = now.saturating_sub(delay);
        let timeout = entry.request_since + REQUEST_TIMEOUT;
        self.timers.set(id, timeout.max(now + MIN_READ_TIME));
    }

    /// Sets the timeout of a phase that begins now.
    pub(super) fn set_timeout(&mut self, now: Duration, id: ConnectionId, phase: Phase) {
        let request_since = self.entry(id).map_or(now, |entry| entry.request_since);
        let at = match phase {
            Phase::AwaitingFirstByte => request_since + REQUEST_TIMEOUT,
            Phase::AwaitingMemory => now + MEMORY_WAIT_TIMEOUT,
            Phase::ReadingRequest => (request_since + REQUEST_TIMEOUT).max(now + MIN_READ_TIME),
            Phase::WritingResponse => now + RESPONSE_WRITE_TIMEOUT,
            Phase::Idle | Phase::Parked => now + PARK_AFTER.min(self.limits.idle_timeout),
            // The decision module bounds the time until the response, and the owner of the
            // connection bounds the time for which it lingers.
            Phase::Processing | Phase::Lingering => {
                self.timers.cancel(id);
                return;
            }
        };
        self.timers.set(id, at);
    }

    /// Handles a fired timer. Returns whether the owner of the connection has to be woken.
    fn on_timeout(&mut self, now: Duration, id: ConnectionId) -> bool {
        let Some(entry) = self.entry(id) else {
            return false;
        };
        let idle_until = entry.phase_since + self.limits.idle_timeout;
        if self.phase(id).is_idle() && now < idle_until {
            return self.on_park_timeout(id, idle_until);
        }
        let Some(cause) = self.timeout_cause(id) else {
            return false;
        };
        self.close(id, cause);
        true
    }

    /// Requests parking of an idle connection and sets its idle timeout. Returns whether the owner
    /// has to be woken; `false` if a shortage of memory has already parked the connection.
    fn on_park_timeout(&mut self, id: ConnectionId, idle_until: Duration) -> bool {
        let park = self.phase(id) == Phase::Idle;
        if let Some(entry) = self.entry_mut(id) {
            entry.park_requested = park;
        }
        self.timers.set(id, idle_until);
        park
    }

    /// Returns the close cause of a connection whose timeout has passed; `None` in a phase without
    /// a timeout.
    fn timeout_cause(&self, id: ConnectionId) -> Option<CloseCause> {
        match self.phase(id) {
            Phase::AwaitingFirstByte => Some(CloseCause::FirstByteTimeout),
            Phase::AwaitingMemory => Some(CloseCause::MemoryLimit),
            Phase::ReadingRequest => Some(CloseCause::RequestTimeout),
            Phase::Processing | Phase::Lingering => None,
            Phase::WritingResponse => Some(CloseCause::ResponseWriteTimeout),
            Phase::Idle | Phase::Parked => Some(CloseCause::IdleTimeout),
        }
    }
}
