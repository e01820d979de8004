//! The calls to discovery that are out. None is dropped while an answer may be on its way: discovery counts what it has
//! written as known to the node, whether or not the node still waits for it.

use super::call::CallOutcome;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// More calls than this are never out: of those that another has taken the place of, the oldest is dropped.
const MOST_CALLS: usize = 8;

/// A call that is out.
pub type Call = Pin<Box<dyn Future<Output = CallOutcome>>>;

/// Names a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId(u64);

/// Counts the addresses that discovery has had: versions of one mean nothing at another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Source(u32);

impl Source {
    /// The address after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

struct Open {
    id: CallId,
    source: Source,
    call: Call,
    /// Where another has taken its place: until when its answer is still read.
    superseded: Option<Instant>,
}

/// A call that has ended.
pub struct Answered {
    pub id: CallId,
    pub source: Source,
    pub outcome: CallOutcome,
}

/// All calls that are out, the oldest first.
#[derive(Default)]
pub struct InFlight {
    calls: Vec<Open>,
    started: u64,
}

impl InFlight {
    /// Takes in a call.
    pub fn start(&mut self, source: Source, call: Call) -> CallId {
        self.drop_expired();
        if self.calls.len() >= MOST_CALLS {
            let oldest = self.calls.iter().position(|open| open.superseded.is_some());
            self.calls.remove(oldest.unwrap_or(0));
        }
        self.started += 1;
        let id = CallId(self.started);
        self.calls.push(Open {
            id,
            source,
            call,
            superseded: None,
        });
        id
    }

    /// Another call takes this one's place: its answer is read for so long.
    pub fn supersede(&mut self, id: CallId, read_for: Duration) {
        let call = self.calls.iter_mut().find(|open| open.id == id);
        if let Some(open) = call {
            open.superseded = Some(Instant::now() + read_for);
        }
    }

    /// The same for all calls.
    pub fn supersede_all(&mut self, read_for: Duration) {
        let until = Instant::now() + read_for;
        for open in &mut self.calls {
            open.superseded.get_or_insert(until);
        }
    }

    /// The next call that ends; none does where none is out.
    pub async fn next(&mut self) -> Answered {
        poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Answered> {
        for place in 0..self.calls.len() {
            if let Poll::Ready(outcome) = self.calls[place].call.as_mut().poll(context) {
                let Open { id, source, .. } = self.calls.remove(place);
                return Poll::Ready(Answered {
                    id,
                    source,
                    outcome,
                });
            }
        }
        self.drop_expired();
        Poll::Pending
    }

    /// Only after these have been polled: what has come meanwhile is read.
    fn drop_expired(&mut self) {
        let now = Instant::now();
        self.calls
            .retain(|open| open.superseded.is_none_or(|until| now < until));
    }
}
