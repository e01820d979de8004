//! The upstream client: watches one upstream address, switches to the next address after a failure,
//! and backs off when all addresses fail.
//!
//! The node's own discovery client is not used here: it keeps only the parts of a record that a
//! node needs and discards the record's text, and it renews watches by the node's rules instead of
//! a lease.

use super::backoff::{pause_after_failed_rounds, pause_after_rejections, UNPRODUCTIVE_CALL_PAUSE};
use super::publisher::ReplicaPublisher;
use super::status::UpstreamCounts;
use super::upstream_connection::UpstreamConnection;
use super::MAX_WATCH_WAIT;
use crate::list_client::{DiscoveryError, ListRequest};
use slatelink_config::relay::RelaySettings;
use slatelink_membership::{ApplyOutcome, ListUpdate, UpstreamCall, Version};
use slatelink_telemetry::Log;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Number of equal parts of the lease. A watch waits for one part, and its response may take
/// another part; the remaining part is for a call to another address.
const LEASE_PARTS: u32 = 3;
/// Bounds of the time that a call may take beyond its wait. Discovery may queue a call for 2 s.
const RESPONSE_TIMEOUT_BOUNDS: RangeInclusive<Duration> =
    Duration::from_millis(250)..=Duration::from_secs(3);
/// Minimum time between two calls that confirm clients' versions.
const MIN_CONFIRMATION_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the published replica up to date.
pub struct UpstreamClient {
    addresses: Vec<SocketAddr>,
    /// Time that a watch waits at upstream.
    watch_wait: Duration,
    /// Time that a call may take beyond its wait.
    response_timeout: Duration,
    publisher: Rc<ReplicaPublisher>,
    counts: Rc<Cell<UpstreamCounts>>,
    random: fastrand::Rng,
    log: Log,
    /// Number of failed calls since the last applied update.
    failures: u32,
    /// Number of rejected updates since the last applied update.
    rejections: u32,
    /// Time of the last call that confirmed a client's version.
    last_confirmation: Option<Instant>,
}

/// Result of a call that did not fail.
enum CallOutcome {
    /// Upstream answered with this update.
    Answered(ListUpdate),
    /// The watch was abandoned, because a client's version has to be confirmed.
    Abandoned,
}

/// Effect of an update.
enum UpdateOutcome {
    /// The update was applied, and waiting clients have to be answered.
    Changed,
    /// The update was applied and changed nothing.
    Unchanged,
    /// The update was not applied.
    Rejected,
}

impl UpstreamClient {
    /// Creates a client that applies updates to the publisher's replica.
    pub fn new(
        settings: &RelaySettings,
        publisher: Rc<ReplicaPublisher>,
        counts: Rc<Cell<UpstreamCounts>>,
        log: Log,
    ) -> Self {
        let lease_part = settings.lease() / LEASE_PARTS;
        let (min_timeout, max_timeout) = RESPONSE_TIMEOUT_BOUNDS.into_inner();
        Self {
            addresses: settings.upstream.clone(),
            watch_wait: lease_part.min(MAX_WATCH_WAIT),
            response_timeout: lease_part.clamp(min_timeout, max_timeout),
            publisher,
            counts,
            random: fastrand::Rng::new(),
            log,
            failures: 0,
            rejections: 0,
            last_confirmation: None,
        }
    }

    /// Calls one address until a call fails, then the next address, until the future is dropped.
    pub async fn run(mut self) {
        let addresses = self.addresses.clone();
        for address in addresses.into_iter().cycle() {
            let Err(error) = self.call_until_failure(address).await;
            self.count(|counts| counts.failed_calls += 1);
            self.log.rate_limited(
                "upstream",
                &format!("call to upstream {address} failed: {error}"),
            );
            if self.addresses.len() > 1 {
                self.publisher.upstream_changed();
            }
            self.failures = self.failures.saturating_add(1);
            self.back_off().await;
        }
    }

    /// Pauses if all addresses have failed since the last applied update.
    async fn back_off(&mut self) {
        let addresses = u32::try_from(self.addresses.len()).unwrap_or(u32::MAX);
        let failed_rounds = self.failures / addresses;
        if failed_rounds > 0 {
            sleep(pause_after_failed_rounds(failed_rounds, &mut self.random)).await;
        }
    }

    fn count(&self, increment: impl FnOnce(&mut UpstreamCounts)) {
        let mut counts = self.counts.get();
        increment(&mut counts);
        self.counts.set(counts);
    }

