//! The client's state, its loop of calls, and its backoff after failures.

use super::call::{call, DiscoveryConnection};
use super::in_flight::{AddressGeneration, CallId, CallsInFlight, CompletedCall};
use super::lists::{DriverStopped, ListStatus};
use super::notified::NOTIFIED_AFTER_ADDRESS_CHANGE;
use super::stale_lists::StaleListFilter;
use super::timing::{
    Jittered, ADDRESS_CHANGE_BACKOFF, BACKOFF_JITTER, EARLY_ANSWER_PAUSE, EARLY_ANSWER_THRESHOLD,
    LATE_ANSWER_READ_TIME, LATE_FAILURE_BACKOFF, PUSHED_BACKOFF_DRAIN_GRACE_FRACTION,
    RECENT_ANSWER_BACKOFF, RECENT_ANSWER_WINDOW,
};
use super::DiscoveryOptions;
use crate::driver::DriverEvent;
use crate::list_client::{DiscoveryError, ListRequest};
use slatelink_telemetry::Log;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// The state of the client. Its methods stand in the modules of their concern.
pub(super) struct DiscoveryClient {
    /// Version of the list that is held; `None` where the next call has to bring the complete one.
    pub(super) version: Option<u64>,
    /// `DiscoveryOptions::pushed`.
    pub(super) pushed: bool,
    /// `DiscoveryOptions::drain_grace`.
    drain_grace: Duration,
    /// `DiscoveryOptions::max_poll_interval`.
    pub(super) max_poll_interval: Duration,
    /// Source of jitter.
    pub(super) random: fastrand::Rng,
    /// To the driver.
    pub(super) events: UnboundedSender<DriverEvent>,
    /// Where failures and stale lists are logged.
    pub(super) log: Log,
    /// When discovery last answered a call; before the first answer it may not know this node.
    pub(super) last_answer: Option<Instant>,
    /// A call has failed, and none has been answered since.
    pub(super) failing: bool,
    /// The last failure was a late one (`LATE_FAILURE_THRESHOLD`).
    pub(super) failed_late: bool,
    /// Of the current address.
    pub(super) generation: AddressGeneration,
    /// All calls, superseded ones too.
    pub(super) in_flight: CallsInFlight,
    /// What every list passes on its way to the driver.
    pub(super) stale_lists: StaleListFilter,
    /// An endpoint was marked as draining against a list that calls it ready: when to poll for the complete list, which
    /// shows whether it still drains.
    pub(super) complete_list_due: Option<Instant>,
}

/// A call after whose failure the next one has to wait.
struct FailedCall {
    error: DiscoveryError,
    /// A call before it had failed too, and none was answered between them.
    repeated: bool,
}

impl DiscoveryClient {
    /// A client that has made no call yet.
    pub(super) fn new(options: DiscoveryOptions) -> Self {
        let DiscoveryOptions {
            version,
            pushed,
            drain_grace,
            max_poll_interval,
            random,
            events,
            log,
            ..
        } = options;
        Self {
            version,
            pushed,
            drain_grace,
            max_poll_interval,
            random,
            events,
            log,
            last_answer: None,
            failing: false,
            failed_late: false,
            generation: AddressGeneration::default(),
            in_flight: CallsInFlight::default(),
            stale_lists: StaleListFilter::default(),
            complete_list_due: None,
        }
    }

    /// Supersedes the calls to the address so far. Their answers are read on: the node is notified of them.
    pub(super) fn leave_address(&mut self) {
        self.in_flight.supersede_all(LATE_ANSWER_READ_TIME);
        self.generation = self.generation.next();
        self.version = None;
    }

