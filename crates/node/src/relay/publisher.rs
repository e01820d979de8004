//! The published replica: the upstream client is its only writer, and downstream clients wait for
//! its changes.

use super::encoded_answers::{EncodedAnswers, EncodedUpdate};
use super::request::ListParameters;
use super::waiting_watches::WaitingWatches;
use slatelink_membership::{
    Answer, ApplyOutcome, ListQuery, ListUpdate, RejectedUpdate, Replica, Unavailable,
    UpstreamCall, Version,
};
use slatelink_telemetry::Log;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, Instant};

/// Maximum time that a client waits for upstream to confirm a version that this relay does not
/// hold.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between the last moment of the lease and the check for its expiry: the lease expires after
/// that moment, not at that moment.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(1);
/// Interval at which an expired lease is checked for its renewal.
const EXPIRED_LEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why a client receives an error instead of a list.
#[derive(Debug, Error)]
pub enum PublishError {
    /// The relay holds no list, or the lease has expired.
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
    /// Upstream did not confirm the client's version in time.
    #[error(
        "the caller has version {0}, which is not known here, and upstream has not answered for it"
    )]
    Unconfirmed(Version),
    /// The list cannot be encoded.
    #[error("the list cannot be encoded: {0}")]
    Encode(#[from] serde_json::Error),
    /// The relay is shutting down.
    #[error("the relay stops")]
    ShuttingDown,
}

/// A replica and the clients that wait for its changes.
pub struct ReplicaPublisher {
    replica: RefCell<Replica>,
    encoded_answers: RefCell<EncodedAnswers>,
    /// Origin of the replica's time.
    origin: Instant,
    /// Incremented when the answers to waiting clients have to be decided again.
    revision: watch::Sender<u64>,
    /// Notified when a client waits for upstream to confirm its version.
    confirmation_requested: Notify,
    waiting: WaitingWatches,
    shutting_down: watch::Sender<bool>,
}

impl ReplicaPublisher {
    /// Creates the publisher of a replica without a list.
    pub fn new(lease: Duration) -> Self {
        Self {
            replica: RefCell::new(Replica::new(lease)),
            encoded_answers: RefCell::default(),
            origin: Instant::now(),
            revision: watch::Sender::new(0),
            confirmation_requested: Notify::new(),
            waiting: WaitingWatches::default(),
            shutting_down: watch::Sender::new(false),
        }
    }

    /// Returns the current time, relative to the origin of the replica's time.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the next call to make upstream. The call confirms a client's version only if
    /// `may_confirm`.
    pub fn next_call(&self, may_confirm: bool) -> UpstreamCall {
        let replica = self.replica.borrow();
        if may_confirm {
            replica.next_call()
        } else {
            replica.next_list_call()
        }
    }

    /// Records that subsequent calls go to another upstream.
    pub fn upstream_changed(&self) {
        self.replica.borrow_mut().upstream_changed();
    }

    /// Applies the answer to a call that was sent at `sent_at`, and wakes the clients whose answers
    /// may change.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica rejects the update.
    pub fn apply(
        &self,
        call: UpstreamCall,
        update: ListUpdate,
        sent_at: Duration,
    ) -> Result<ApplyOutcome, RejectedUpdate> {
        let read_at = self.now();
        let result = self
            .replica
            .borrow_mut()
            .apply(call, update, sent_at, read_at);
        let changed = result.as_ref().is_ok_and(|outcome| outcome.changed);
        if changed {
            self.encoded_answers.borrow_mut().clear();
        }
        let may_end_confirmations = !matches!(call, UpstreamCall::Watch(_));
        if changed || may_end_confirmations {
            self.wake_clients();
        }
        result
    }

    fn wake_clients(&self) {
        self.revision.send_modify(|revision| *revision += 1);
    }

    /// Waits until a client's version has to be confirmed by upstream.
    pub async fn wait_for_confirmation_request(&self) {
        while !matches!(self.next_call(true), UpstreamCall::Confirm(_)) {
            self.confirmation_requested.notified().await;
        }
    }

