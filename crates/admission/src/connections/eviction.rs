//! Eviction: which connection closes where descriptors run out.

use super::{CloseCause, ConnectionId, ConnectionTable, Directive, Phase};
use std::time::Duration;

/// A connection that has sent nothing for this long may be evicted; a usual client sends a request at once.
const SILENT_EVICTION_AGE: Duration = Duration::from_millis(30);
/// A connection idle for this long may be evicted first.
const IDLE_EVICTION_AGE: Duration = Duration::from_secs(2);
/// A connection whose request is incomplete after this long may be evicted; usual ones come within a few packets.
const REQUEST_EVICTION_AGE: Duration = Duration::from_millis(500);
/// Connections looked at, at most, in search of one that is not closing already.
pub(super) const MAX_SCANNED: usize = 64;

impl ConnectionTable {
    /// Whether a connection that is about to be answered closes with its answer, since others wait for a descriptor or
    /// will soon. One that was not used for long closes instead, if there is any: it is to be woken.
    pub fn closes_with_response(
        &mut self,
        now: Duration,
        id: ConnectionId,
    ) -> (bool, Option<ConnectionId>) {
        let used = [
            Phase::Processing,
            Phase::WritingResponse,
            Phase::Idle,
            Phase::Parked,
        ];
        let used: usize = used
            .iter()
            .map(|phase| self.phases.len(*phase as usize))
            .sum();
        if self.waiting == 0 && used < self.limits.keep_alive_limit {
            return (false, None);
        }
        if self.waiting == 0 {
            if let Some(other) = self.oldest_idle(now, IDLE_EVICTION_AGE) {
                self.close(other, CloseCause::Evicted);
                return (false, Some(other));
            }
        }
        if self.entry(id).is_some_and(|entry| entry.ending.is_none()) {
            // The response says so: its owner needs no directive.
            self.set_ending(id, CloseCause::KeepAliveLimit, Directive::Continue);
        }
        (true, None)
    }

    /// Closes one in favour of a client that waits; it has to be woken. A flood of silent connections evicts its own first,
    /// but must not block usual clients behind it while unused connections or incomplete requests hold the rest.
    pub fn evict_for_client(&mut self, now: Duration) -> Option<ConnectionId> {
        let found = self
            .oldest_unused(now)
            .or_else(|| self.oldest_in_phase(now, Phase::ReadingRequest, REQUEST_EVICTION_AGE))
            .or_else(|| {
                self.oldest_idle(now, Duration::ZERO).filter(|_| {
                    self.oldest_in_phase(now, Phase::AwaitingFirstByte, Duration::ZERO)
                        .is_none()
                })
            })?;
        self.close(found, CloseCause::Evicted);
        Some(found)
    }

    /// Closes one that was not used for long, or never, in favour of a connection to a server. It has to be woken.
    pub fn evict_for_server(&mut self, now: Duration) -> Option<ConnectionId> {
        let found = self.oldest_unused(now)?;
        self.close(found, CloseCause::Evicted);
        Some(found)
    }

    /// The first that is not closing already.
    pub(super) fn first_not_closing(
        &self,
        ids: impl Iterator<Item = ConnectionId>,
    ) -> Option<ConnectionId> {
        ids.take(MAX_SCANNED)
            .find(|id| self.entry(*id).is_some_and(|entry| entry.ending.is_none()))
    }

    /// One that was never used, or not for long.
    fn oldest_unused(&self, now: Duration) -> Option<ConnectionId> {
        self.oldest_in_phase(now, Phase::AwaitingFirstByte, SILENT_EVICTION_AGE)
            .or_else(|| self.oldest_idle(now, IDLE_EVICTION_AGE))
    }

    /// The one that has been in this phase for longest, if that is `age` or more, among those that are not closing already.
    fn oldest_in_phase(&self, now: Duration, phase: Phase, age: Duration) -> Option<ConnectionId> {
        let found = self.first_not_closing(self.phases.iter(phase as usize))?;
        self.entry(found)
            .filter(|entry| now.saturating_sub(entry.phase_since) >= age)
            .map(|_| found)
    }

    /// Those that are parked have been idle for longer than the others.
    fn oldest_idle(&self, now: Duration, age: Duration) -> Option<ConnectionId> {
        self.oldest_in_phase(now, Phase::Parked, age)
            .or_else(|| self.oldest_in_phase(now, Phase::Idle, age))
    }
}
