//! Checks of open watches: verification after a call that ended unanswered, and renewal.

use super::call::CallOutcome;
use super::client::DiscoveryClient;
use super::in_flight::CompletedCall;
use super::poll::{Poll, PollOutcome};
use super::timing::{
    CATCH_UP_WAIT, FIRST_RENEWAL_FRACTION, LATE_FAILURE_HEDGE_DELAY, RENEWAL_OVERLAP,
    SUPERSEDED_READ_TIME, VERIFICATION_HEDGE_DELAY, WATCH_RENEWAL_INTERVAL,
    WATCH_VERIFICATION_DELAY, WATCH_WAIT,
};
use super::watch::WatchSession;
use super::watches::Watches;
use crate::list_client::{DiscoveryError, ListRequest};
use std::ops::Range;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// Result of a check of the open watches.
pub(super) enum CheckOutcome {
    /// The watches are superseded by an answer or have failed. A new watch has to be opened.
    WatchesEnded(CallOutcome),
    /// The watches remain open, verified or renewed.
    WatchesRemainOpen,
    /// Only the newest watch remains open. It has to be verified.
    RenewedWatchesClosed,
    /// The check failed; the watches are unchanged.
    Failed(DiscoveryError),
}

impl DiscoveryClient {
    /// Polls to check whether the watches have missed a change, after a call that ended unanswered.
    pub(super) async fn verify_watch(&mut self, session: &mut WatchSession) -> CheckOutcome {
        let poll = Poll {
            address: session.address,
            request: ListRequest::ChangesAfter {
                version: session.version,
                wait: CATCH_UP_WAIT,
            },
            connection: None,
            hedge_delay: Some(VERIFICATION_HEDGE_DELAY),
        };
        match self.poll(poll, &mut session.watches).await {
            PollOutcome::Answered(CallOutcome {
                result: Ok(list), ..
            }) if list.version == session.version && !session.watches.newest_failed() => {
                self.failing = false;
                self.failed_late = false;
                self.last_answer = Some(Instant::now());
                CheckOutcome::WatchesRemainOpen
            }
            outcome => self.check_outcome(outcome, &mut session.watches),
        }
    }

    /// Renews the newest watch, or closes the renewed watches if there are enough of them: a
    /// verification and the renewal follow. After a failed renewal, or when the complete list is
    /// due, polls instead: the answer contains the changes that the watch has missed, and a new
    /// watch is then opened.
    pub(super) async fn renew_watch(&mut self, session: &mut WatchSession) -> CheckOutcome {
        let needs_complete_list = self
            .complete_list_due
            .is_some_and(|due| Instant::now() >= due);
        if !needs_complete_list && !self.failing {
            if session.watches.renewed_limit_reached() {
                session.watches.close_renewed(&mut self.in_flight);
                return CheckOutcome::RenewedWatchesClosed;
            }
            return self.open_renewal(session).await;
        }
        let request = if needs_complete_list {
            ListRequest::Complete
        } else {
            ListRequest::ChangesAfter {
                version: session.version,
                wait: CATCH_UP_WAIT,
            }
        };
        let poll = Poll {
            address: session.address,
            request,
            connection: None,
            hedge_delay: None,
        };
        let outcome = self.poll(poll, &mut session.watches).await;
        if needs_complete_list && matches!(outcome, PollOutcome::Answered(_)) {
            self.complete_list_due = None;
        }
        self.check_outcome(outcome, &mut session.watches)
    }

    /// Derives the state of the watches from a poll that was made while they were open. An answer
    /// to the poll supersedes the watches. A failed poll ends the watches only if the newest watch
    /// has failed too.
    fn check_outcome(&mut self, outcome: PollOutcome, watches: &mut Watches) -> CheckOutcome {
        match outcome {
            PollOutcome::Answered(outcome) => {
                watches.supersede(&mut self.in_flight, SUPERSEDED_READ_TIME);
                CheckOutcome::WatchesEnded(outcome)
            }
            PollOutcome::WatchAnswered(outcome) => CheckOutcome::WatchesEnded(outcome),
            PollOutcome::Failed(error) if watches.newest_failed() => {
                CheckOutcome::WatchesEnded(CallOutcome::failed(error))
            }
            PollOutcome::Failed(error) => CheckOutcome::Failed(error),
        }
    }

    /// Opens a renewal in addition to the open watches. The renewal replaces the newest watch
    /// unless, within `RENEWAL_OVERLAP`, a call is answered or the renewal fails.
    async fn open_renewal(&mut self, session: &mut WatchSession) -> CheckOutcome {
        let request = ListRequest::ChangesAfter {
            version: session.version,
            wait: WATCH_WAIT,
        };
        let renewal = self.start(session.address, request, None);
        let deadline = Instant::now() + RENEWAL_OVERLAP;
        loop {
            let awaited: Vec<_> = session.watches.open().chain([renewal]).collect();
            let completed = timeout_at(deadline, self.first_completed(&awaited)).await;
            let Ok(CompletedCall { id, outcome, .. }) = completed else {
                session.watches.renew(renewal);
                return CheckOutcome::WatchesRemainOpen;
            };
            match outcome.result {
                Ok(_) => {
                    session.watches.remove(id);
                    session
                        .watches
                        .supersede(&mut self.in_flight, SUPERSEDED_READ_TIME);
                    if id == renewal {
                        self.log_missed_change(&outcome, session.version);
                    } else {
                        self.in_flight.supersede([renewal], SUPERSEDED_READ_TIME);
                    }
                    return CheckOutcome::WatchesEnded(outcome);
                }
                // The renewal may still replace a failed watch.
                Err(_) if id != renewal => session.watches.remove(id),
                Err(_) if session.watches.newest_failed() => {
                    return CheckOutcome::WatchesEnded(outcome)
                }
                Err(error) => return CheckOutcome::Failed(error),
            }
        }
    }

    fn log_missed_change(&self, renewal: &CallOutcome, version: u64) {
        let Ok(list) = &renewal.result else {
            return;
        };
        if list.version > version {
            let text = format!(
                "discovery: list {} was delivered by a renewal, not by the watch that it renews",
                list.version
            );
            self.log.rate_limited("discovery", &text);
        }
    }

    /// Returns the time from the opening of a watch to its first check.
    pub(super) fn first_check_delay(&mut self) -> Duration {
        match self.failing {
            true if self.failed_late => LATE_FAILURE_HEDGE_DELAY,
            true => WATCH_VERIFICATION_DELAY.draw(&mut self.random),
            false => self.renewal_delay(),
        }
    }

    /// Returns the time from the opening of a watch to its renewal.
    pub(super) fn renewal_delay(&mut self) -> Duration {
        if self.last_answer.is_some() || self.pushed {
            return WATCH_RENEWAL_INTERVAL.draw(&mut self.random);
        }
        let Range { start, end } = FIRST_RENEWAL_FRACTION;
        let fraction = start + (end - start) * self.random.f64();
        self.timings
            .get()
            .max_poll_interval
            .mul_f64(fraction)
            .min(WATCH_RENEWAL_INTERVAL.mean)
    }
}
