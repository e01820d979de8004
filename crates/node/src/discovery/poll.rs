//! Polls: calls that discovery answers without waiting for a change.

use super::call::{CallOutcome, DiscoveryConnection};
use super::client::DiscoveryClient;
use super::in_flight::CompletedCall;
use super::timing::{
    LATE_ANSWER_READ_TIME, LATE_FAILURE_HEDGE_DELAY, LATE_FAILURE_THRESHOLD, POLL_TIMEOUT,
    SUPERSEDED_READ_TIME,
};
use super::watches::Watches;
use crate::list_client::{DiscoveryError, ListRequest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Parameters of a poll.
pub(super) struct Poll {
    /// Discovery's address.
    pub(super) address: SocketAddr,
    /// Request that all calls of the poll send.
    pub(super) request: ListRequest,
    /// Connection of the first call.
    pub(super) connection: Option<DiscoveryConnection>,
    /// Time without an answer after which a hedged call is made; `None` for no hedged call.
    pub(super) hedge_delay: Option<Duration>,
}

/// Result of a poll that is made while watches are open.
pub(super) enum PollOutcome {
    /// A call of the poll was answered.
    Answered(CallOutcome),
    /// A watch was answered first.
    WatchAnswered(CallOutcome),
    /// All calls of the poll failed. Watches may have failed meanwhile too.
    Failed(DiscoveryError),
}

impl DiscoveryClient {
    /// Polls for the complete list.
    pub(super) async fn poll_complete_list(
        &mut self,
        address: SocketAddr,
        connection: Option<DiscoveryConnection>,
    ) -> CallOutcome {
        let called_at = Instant::now();
        let poll = Poll {
            address,
            request: ListRequest::Complete,
            connection,
            hedge_delay: self.failed_late.then_some(LATE_FAILURE_HEDGE_DELAY),
        };
        let outcome = match self.poll(poll, &mut Watches::default()).await {
            PollOutcome::Answered(outcome) | PollOutcome::WatchAnswered(outcome) => outcome,
            PollOutcome::Failed(error) => CallOutcome::failed(error),
        };
        self.failed_late = outcome.result.is_err() && called_at.elapsed() >= LATE_FAILURE_THRESHOLD;
        outcome
    }

    /// Polls while `watches` stay open. An answer supersedes the other calls of the poll; an answer
    /// to a watch supersedes the other watches too. Calls that time out are superseded, and watches
    /// that fail are removed.
    pub(super) async fn poll(&mut self, poll: Poll, watches: &mut Watches) -> PollOutcome {
        let Poll {
            address,
            request,
            connection,
            hedge_delay,
        } = poll;
        let mut calls = vec![self.start(address, request, connection)];
        let mut deadline = Instant::now() + hedge_delay.unwrap_or(POLL_TIMEOUT);
        let mut may_hedge = hedge_delay.is_some();
        loop {
            let awaited: Vec<_> = watches.open().chain(calls.iter().copied()).collect();
            let completed = timeout_at(deadline, self.first_completed(&awaited)).await;
            let Ok(CompletedCall { id, outcome, .. }) = completed else {
                if !may_hedge {
                    self.in_flight.supersede(calls, LATE_ANSWER_READ_TIME);
                    return PollOutcome::Failed(DiscoveryError::AnswerTimedOut);
                }
                may_hedge = false;
                calls.push(self.start(address, request, None));
                deadline = Instant::now() + POLL_TIMEOUT;
                continue;
            };
            let is_watch = watches.contains(id);
            watches.remove(id);
            calls.retain(|call| *call != id);
            match outcome.result {
                Ok(_) => {
                    self.in_flight.supersede(calls, SUPERSEDED_READ_TIME);
                    if !is_watch {
                        return PollOutcome::Answered(outcome);
                    }
                    watches.supersede(&mut self.in_flight, SUPERSEDED_READ_TIME);
                    return PollOutcome::WatchAnswered(outcome);
                }
                Err(error) if calls.is_empty() => return PollOutcome::Failed(error),
                Err(_) => {}
            }
        }
    }
}