    /// Makes calls to one address, one after the other, until the driver stops. `address_changed_at` is the time of the
    /// change to this address; after one, the first call doesn't wait for a request to poll.
    pub(super) async fn run_at_address(
        &mut self,
        address: SocketAddr,
        poll_requested: &Notify,
        address_changed_at: Option<Instant>,
    ) -> Result<Infallible, DriverStopped> {
        let mut poll_at_once = address_changed_at.is_some();
        loop {
            if !self.pushed && !poll_at_once {
                self.read_answers_during(poll_requested.notified()).await;
            }
            // A failed call's connection stays open for the time of the backoff.
            let mut connection = None;
            let failed = self.receive_lists(address, &mut connection).await?;
            self.log
                .rate_limited("discovery", &format!("discovery: {}", failed.error));
            let awaits_first_list = self.version.is_none()
                && address_changed_at
                    .is_some_and(|at| at.elapsed() < NOTIFIED_AFTER_ADDRESS_CHANGE);
            poll_at_once = awaits_first_list || self.failed_late;
            // Report the failure to the policy only where the policy's backoff decides the next poll, or where lists are pushed
            // and it requests none.
            if self.pushed || !poll_at_once {
                self.events
                    .send(DriverEvent::DiscoveryFailed)
                    .map_err(|_| DriverStopped)?;
            }
            let backoff = self.backoff_after(&failed, awaits_first_list);
            let backoff = backoff.draw(&mut self.random);
            self.read_answers_during(sleep(backoff)).await;
        }
    }

    /// Receives lists until a call fails. `connection` is that of the last call.
    async fn receive_lists(
        &mut self,
        address: SocketAddr,
        connection: &mut Option<DiscoveryConnection>,
    ) -> Result<FailedCall, DriverStopped> {
        loop {
            let called_at = Instant::now();
            let outcome = self.next_list(address, connection.take()).await;
            *connection = outcome.connection;
            let repeated = std::mem::replace(&mut self.failing, outcome.result.is_err());
            let list = match outcome.result {
                Ok(list) => list,
                Err(error) => return Ok(FailedCall { error, repeated }),
            };
            self.last_answer = Some(Instant::now());
            let is_early =
                self.version == Some(list.version) && called_at.elapsed() < EARLY_ANSWER_THRESHOLD;
            let pauses = match self.accept_list(list)? {
                ListStatus::Outdated => true,
                ListStatus::Current => is_early && !repeated,
            };
            if pauses {
                self.read_answers_during(sleep(EARLY_ANSWER_PAUSE)).await;
            }
        }
    }

    /// The client's own backoff, beside the policy's.
    fn backoff_after(&self, failed: &FailedCall, awaits_first_list: bool) -> Jittered {
        let mean = match failed.error {
            _ if self.pushed && !failed.repeated => Duration::ZERO,
            _ if self.pushed => self
                .drain_grace
                .mul_f64(PUSHED_BACKOFF_DRAIN_GRACE_FRACTION),
            DiscoveryError::ConnectTimedOut | DiscoveryError::AnswerTimedOut => Duration::ZERO,
            _ if awaits_first_list => ADDRESS_CHANGE_BACKOFF,
            _ if self.failed_late => LATE_FAILURE_BACKOFF,
            DiscoveryError::Status(_) if self.was_answered_recently() => {
                return RECENT_ANSWER_BACKOFF;
            }
            _ => Duration::ZERO,
        };
        Jittered {
            mean,
            jitter: BACKOFF_JITTER,
        }
    }

    fn was_answered_recently(&self) -> bool {
        self.last_answer
            .is_some_and(|at| at.elapsed() < RECENT_ANSWER_WINDOW)
    }

    /// Starts a call.
    pub(super) fn start(
        &mut self,
        address: SocketAddr,
        request: ListRequest,
        connection: Option<DiscoveryConnection>,
    ) -> CallId {
        let future = Box::pin(call(address, request, connection));
        self.in_flight.start(self.generation, future)
    }

    /// Waits for the first of `calls` to end. Answers to other calls are handled meanwhile.
    pub(super) async fn first_completed(&mut self, calls: &[CallId]) -> CompletedCall {
        loop {
            let completed = self.in_flight.next_completed().await;
            if calls.contains(&completed.id) {
                return completed;
            }
            self.accept_superseded(completed);
        }
    }

    /// Does something that isn't a call, and handles the answers to superseded calls meanwhile.
    async fn read_answers_during<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                biased;
                completed = self.in_flight.next_completed() => self.accept_superseded(completed),
                done = &mut work => return done,
            }
        }
    }
}
