//! Timeouts: how long a connection may be in each phase.

use super::{CloseCause, ConnectionId, ConnectionTable, Phase};
use std::time::Duration;

/// A request must be complete this long after its first byte, the first one after the connection's start. A client
/// is owed an error or a close within 3 s, whatever it sends or leaves out.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A client that does not read its response keeps its connection no longer than this.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection idle for this long gives up its buffers and parser; an active client sends its next request sooner.
const PARK_AFTER: Duration = Duration::from_millis(300);

impl ConnectionTable {
    /// Ends connections whose time is up and parks idle ones, in no more than `work` steps: those to be woken are appended
    /// to `woken`. `false` where there is more to do now.
    pub fn advance(&mut self, now: Duration, work: usize, woken: &mut Vec<ConnectionId>) -> bool {
        let mut fired = std::mem::take(&mut self.fired);
        let done = self.timers.advance(now, work, &mut fired);
        for id in fired.drain(..) {
            let (phase, idle) = (self.phase(id), self.limits.idle_timeout);
            let starved = self.starved.list(id).is_some();
            let Some(entry) = self.entry_mut(id) else {
                continue;
            };
            let over = entry.phase_since + idle;
            let cause = match phase {
                Phase::AwaitingFirstByte | Phase::ReadingRequest if starved => {
                    CloseCause::MemoryLimit
                }
                Phase::AwaitingFirstByte => CloseCause::FirstByteTimeout,
                Phase::ReadingRequest => CloseCause::RequestTimeout,
                Phase::Processing => continue,
                Phase::WritingResponse => CloseCause::ResponseWriteTimeout,
                // One may be parked before this, where others wait for what it holds.
                Phase::Idle | Phase::Parked if now < over => {
                    entry.parking = phase == Phase::Idle;
                    if entry.parking {
                        woken.push(id);
                    }
                    self.timers.set(id, over);
                    continue;
                }
                Phase::Idle | Phase::Parked => CloseCause::IdleTimeout,
            };
            self.close(id, cause);
            woken.push(id);
        }
        self.fired = fired;
        done
    }

    /// Sets the timeout of a phase that begins now.
    pub(super) fn set_timeout(&mut self, now: Duration, id: ConnectionId, phase: Phase) {
        match phase {
            Phase::AwaitingFirstByte | Phase::ReadingRequest => {
                self.timers.set(id, now + REQUEST_TIMEOUT)
            }
            Phase::WritingResponse => self.timers.set(id, now + RESPONSE_WRITE_TIMEOUT),
            Phase::Idle | Phase::Parked => {
                self.timers
                    .set(id, now + PARK_AFTER.min(self.limits.idle_timeout));
            }
            Phase::Processing => drop(self.timers.cancel(id)),
        }
    }
}
