//! The upstream client: watches one upstream address, changes to the next one when it fails, and backs off when all do.
//!
//! The node's own client of discovery does not fit here: it reads of a record what a node needs and drops its text, and it
//! renews its watches by the node's rules and not by a lease.

use super::backoff::{after_failed_rounds, after_rejections, UNPRODUCTIVE_CALL_PAUSE};
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

/// A watch waits for this part of the lease and has as long again to be answered; the rest is for another address.
const WATCHES_PER_LEASE: u32 = 3;
/// Bounds of the time that a call may take beyond its wait. A call may stand in discovery's queue for 2 s.
const RESPONSE_TIMEOUT_BOUNDS: RangeInclusive<Duration> =
    Duration::from_millis(250)..=Duration::from_secs(3);
/// The least time between two calls that confirm clients' versions.
const MIN_CONFIRMATION_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the published replica up to date.
pub struct UpstreamClient {
    addresses: Vec<SocketAddr>,
    /// How long a watch waits at upstream.
    watch_wait: Duration,
    /// How long beyond its wait a call may take.
    response_timeout: Duration,
    publisher: Rc<ReplicaPublisher>,
    counts: Rc<Cell<UpstreamCounts>>,
    random: fastrand::Rng,
    log: Log,
    /// Calls that failed since the last applied update.
    failures: u32,
    /// Updates that were rejected since the last applied one.
    rejections: u32,
    /// When the last call was made that confirms a client's version.
    last_confirmation: Option<Instant>,
}

/// The end of a call that did not fail.
enum CallOutcome {
    /// Upstream answered.
    Answered(ListUpdate),
    /// The watch was abandoned, because a client's version has to be confirmed.
    Abandoned,
}

/// The effect of an update.
enum UpdateOutcome {
    /// It was applied and concerns clients.
    Changed,
    /// It was applied and changed nothing.
    Unchanged,
    /// It was not applied.
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
        let part_of_lease = settings.lease() / WATCHES_PER_LEASE;
        let (shortest, longest) = RESPONSE_TIMEOUT_BOUNDS.into_inner();
        Self {
            addresses: settings.upstream.clone(),
            watch_wait: part_of_lease.min(MAX_WATCH_WAIT),
            response_timeout: part_of_lease.clamp(shortest, longest),
            publisher,
            counts,
            random: fastrand::Rng::new(),
            log,
            failures: 0,
            rejections: 0,
            last_confirmation: None,
        }
    }

    /// Calls one address until it fails, and then the next one, for as long as the future lives.
    pub async fn run(mut self) {
        let addresses = self.addresses.clone();
        for address in addresses.into_iter().cycle() {
            let Err(error) = self.follow(address).await;
            self.count(|counts| counts.failed_calls += 1);
            self.log
                .rate_limited("upstream", &format!("upstream {address}: {error}"));
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
            sleep(after_failed_rounds(failed_rounds, &mut self.random)).await;
        }
    }

    fn count(&self, add: impl FnOnce(&mut UpstreamCounts)) {
        let mut counts = self.counts.get();
        add(&mut counts);
        self.counts.set(counts);
    }

    /// Makes calls to this address until one fails.
    async fn follow(&mut self, address: SocketAddr) -> Result<Infallible, DiscoveryError> {
        let mut connection = UpstreamConnection::open(address).await?;
        loop {
            let call = self.publisher.next_call(self.may_confirm());
            let (begun_at, sent_at) = (Instant::now(), self.publisher.now());
            match self.call(&mut connection, call).await? {
                // The answer to the abandoned call would come first on its connection.
                CallOutcome::Abandoned => connection = UpstreamConnection::open(address).await?,
                CallOutcome::Answered(update) => {
                    let outcome = self.apply(call, update, sent_at);
                    self.pause_after(outcome, begun_at.elapsed()).await;
                }
            }
        }
    }

    /// Pauses after an answer that was of no use. A call that took long enough by itself needs no pause.
    async fn pause_after(&self, outcome: UpdateOutcome, call_duration: Duration) {
        match outcome {
            UpdateOutcome::Changed => {}
            UpdateOutcome::Unchanged if call_duration >= UNPRODUCTIVE_CALL_PAUSE => {}
            UpdateOutcome::Unchanged => sleep(UNPRODUCTIVE_CALL_PAUSE).await,
            UpdateOutcome::Rejected => sleep(after_rejections(self.rejections)).await,
        }
    }

    /// Whether the next call may confirm a client's version.
    fn may_confirm(&self) -> bool {
        self.last_confirmation
            .is_none_or(|last| last.elapsed() >= MIN_CONFIRMATION_INTERVAL)
    }

    /// Makes a call. A watch is abandoned once a client's version may be confirmed.
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

    /// Waits until a client's version is to be confirmed and that may be done.
    async fn confirmation_due(&self) {
        self.publisher.confirmation_wanted().await;
        if let Some(last) = self.last_confirmation {
            sleep_until(last + MIN_CONFIRMATION_INTERVAL).await;
        }
    }

    /// Applies the answer to a call, and counts and logs what came of it.
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
                self.log
                    .rate_limited("rejected", &format!("upstream: {rejected}"));
                UpdateOutcome::Rejected
            }
        }
    }

    fn log_applied(&self, version: Version, outcome: ApplyOutcome) {
        if outcome.new_epoch {
            self.log.line(&format!(
                "upstream's versions went back: list {version} begins an epoch"
            ));
        }
        if outcome.duplicates > 0 {
            let text = format!(
                "list {version} names {} endpoints more than once",
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
