//! The calls to discovery in flight.
//!
//! A superseded call is kept for a while, because the node is notified of an answer once discovery
//! has written it (see `notified`), whether or not the node still waits for the answer. Every call
//! that ends unanswered, whoever ends it, counts as a failed call until another call is answered.

use super::call::CallOutcome;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of calls in flight. Beyond it the oldest superseded call is dropped.
const MAX_CALLS: usize = 8;

/// Future of a call.
pub type CallFuture = Pin<Box<dyn Future<Output = CallOutcome>>>;

/// Identifier of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId(u64);

/// Sequence number of discovery's addresses. Versions of lists are comparable only within one
/// generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AddressGeneration(u32);

impl AddressGeneration {
    /// Returns the generation of the next address.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

struct CallInFlight {
    id: CallId,
    generation: AddressGeneration,
    future: CallFuture,
    /// End of the time in which a superseded call's answer is read; `None` for a call that isn't
    /// superseded.
    read_until: Option<Instant>,
}

/// A completed call.
pub struct CompletedCall {
    /// Identifier of the call.
    pub id: CallId,
    /// Generation of the address that was called.
    pub generation: AddressGeneration,
    /// Result of the call.
    pub outcome: CallOutcome,
}

/// All calls in flight, oldest first.
#[derive(Default)]
pub struct CallsInFlight {
    calls: Vec<CallInFlight>,
    started: u64,
    /// When a call first ended unanswered, with no answer since.
    unanswered_since: Option<Instant>,
}

impl CallsInFlight {
    /// Adds a call. Calls make progress only while `next_completed` is awaited.
    pub fn start(&mut self, generation: AddressGeneration, future: CallFuture) -> CallId {
        self.drop_expired();
        if self.calls.len() >= MAX_CALLS {
            let oldest = self.calls.iter().position(|call| call.read_until.is_some());
            self.calls.remove(oldest.unwrap_or(0));
            self.record_unanswered();
        }
        self.started += 1;
        let id = CallId(self.started);
        self.calls.push(CallInFlight {
            id,
            generation,
            future,
            read_until: None,
        });
        id
    }

    /// Returns when a call first ended unanswered, if no call has been answered since.
    pub fn unanswered_since(&self) -> Option<Instant> {
        self.unanswered_since
    }

    /// Returns the end of the time in which the answer to some superseded call is read; the
    /// earliest, if there are several.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.calls.iter().filter_map(|call| call.read_until).min()
    }

    /// Marks calls as superseded. Their answers are read for another `read_for`.
    pub fn supersede(&mut self, ids: impl IntoIterator<Item = CallId>, read_for: Duration) {
        let until = Instant::now() + read_for;
        for id in ids {
            let call = self.calls.iter_mut().find(|call| call.id == id);
            if let Some(call) = call {
                call.read_until = Some(until);
            }
        }
    }

    /// Marks all calls as superseded. Calls that are already superseded keep their time limit.
    pub fn supersede_all(&mut self, read_for: Duration) {
        let until = Instant::now() + read_for;
        for call in &mut self.calls {
            call.read_until.get_or_insert(until);
        }
    }

    /// Waits for the next call to complete; never returns while no call is in flight. Cancel-safe:
    /// no outcome is lost when this future is dropped.
    pub async fn next_completed(&mut self) -> CompletedCall {
        poll_fn(|context| self.poll_next_completed(context)).await
    }

    fn poll_next_completed(&mut self, context: &mut Context<'_>) -> Poll<CompletedCall> {
        for index in 0..self.calls.len() {
            if let Poll::Ready(outcome) = self.calls[index].future.as_mut().poll(context) {
                let CallInFlight { id, generation, .. } = self.calls.remove(index);
                match outcome.result {
                    Ok(_) => self.unanswered_since = None,
                    Err(_) => self.record_unanswered(),
                }
                return Poll::Ready(CompletedCall {
                    id,
                    generation,
                    outcome,
                });
            }
        }
        // Expired calls are dropped only after the polls above, which read the answers that arrived
        // in time.
        self.drop_expired();
        Poll::Pending
    }

    /// Drops the superseded calls whose answers are no longer read.
    fn drop_expired(&mut self) {
        let now = Instant::now();
        let calls = self.calls.len();
        self.calls
            .retain(|call| call.read_until.is_none_or(|until| now < until));
        if self.calls.len() < calls {
            self.record_unanswered();
        }
    }

    /// Records that a call has ended unanswered.
    fn record_unanswered(&mut self) {
        self.unanswered_since.get_or_insert_with(Instant::now);
    }
}
