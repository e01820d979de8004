//! The lifetime of a watch on the endpoint list, from its opening to its answer.

use super::call::{CallOutcome, DiscoveryConnection};
use super::client::DiscoveryClient;
use super::renewal::CheckOutcome;
use super::timing::{
    LATE_FAILURE_THRESHOLD, POLL_TIMEOUT, RENEWAL_BACKOFF, SUPERSEDED_READ_TIME,
    UNANSWERED_VERIFICATION_DELAY, WATCH_ANSWER_GRACE, WATCH_WAIT,
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
    /// Verification of the watches that a call which ended unanswered requires.
    verification: Option<Verification>,
    /// Whether a renewal follows the next verification, because the renewed watches were closed.
    renewal_due: bool,
}

/// A verification of the open watches.
#[derive(Clone, Copy)]
struct Verification {
    /// When a call ended unanswered.
    unanswered_since: Instant,
    /// When to verify.
    due: Instant,
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
            let next_check = self.next_check(&mut session).min(deadline);
            // A superseded call that expires may require an earlier check.
            let expiry = self.in_flight.next_expiry().unwrap_or(next_check);
            let answer = self.watch_outcome(&mut session.watches);
            match timeout_at(next_check.min(expiry), answer).await {
                Ok(Some(outcome)) => {
                    let waited = session.opened_at.elapsed();
                    self.failed_late = session.unverified
                        && outcome.result.is_err()
                        && (LATE_FAILURE_THRESHOLD..POLL_TIMEOUT).contains(&waited);
                    return outcome;
                }
                Ok(None) => continue,
                Err(_) if expiry < next_check => continue,
                Err(_) => {}
            }
            if deadline == next_check {
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
            renewal_due: false,
            verification: None,
            watches: Watches::new(self.start(address, request, connection)),
        }
    }

    /// Schedules the verification that a call which ended unanswered requires, unless the call has
    /// been followed by an answer. After a failed call, the first check of the new watch is the
    /// verification.
    fn schedule_verification(&mut self, session: &mut WatchSession) {
        let required_since = self
            .in_flight
            .unanswered_since()
            .filter(|_| !self.failing && !session.unverified);
        let scheduled_since = session.verification.map(|v| v.unanswered_since);
        if required_since != scheduled_since {
            session.verification = required_since.map(|unanswered_since| Verification {
                unanswered_since,
                due: unanswered_since + UNANSWERED_VERIFICATION_DELAY.draw(&mut self.random),
            });
        }
    }

    /// Returns the time of the next check.
    fn next_check(&mut self, session: &mut WatchSession) -> Instant {
        self.schedule_verification(session);
        session
            .verification
            .map_or(session.next_check, |v| v.due.min(session.next_check))
    }

    /// Checks the watches: by a verification after a call that ended unanswered, otherwise by a
    /// renewal. Breaks if the watches have ended.
    async fn check(&mut self, session: &mut WatchSession) -> ControlFlow<CallOutcome> {
        let checked_at = Instant::now();
        self.schedule_verification(session);
        let verifies = session.unverified || session.verification.is_some();
        let outcome = if verifies {
            self.verify_watch(session).await
        } else {
            self.renew_watch(session).await
        };
        match outcome {
            CheckOutcome::WatchesEnded(outcome) => return ControlFlow::Break(outcome),
            // The node is notified at once of a change right after the verification's answer,
            // unless a call follows.
            CheckOutcome::WatchesRemainOpen if verifies && session.renewal_due => {
                session.renewal_due = false;
                session.next_check = Instant::now();
            }
            CheckOutcome::WatchesRemainOpen => {
                // A verification does not open a watch.
                if !verifies {
                    session.opened_at = checked_at;
                }
                session.unverified = false;
                session.next_check = checked_at + self.renewal_delay();
            }
            CheckOutcome::RenewedWatchesClosed => {
                session.renewal_due = true;
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
    /// are then superseded. Returns `None` when another call has completed, which may require an
    /// earlier check.
    async fn watch_outcome(&mut self, watches: &mut Watches) -> Option<CallOutcome> {
        let completed = self.in_flight.next_completed().await;
        if !watches.contains(completed.id) {
            self.accept_superseded(completed);
            return None;
        }
        watches.remove(completed.id);
        let ended = completed.outcome.result.is_ok() || watches.newest_failed();
        ended.then(|| {
            watches.supersede(&mut self.in_flight, SUPERSEDED_READ_TIME);
            completed.outcome
        })
    }
}
