//! The client's state, its call loop and its backoff after failures.

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
use super::{DiscoveryOptions, ListTimings};
use crate::driver::DriverEvent;
use crate::list_client::{DiscoveryError, ListRequest};
use slatelink_telemetry::Log;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// State of the client. Its methods are implemented in the modules of their concern.
pub(super) struct DiscoveryClient {
    /// Version of the held list; `None` if the next call has to fetch the complete list.
    pub(super) version: Option<u64>,
    /// `DiscoveryOptions::pushed`.
    pub(super) pushed: bool,
    /// `DiscoveryOptions::timings`.
    pub(super) timings: Rc<Cell<ListTimings>>,
    /// `DiscoveryOptions::max_list_bytes`.
    max_list_bytes: usize,
    /// Source of jitter.
    pub(super) random: fastrand::Rng,
    /// Channel to the driver.
    pub(super) events: UnboundedSender<DriverEvent>,
    /// Log of failures and stale lists.
    pub(super) log: Log,
    /// When discovery last answered a call. Before the first answer, discovery may not know this
    /// node.
    pub(super) last_answer: Option<Instant>,
    /// Whether a call has failed and none has been answered since.
    pub(super) failing: bool,
    /// Whether the last failure was late (`LATE_FAILURE_THRESHOLD`).
    pub(super) failed_late: bool,
    /// Generation of the current address.
    pub(super) generation: AddressGeneration,
    /// All calls in flight, including superseded calls.
    pub(super) in_flight: CallsInFlight,
    /// Filter that every list passes before it is forwarded to the driver.
    pub(super) stale_lists: StaleListFilter,
    /// When to poll for the complete list, after an endpoint was marked as draining although a list
    /// contained it as ready. The complete list shows whether the endpoint is still draining.
    pub(super) complete_list_due: Option<Instant>,
}

/// A failed call.
struct FailedCall {
    error: DiscoveryError,
    /// Whether an earlier call had failed too, with no answer in between.
    repeated: bool,
}

impl DiscoveryClient {
    /// Creates a client that has made no call yet.
    pub(super) fn new(options: DiscoveryOptions) -> Self {
        let DiscoveryOptions {
            version,
            pushed,
            timings,
            max_list_bytes,
            random,
            events,
            log,
            ..
        } = options;
        Self {
            version,
            pushed,
            timings,
            max_list_bytes,
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

    /// Supersedes all calls to the current address and discards the held version. The answers to
    /// these calls are still read, because the node is notified of their content.
    pub(super) fn prepare_for_address_change(&mut self) {
        self.in_flight.supersede_all(LATE_ANSWER_READ_TIME);
        self.generation = self.generation.next();
        self.version = None;
    }

    /// Calls one address repeatedly until the driver stops. `address_changed_at` is the time of the
    /// change to this address, if the address was changed. The first call then doesn't wait for a
    /// request to poll.
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
            // The connection of a failed call stays open during the backoff.
            let mut connection = None;
            let failed = self.receive_lists(address, &mut connection).await?;
            self.log
                .rate_limited("discovery", &format!("discovery: {}", failed.error));
            let awaits_first_list = self.version.is_none()
                && address_changed_at
                    .is_some_and(|at| at.elapsed() < NOTIFIED_AFTER_ADDRESS_CHANGE);
            poll_at_once = awaits_first_list || self.failed_late;
            // The failure is reported to the decision module only if the decision module's backoff
            // determines the next poll, or if lists are pushed and the decision module requests no
            // polls.
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

    /// Receives lists until a call fails. `connection` is the connection of the last call.
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
            let needs_pause = match self.accept_list(list)? {
                ListStatus::Outdated => true,
                ListStatus::Current => is_early && !repeated,
            };
            if needs_pause {
                self.read_answers_during(sleep(EARLY_ANSWER_PAUSE)).await;
            }
        }
    }

    /// Returns the client's own backoff, which is independent of the decision module's backoff.
    fn backoff_after(&self, failed: &FailedCall, awaits_first_list: bool) -> Jittered {
        let mean = match failed.error {
            _ if self.pushed && !failed.repeated => Duration::ZERO,
            _ if self.pushed => self
                .timings
                .get()
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
        let future = Box::pin(call(address, request, self.max_list_bytes, connection));
        self.in_flight.start(self.generation, future)
    }

    /// Waits for the first of `calls` to complete. Handles the answers to other calls meanwhile.
    pub(super) async fn first_completed(&mut self, calls: &[CallId]) -> CompletedCall {
        loop {
            let completed = self.in_flight.next_completed().await;
            if calls.contains(&completed.id) {
                return completed;
            }
            self.accept_superseded(completed);
        }
    }

    /// Awaits `work` and handles the answers to superseded calls meanwhile.
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
