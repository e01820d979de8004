//! Eviction: which connections close when descriptors run out.

use super::{CloseCause, ConnectionId, ConnectionTable, Directive, Phase};
use std::time::Duration;

/// A connection may be evicted when no byte has come on it for this long; an active client sends its request at once.
const FIRST_BYTE_EVICTION_AGE: Duration = Duration::from_millis(30);
/// A connection that was idle for this long is evicted before connections with a request in progress.
const IDLE_EVICTION_AGE: Duration = Duration::from_secs(2);
/// A connection may be evicted when its request is incomplete after this long; most requests take a few packets.
const REQUEST_EVICTION_AGE: Duration = Duration::from_millis(500);
/// Connections of a list that one search looks at, at most; bounds the time that it takes.
pub(super) const MAX_SCANNED: usize = 64;

/// Phases of the connections that count towards [`ConnectionLimits::keep_alive_limit`](super::ConnectionLimits).
const IN_USE: [Phase; 4] = [
    Phase::Processing,
    Phase::WritingResponse,
    Phase::Idle,
    Phase::Parked,
];

/// Whether a connection stays open after the response that is about to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// It stays open.
    Keep,
    /// It stays open, and this idle connection closes in its place and has to be woken.
    KeepAndEvict(ConnectionId),
    /// It closes with the response.
    Close,
}

impl ConnectionTable {
    /// Decides whether a connection stays open after its next response: not while other connections wait for a
    /// descriptor, nor while [`keep_alive_limit`](super::ConnectionLimits::keep_alive_limit) connections are in use and
    /// none of them has been idle for long.
    pub fn keep_alive(&mut self, now: Duration, id: ConnectionId) -> KeepAlive {
        let in_use: usize = IN_USE
            .iter()
            .map(|phase| self.phases.len(*phase as usize))
            .sum();
        if self.waiting == 0 && in_use < self.limits.keep_alive_limit {
            return KeepAlive::Keep;
        }
        if self.waiting == 0 {
            if let Some(idle) = self.oldest_idle(now, IDLE_EVICTION_AGE) {
                self.close(idle, CloseCause::Evicted);
                return KeepAlive::KeepAndEvict(idle);
            }
        }
        if self.entry(id).is_some_and(|entry| entry.closing.is_none()) {
            // The response itself closes the connection: its owner needs no directive.
            self.set_closing(id, CloseCause::KeepAliveLimit, Directive::Continue);
        }
        KeepAlive::Close
    }

    /// Closes a connection in favour of a client that waits for a descriptor. It has to be woken.
    ///
    /// Connections without a request go first, so that a flood of them evicts its own. Without any, those whose request
    /// is slow to arrive go, and then the longest idle one, unless a connection has just been accepted that may send
    /// its request yet.
    pub fn evict_for_client(&mut self, now: Duration) -> Option<ConnectionId> {
        let evicted = self
            .oldest_unused(now)
            .or_else(|| self.oldest_in_phase(now, Phase::ReadingRequest, REQUEST_EVICTION_AGE))
            .or_else(|| self.oldest_idle_without_newcomers(now))?;
        self.close(evicted, CloseCause::Evicted);
        Some(evicted)
    }

    /// Closes a connection without a request in favour of a connection to an endpoint. It has to be woken.
    pub fn evict_for_upstream(&mut self, now: Duration) -> Option<ConnectionId> {
        let evicted = self.oldest_unused(now)?;
        self.close(evicted, CloseCause::Evicted);
        Some(evicted)
    }

    /// The first connection that is not closing already, of the first [`MAX_SCANNED`].
    pub(super) fn first_not_closing(
        &self,
        ids: impl Iterator<Item = ConnectionId>,
    ) -> Option<ConnectionId> {
        ids.take(MAX_SCANNED)
            .find(|id| self.entry(*id).is_some_and(|entry| entry.closing.is_none()))
    }

    /// A connection that has sent nothing since it was accepted, or else one that was idle for long.
    fn oldest_unused(&self, now: Duration) -> Option<ConnectionId> {
        self.oldest_in_phase(now, Phase::AwaitingFirstByte, FIRST_BYTE_EVICTION_AGE)
            .or_else(|| self.oldest_idle(now, IDLE_EVICTION_AGE))
    }

    /// The longest idle connection, where none is waiting for its first byte.
    fn oldest_idle_without_newcomers(&self, now: Duration) -> Option<ConnectionId> {
        let idle = self.oldest_idle(now, Duration::ZERO)?;
        let newcomer = self.oldest_in_phase(now, Phase::AwaitingFirstByte, Duration::ZERO);
        newcomer.is_none().then_some(idle)
    }

    /// The longest idle connection, if it was idle for at least `age`. Parked ones have been idle for longer than
    /// others.
    fn oldest_idle(&self, now: Duration, age: Duration) -> Option<ConnectionId> {
        self.oldest_in_phase(now, Phase::Parked, age)
            .or_else(|| self.oldest_in_phase(now, Phase::Idle, age))
    }

    /// The connection that entered a phase first and is not closing, if it entered the phase at least `age` ago.
    fn oldest_in_phase(&self, now: Duration, phase: Phase, age: Duration) -> Option<ConnectionId> {
        let oldest = self.first_not_closing(self.phases.iter(phase as usize))?;
        self.entry(oldest)
            .filter(|entry| now.saturating_sub(entry.phase_since) >= age)
            .map(|_| oldest)
    }
}