    /// Answers a client as soon as an answer is available, at the latest when its wait ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has to be answered with an error.
    pub async fn answer(&self, request: ListParameters) -> Result<EncodedUpdate, PublishError> {
        let received_at = self.now();
        let wait_ends_at = Instant::now() + request.wait;
        let mut revision = self.revision.subscribe();
        let mut shutting_down = self.shutting_down.subscribe();
        loop {
            if *shutting_down.borrow_and_update() {
                return Err(PublishError::ShuttingDown);
            }
            let query = ListQuery {
                after: request.after,
                received_at,
                wait_expired: Instant::now() >= wait_ends_at,
            };
            let answer = self.replica.borrow_mut().answer(query, self.now())?;
            let (wake_at, _waiting) = match (answer, request.after) {
                (Answer::Wait, Some(version)) => {
                    (wait_ends_at, Some(self.waiting.register(version)))
                }
                (Answer::Confirm, Some(version)) => {
                    (self.request_confirmation(version, received_at)?, None)
                }
                _ => return self.encode(answer),
            };
            tokio::select! {
                _ = revision.changed() => {}
                _ = shutting_down.changed() => {}
                () = sleep_until(wake_at) => {}
            }
        }
    }

    /// Requests confirmation of a client's version by upstream. Returns the time at which the
    /// client stops waiting for the confirmation.
    fn request_confirmation(
        &self,
        version: Version,
        received_at: Duration,
    ) -> Result<Instant, PublishError> {
        let deadline = received_at + CONFIRMATION_TIMEOUT;
        if self.now() >= deadline {
            return Err(PublishError::Unconfirmed(version));
        }
        self.confirmation_requested.notify_one();
        Ok(self.origin + deadline)
    }

    fn encode(&self, answer: Answer) -> Result<EncodedUpdate, PublishError> {
        let replica = self.replica.borrow();
        let encoded = self
            .encoded_answers
            .borrow_mut()
            .get_or_encode(answer, || replica.message(answer));
        Ok(encoded.ok_or(Unavailable::NoList)??)
    }

    /// Wakes the waiting clients when the lease expires, so that they receive an error immediately.
    /// Runs for as long as the publisher exists.
    pub async fn monitor_lease(self: Rc<Self>, log: Log) {
        let mut revision = self.revision.subscribe();
        loop {
            let Some(expires_at) = self.lease_expires_at() else {
                if revision.changed().await.is_err() {
                    return;
                }
                continue;
            };
            if self.now() <= expires_at {
                sleep_until(self.origin + expires_at + LEASE_EXPIRY_MARGIN).await;
                continue;
            }
            log.line(
                "relay: lease expired without an update from upstream; clients receive errors",
            );
            self.wake_clients();
            while self.lease_expires_at() == Some(expires_at) {
                sleep(EXPIRED_LEASE_POLL_INTERVAL).await;
            }
            log.line("relay: lease renewed; clients receive the list again");
        }
    }

    fn lease_expires_at(&self) -> Option<Duration> {
        self.replica.borrow().lease_expires_at()
    }

    /// Returns the reason why clients currently receive errors; `None` if they receive the list.
    pub fn unavailable(&self) -> Option<Unavailable> {
        let query = ListQuery {
            after: None,
            received_at: self.now(),
            wait_expired: true,
        };
        self.replica.borrow_mut().answer(query, self.now()).err()
    }

    /// Calls `read` with the replica.
    pub fn with_replica<T>(&self, read: impl FnOnce(&Replica) -> T) -> T {
        read(&self.replica.borrow())
    }

    /// Returns the number of watches of clients that have the held version and wait for a newer
    /// one.
    pub fn waiting_watches(&self) -> usize {
        let held = self.replica.borrow().version();
        held.map_or(0, |version| self.waiting.count(version))
    }

    /// Answers all clients with an error from now on.
    pub fn shut_down(&self) {
        self.shutting_down.send_replace(true);
    }

    /// Waits until [`shut_down`](Self::shut_down) is called.
    pub async fn shutting_down(&self) {
        let mut shutting_down = self.shutting_down.subscribe();
        // Fails only if the sender is dropped, and this publisher owns the sender.
        let _ = shutting_down.wait_for(|shutting_down| *shutting_down).await;
    }
}
