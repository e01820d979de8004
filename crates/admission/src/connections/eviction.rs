//! Eviction: the choice of connections to close when descriptors run out.

use super::{CloseCause, ConnectionId, ConnectionTable, Directive, Phase};
use std::time::Duration;

/// Time without a first byte after which a connection may be evicted; an active client sends its
/// request immediately.
const FIRST_BYTE_EVICTION_AGE: Duration = Duration::from_millis(30);
/// Idle time after which a connection is evicted before connections with a request in progress.
const IDLE_EVICTION_AGE: Duration = Duration::from_secs(2);
/// Time after which a connection with an incomplete request may be evicted; most requests take a
/// few packets.
const REQUEST_EVICTION_AGE: Duration = Duration::from_millis(500);
/// Time after which a connection that lingers may be evicted: its client has had this time to read
/// the last response.
const LINGERING_EVICTION_AGE: Duration = Duration::from_millis(100);
/// Time after which a connection that waits for memory may be evicted.
const MEMORY_WAIT_EVICTION_AGE: Duration = Duration::from_millis(250);
/// Maximum number of connections of a list that one search examines; bounds the duration of the
/// search.
pub(super) const MAX_SCANNED: usize = 64;

/// Phases of the connections that count towards
/// [`ConnectionLimits::keep_alive_limit`](super::ConnectionLimits).
const IN_USE: [Phase; 4] = [
    Phase::Processing,
    Phase::WritingResponse,
    Phase::Idle,
    Phase::Parked,
];

/// Decision whether a connection stays open after its next response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The connection stays open.
    Keep,
    /// The connection stays open, and this idle connection is closed instead; its owner has to be
    /// woken.
    KeepAndEvict(ConnectionId),
    /// The connection closes with the response.
    Close,
}

impl ConnectionTable {
    /// Decides whether a connection stays open after its next response. The connection closes while
    /// other connections wait for a descriptor, or while
    /// [`keep_alive_limit`](super::ConnectionLimits::keep_alive_limit) connections are in use and
    /// none has been idle long enough to be evicted.
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
            // The response closes the connection, so the owner needs no directive.
            self.set_closing(id, CloseCause::KeepAliveLimit, Directive::Continue);
        }
        KeepAlive::Close
    }

    /// Closes a connection to free its descriptor for a waiting client. The owner of the returned
    /// connection has to be woken.
    ///
    /// Connections without a request are evicted first, so that a flood of such connections evicts
    /// only connections of the flood; among them are those that the node has closed and that linger
    /// for their clients. The next candidates are connections whose request arrives slowly, then
    /// those whose request has waited for memory. The last candidate is the longest idle connection,
    /// unless a connection was accepted so recently that its request may still arrive.
    pub fn evict_for_client(&mut self, now: Duration) -> Option<ConnectionId> {
        if let Some(lingering) = self.oldest_lingering(now) {
            self.set_closing(lingering, CloseCause::Evicted, Directive::Abort);
            return Some(lingering);
        }
        let evicted = self
            .oldest_unused(now)
            .or_else(|| self.oldest_in_phase(now, Phase::ReadingRequest, REQUEST_EVICTION_AGE))
            .or_else(|| self.oldest_in_phase(now, Phase::AwaitingMemory, MEMORY_WAIT_EVICTION_AGE))
            .or_else(|| self.oldest_idle_if_none_awaits_first_byte(now))?;
        self.close(evicted, CloseCause::Evicted);
        Some(evicted)
    }

    /// Closes a connection without a request to free its descriptor for a connection to an
    /// endpoint. The owner of the returned connection has to be woken.
    pub fn evict_for_upstream(&mut self, now: Duration) -> Option<ConnectionId> {
        let evicted = self.oldest_unused(now)?;
        self.close(evicted, CloseCause::Evicted);
        Some(evicted)
    }

    /// Returns the first connection that is not closing, among the first [`MAX_SCANNED`] ids.
    pub(super) fn first_not_closing(
        &self,
        ids: impl Iterator<Item = ConnectionId>,
    ) -> Option<ConnectionId> {
        ids.take(MAX_SCANNED)
            .find(|id| self.entry(*id).is_some_and(|entry| entry.closing.is_none()))
    }

    /// Returns the connection that has lingered for longest, if it may be evicted and is not aborted
    /// already.
    fn oldest_lingering(&self, now: Duration) -> Option<ConnectionId> {
        self.phases
            .iter(Phase::Lingering as usize)
            .take(MAX_SCANNED)
            .find(|id| self.entry(*id).is_some_and(|entry| !entry.is_aborted()))
            .filter(|id| {
                self.entry(*id).is_some_and(|entry| {
                    now.saturating_sub(entry.phase_since) >= LINGERING_EVICTION_AGE
                })
            })
    }

    /// Returns a connection that has sent nothing since it was accepted, or else one that has been
    /// idle for [`IDLE_EVICTION_AGE`].
    fn oldest_unused(&self, now: Duration) -> Option<ConnectionId> {
        self.oldest_in_phase(now, Phase::AwaitingFirstByte, FIRST_BYTE_EVICTION_AGE)
            .or_else(|| self.oldest_idle(now, IDLE_EVICTION_AGE))
    }

    /// Returns the longest idle connection, unless a connection awaits its first byte.
    fn oldest_idle_if_none_awaits_first_byte(&self, now: Duration) -> Option<ConnectionId> {
        let idle = self.oldest_idle(now, Duration::ZERO)?;
        let awaiting_first_byte =
            self.oldest_in_phase(now, Phase::AwaitingFirstByte, Duration::ZERO);
        awaiting_first_byte.is_none().then_some(idle)
    }

    /// Returns the longest idle connection if it has been idle for at least `age`. Parked
    /// connections have been idle for longer than other idle connections.
    fn oldest_idle(&self, now: Duration, age: Duration) -> Option<ConnectionId> {
        self.oldest_in_phase(now, Phase::Parked, age)
            .or_else(|| self.oldest_in_phase(now, Phase::Idle, age))
    }

    /// Returns the connection that entered a phase first and is not closing, if it entered the
    /// phase at least `age` ago.
    pub(super) fn oldest_in_phase(
        &self,
        now: Duration,
        phase: Phase,
        age: Duration,
    ) -> Option<ConnectionId> {
        let oldest = self.first_not_closing(self.phases.iter(phase as usize))?;
        self.entry(oldest)
            .filter(|entry| now.saturating_sub(entry.phase_since) >= age)
            .map(|_| oldest)
    }
}