    /// Makes calls to this address until a call fails.
    async fn call_until_failure(
        &mut self,
        address: SocketAddr,
    ) -> Result<Infallible, DiscoveryError> {
        let mut connection = UpstreamConnection::open(address).await?;
        loop {
            let call = self.publisher.next_call(self.may_confirm());
            let (started_at, sent_at) = (Instant::now(), self.publisher.now());
            match self.call(&mut connection, call).await? {
                // A new connection, because the answer to the abandoned call would arrive first on
                // the old one.
                CallOutcome::Abandoned => connection = UpstreamConnection::open(address).await?,
                CallOutcome::Answered(update) => {
                    let outcome = self.apply(call, update, sent_at);
                    self.pause_after(outcome, started_at.elapsed()).await;
                }
            }
        }
    }

    /// Pauses after an answer without effect. After a call that took at least
    /// [`UNPRODUCTIVE_CALL_PAUSE`] and changed nothing, no pause is needed.
    async fn pause_after(&self, outcome: UpdateOutcome, call_duration: Duration) {
        match outcome {
            UpdateOutcome::Changed => {}
            UpdateOutcome::Unchanged if call_duration >= UNPRODUCTIVE_CALL_PAUSE => {}
            UpdateOutcome::Unchanged => sleep(UNPRODUCTIVE_CALL_PAUSE).await,
            UpdateOutcome::Rejected => sleep(pause_after_rejections(self.rejections)).await,
        }
    }

    /// Checks whether the next call may confirm a client's version.
    fn may_confirm(&self) -> bool {
        self.last_confirmation
            .is_none_or(|last| last.elapsed() >= MIN_CONFIRMATION_INTERVAL)
    }

    /// Makes a call. A watch is abandoned as soon as a client's version may be confirmed.
    async fn call(
        &mut self,
        connection: &mut UpstreamConnection,
        call: UpstreamCall,
    ) -> Result<CallOutcome, DiscoveryError> {
        self.count(|counts| counts.calls += 1);
        if matches!(call, UpstreamCall::Confirm(_)) {
            self.last_confirmation = Some(Instant::now());
        }
        let (request, wait) = match call {
            UpstreamCall::Snapshot => (ListRequest::Complete, Duration::ZERO),
            UpstreamCall::Watch(held) => (changes_after(held, self.watch_wait), self.watch_wait),
            UpstreamCall::Confirm(version) => {
                (changes_after(version, Duration::ZERO), Duration::ZERO)
            }
        };
        let answer = timeout(wait + self.response_timeout, connection.fetch(request));
        tokio::select! {
            biased;
            answer = answer => answer
                .map_err(|_| DiscoveryError::AnswerTimedOut)?
                .map(CallOutcome::Answered),
            () = self.confirmation_due(), if matches!(call, UpstreamCall::Watch(_)) => {
                Ok(CallOutcome::Abandoned)
            }
        }
    }

    /// Waits until a client's version has to be confirmed and the next confirmation is allowed.
    async fn confirmation_due(&self) {
        self.publisher.wait_for_confirmation_request().await;
        if let Some(last) = self.last_confirmation {
            sleep_until(last + MIN_CONFIRMATION_INTERVAL).await;
        }
    }

    /// Applies the answer to a call, and counts and logs the result.
    fn apply(
        &mut self,
        call: UpstreamCall,
        update: ListUpdate,
        sent_at: Duration,
    ) -> UpdateOutcome {
        let version = update.version;
        match self.publisher.apply(call, update, sent_at) {
            Ok(outcome) => {
                self.failures = 0;
                self.rejections = 0;
                self.count(|counts| counts.applied_updates += 1);
                self.log_applied(version, outcome);
                if outcome.changed {
                    UpdateOutcome::Changed
                } else {
                    UpdateOutcome::Unchanged
                }
            }
            Err(rejected) => {
                self.rejections = self.rejections.saturating_add(1);
                self.count(|counts| counts.rejected_updates += 1);
                self.log.rate_limited(
                    "rejected",
                    &format!("update from upstream rejected: {rejected}"),
                );
                UpdateOutcome::Rejected
            }
        }
    }

    fn log_applied(&self, version: Version, outcome: ApplyOutcome) {
        if outcome.new_epoch {
            self.log.line(&format!(
                "list version {version} from upstream is lower or reused: a new epoch begins"
            ));
        }
        if outcome.duplicates > 0 {
            let text = format!(
                "list version {version} contains {} duplicate endpoint records",
                outcome.duplicates
            );
            self.log.rate_limited("duplicates", &text);
        }
    }
}

fn changes_after(version: Version, wait: Duration) -> ListRequest {
    ListRequest::ChangesAfter {
        version: version.0,
        wait,
    }
}
