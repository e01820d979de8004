//! The calls to discovery in flight.
//!
//! A call that another has superseded is kept for a while, because the node is notified of an answer once it is written
//! (see `notified`), whether or not the node still waits for it.

use super::call::CallOutcome;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// Bound on the calls in flight. Beyond it the oldest superseded one is dropped.
const MAX_CALLS: usize = 8;

/// The future that makes a call.
pub type CallFuture = Pin<Box<dyn Future<Output = CallOutcome>>>;

/// Identifies a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId(u64);

/// Counts the addresses that discovery has had. Versions of lists compare within one generation only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AddressGeneration(u32);

impl AddressGeneration {
    /// The generation of the address that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

struct CallInFlight {
    id: CallId,
    generation: AddressGeneration,
    future: CallFuture,
    /// Until when a superseded call's answer is read; `None` for a call that isn't superseded.
    read_until: Option<Instant>,
}

/// A call that has ended.
pub struct CompletedCall {
    /// Which one it was.
    pub id: CallId,
    /// The address that it was made to.
    pub generation: AddressGeneration,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// All calls in flight, the oldest first.
#[derive(Default)]
pub struct CallsInFlight {
    calls: Vec<CallInFlight>,
    started: u64,
}

impl CallsInFlight {
    /// Adds a call. It makes progress while `next_completed` is awaited.
    pub fn start(&mut self, generation: AddressGeneration, future: CallFuture) -> CallId {
        self.drop_expired();
        if self.calls.len() >= MAX_CALLS {
            let oldest = self.calls.iter().position(|call| call.read_until.is_some());
            self.calls.remove(oldest.unwrap_or(0));
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

    /// Marks calls as superseded: their answers are read for `read_for` from now.
    pub fn supersede(&mut self, ids: impl IntoIterator<Item = CallId>, read_for: Duration) {
        let until = Instant::now() + read_for;
        for id in ids {
            let call = self.calls.iter_mut().find(|call| call.id == id);
            if let Some(call) = call {
                call.read_until = Some(until);
            }
        }
    }

    /// Marks all calls as superseded that aren't yet.
    pub fn supersede_all(&mut self, read_for: Duration) {
        let until = Instant::now() + read_for;
        for call in &mut self.calls {
            call.read_until.get_or_insert(until);
        }
    }

    /// Waits for the next call that ends, for ever where none is in flight. Cancel-safe: no outcome is lost when this
    /// future is dropped.
    pub async fn next_completed(&mut self) -> CompletedCall {
        poll_fn(|context| self.poll_next_completed(context)).await
    }

    fn poll_next_completed(&mut self, context: &mut Context<'_>) -> Poll<CompletedCall> {
        for index in 0..self.calls.len() {
            if let Poll::Ready(outcome) = self.calls[index].future.as_mut().poll(context) {
                let CallInFlight { id, generation, .. } = self.calls.remove(index);
                return Poll::Ready(CompletedCall {
                    id,
                    generation,
                    outcome,
                });
            }
        }
        // Only after the polls above, which have read what had arrived in time.
        self.drop_expired();
        Poll::Pending
    }

    fn drop_expired(&mut self) {
        let now = Instant::now();
        self.calls
            .retain(|call| call.read_until.is_none_or(|until| now < until));
    }
}
