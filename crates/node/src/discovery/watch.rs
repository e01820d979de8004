//! A watch on the endpoint list, from its opening to its answer.

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
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

impl DiscoveryClient {
    /// Waits for discovery's next list: the complete one where none is held, otherwise what a watch brings.
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

    /// Opens a watch and waits for its answer, or that of one of its renewals. Meanwhile it is checked at intervals: by a
    /// verification after a failed call, otherwise by a renewal.
    async fn watch(
        &mut self,
        address: SocketAddr,
        version: u64,
        connection: Option<DiscoveryConnection>,
    ) -> CallOutcome {
        let mut opened_at = Instant::now();
        let mut unverified = self.failing;
        let mut next_check = opened_at + self.first_check_delay();
        let request = ListRequest::ChangesAfter {
            version,
            wait: WATCH_WAIT,
        };
        let mut watches = Watches::new(self.start(address, request, connection));
        loop {
            let deadline = opened_at + WATCH_WAIT + WATCH_ANSWER_GRACE;
            let answer = self.watch_outcome(&mut watches);
            if let Ok(outcome) = timeout_at(next_check.min(deadline), answer).await {
                let waited = opened_at.elapsed();
                self.failed_late = unverified
                    && outcome.result.is_err()
                    && (LATE_FAILURE_THRESHOLD..POLL_TIMEOUT).contains(&waited);
                return outcome;
            }
            if deadline <= next_check {
                watches.supersede(&mut self.in_flight, Duration::ZERO);
                return CallOutcome::failed(DiscoveryError::AnswerTimedOut);
            }
            let checked_at = Instant::now();
            let check = if unverified {
                self.verify_watch(address, version, &mut watches).await
            } else {
                self.renew_watch(address, version, &mut watches).await
            };
            match check {
                CheckOutcome::WatchesEnded(outcome) => return outcome,
                CheckOutcome::WatchesStand => {
                    if !unverified {
                        opened_at = checked_at;
                    }
                    unverified = false;
                    next_check = checked_at + self.renewal_delay();
                }
                CheckOutcome::Failed(error) if checked_at.elapsed() >= LATE_FAILURE_THRESHOLD => {
                    // The next call can't wait. The open watches are read until their wait would be over.
                    self.failed_late = true;
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    watches.supersede(&mut self.in_flight, remaining);
                    return CallOutcome::failed(error);
                }
                CheckOutcome::Failed(error) => {
                    let text = format!("discovery: watch not renewed: {error}");
                    self.log.rate_limited("discovery", &text);
                    self.failing = true;
                    next_check = Instant::now() + RENEWAL_BACKOFF.draw(&mut self.random);
                }
            }
        }
    }

    /// Waits for the answer to one of the watches, or the failure of the newest one. The others are superseded then.
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
