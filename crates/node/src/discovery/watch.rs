//! The lifetime of a watch on the endpoint list, from its opening to its answer.

use super::call::{CallOutcome, DiscoveryConnection};
use super::client::DiscoveryClient;
use super::renewal::CheckOutcome;
use super::timing::{
    LATE_FAILURE_THRESHOLD, POLL_TIMEOUT, RENEWAL_BACKOFF, SUPERSEDED_READ_TIME,
    WATCH_ANSWER_GRACE, WATCH_WAIT,
};
use super::watches::Watches;
use crate::list_client::{DiscoveryError, ListRequest};
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// A watch and its renewals until one of them is answered.
pub(super) struct WatchSession {
    /// Discovery's address.
    pub(super) address: SocketAddr,
    /// Version after which the watches wait for changes.
    pub(super) version: u64,
    /// The open watches.
    pub(super) watches: Watches,
    /// When the newest watch was opened.
    opened_at: Instant,
    /// Whether the watch was opened after a failed call and has not been verified since.
    unverified: bool,
    /// When to verify or renew the newest watch.
    next_check: Instant,
}

impl WatchSession {
    /// Returns the time at which the watches count as failed if none of them was answered.
    fn deadline(&self) -> Instant {
        self.opened_at + WATCH_WAIT + WATCH_ANSWER_GRACE
    }
}

impl DiscoveryClient {
    /// Waits for the next list from discovery: the complete list if none is held, otherwise the
    /// answer to a watch.
    pub(super) async fn next_list(
        &mut self,
        address: SocketAddr,
        connection: Option<DiscoveryConnection>,
    ) -> CallOutcome {
        match self.version {
            Some(version) => self.watch(address, version, connection).await,
            None => self.poll_complete_list(address, connection).await,
        }
    }

    /// Opens a watch and waits for its answer, or for the answer to one of its renewals. Checks the
    /// watch at intervals meanwhile.
    async fn watch(
        &mut self,
        address: SocketAddr,
        version: u64,
        connection: Option<DiscoveryConnection>,
    ) -> CallOutcome {
        let mut session = self.open_watch(address, version, connection);
        loop {
            let deadline = session.deadline();
            let answer = self.watch_outcome(&mut session.watches);
            if let Ok(outcome) = timeout_at(session.next_check.min(deadline), answer).await {
                let waited = session.opened_at.elapsed();
                self.failed_late = session.unverified
                    && outcome.result.is_err()
                    && (LATE_FAILURE_THRESHOLD..POLL_TIMEOUT).contains(&waited);
                return outcome;
            }
            if deadline <= session.next_check {
                session
                    .watches
                    .supersede(&mut self.in_flight, Duration::ZERO);
                return CallOutcome::failed(DiscoveryError::AnswerTimedOut);
            }
            if let ControlFlow::Break(outcome) = self.check(&mut session).await {
                return outcome;
            }
        }
    }

    fn open_watch(
        &mut self,
        address: SocketAddr,
        version: u64,
        connection: Option<DiscoveryConnection>,
    ) -> WatchSession {
        let opened_at = Instant::now();
        let next_check = opened_at + self.first_check_delay();
        let request = ListRequest::ChangesAfter {
            version,
            wait: WATCH_WAIT,
        };
        WatchSession {
            address,
            version,
            opened_at,
            unverified: self.failing,
            next_check,
            watches: Watches::new(self.start(address, request, connection)),
        }
    }

    /// Checks the watches: by a verification after a failed call, otherwise by a renewal. Breaks if
    /// the watches have ended.
    async fn check(&mut self, session: &mut WatchSession) -> ControlFlow<CallOutcome> {
        let checked_at = Instant::now();
        let outcome = if session.unverified {
            self.verify_watch(session).await
        } else {
            self.renew_watch(session).await
        };
        match outcome {
            CheckOutcome::WatchesEnded(outcome) => return ControlFlow::Break(outcome),
            CheckOutcome::WatchesRemainOpen => {
                // A verification does not open a watch.
                if !session.unverified {
                    session.opened_at = checked_at;
                }
                session.unverified = false;
                session.next_check = checked_at + self.renewal_delay();
            }
            CheckOutcome::Failed(error) if checked_at.elapsed() >= LATE_FAILURE_THRESHOLD => {
                // The next call must start now. The open watches are read until their deadline.
                self.failed_late = true;
                let remaining = session.deadline().saturating_duration_since(Instant::now());
                session.watches.supersede(&mut self.in_flight, remaining);
                return ControlFlow::Break(CallOutcome::failed(error));
            }
            CheckOutcome::Failed(error) => {
                let text =
                    format!("discovery: the renewal or verification of the watch failed: {error}");
                self.log.rate_limited("discovery", &text);
                self.failing = true;
                session.next_check = Instant::now() + RENEWAL_BACKOFF.draw(&mut self.random);
            }
        }
        ControlFlow::Continue(())
    }

    /// Waits for the answer to a watch, or the failure of the newest watch. The remaining watches
    /// are then superseded.
    async fn watch_outcome(&mut self, watches: &mut Watches) -> CallOutcome {
        loop {
            let open: Vec<_> = watches.open().collect();
            let completed = self.first_completed(&open).await;
            watches.remove(completed.id);
            if completed.outcome.result.is_ok() || watches.newest_failed() {
                watches.supersede(&mut self.in_flight, SUPERSEDED_READ_TIME);
                return completed.outcome;
            }
        }
    }
}
