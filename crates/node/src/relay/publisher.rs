//! The list between upstream and callers: one writer, and callers that wait for its news.

use super::encoded_answers::{EncodedAnswers, EncodedUpdate};
use super::request::ListRequest;
use slatelink_membership::{
    Answer, ApplyOutcome, ListQuery, ListUpdate, RejectedUpdate, Replica, Unavailable,
    UpstreamCall, Version,
};
use slatelink_telemetry::Log;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, Instant};

/// A caller with a version that this relay has not waits for upstream's word on it for so long.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(2);
/// The lease is looked at again this long after its end: it runs out after that moment, not at it.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(1);

/// Once it has run out, it is looked at so often for whether upstream was heard.
const EXPIRED_LEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why a caller gets no list.
#[derive(Debug, Error)]
pub enum PublishError {
    /// There is no list, or it is too old.
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
    /// Upstream has not said whether the caller's version is known.
    #[error(
        "the caller has version {0}, which is not known here, and upstream has not answered for it"
    )]
    Unconfirmed(Version),
    /// The list cannot be written.
    #[error("the list cannot be encoded: {0}")]
    Encode(#[from] serde_json::Error),
    /// The relay is about to stop.
    #[error("the relay stops")]
    ShuttingDown,
}

/// The list, and who waits for it.
pub struct ReplicaPublisher {
    replica: RefCell<Replica>,
    encoded_answers: RefCell<EncodedAnswers>,
    origin: Instant,
    /// Raised when callers that wait have to be looked at again.
    revision: watch::Sender<u64>,
    /// A caller wants upstream's word on a version.
    confirm: Notify,
    /// Clients that wait, by the version that they have.
    waiting: RefCell<BTreeMap<Version, usize>>,
    stops: watch::Sender<bool>,
}

/// Counts a caller for as long as it waits.
struct WatchGuard<'a>(&'a ReplicaPublisher, Version);

impl<'a> WatchGuard<'a> {
    fn begin(publisher: &'a ReplicaPublisher, version: Version) -> Self {
        *publisher.waiting.borrow_mut().entry(version).or_default() += 1;
        Self(publisher, version)
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        let mut waiting = self.0.waiting.borrow_mut();
        if let Some(count) = waiting.get_mut(&self.1) {
            *count -= 1;
            if *count == 0 {
                waiting.remove(&self.1);
            }
        }
    }
}

impl ReplicaPublisher {
    pub fn new(lease: Duration) -> Self {
        Self {
            replica: RefCell::new(Replica::new(lease)),
            encoded_answers: RefCell::default(),
            origin: Instant::now(),
            revision: watch::Sender::new(0),
            confirm: Notify::new(),
            waiting: RefCell::default(),
            stops: watch::Sender::new(false),
        }
    }

    /// Time as the replica counts it.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The call that upstream is to have next; one for a caller's version only if that `may_confirm`.
    pub fn next_call(&self, may_confirm: bool) -> UpstreamCall {
        let replica = self.replica.borrow();
        if may_confirm {
            replica.next_call()
        } else {
            replica.next_list_call()
        }
    }

    /// Calls go to another upstream now.
    pub fn upstream_changed(&self) {
        self.replica.borrow_mut().upstream_changed();
    }

    /// Takes in upstream's answer, and wakes all callers that wait if it has news for them.
    pub fn apply(
        &self,
        call: UpstreamCall,
        list: ListUpdate,
        sent: Duration,
    ) -> Result<ApplyOutcome, RejectedUpdate> {
        let applied = self
            .replica
            .borrow_mut()
            .apply(call, list, sent, self.now());
        let news = applied.as_ref().is_ok_and(|applied| applied.changed);
        if news {
            self.encoded_answers.borrow_mut().clear();
        }
        if news || !matches!(call, UpstreamCall::Watch(_)) {
            self.wake_callers();
        }
        applied
    }

    fn wake_callers(&self) {
        self.revision.send_modify(|revision| *revision += 1);
    }

    /// Until a caller wants upstream's word on a version.
    pub async fn confirm_wanted(&self) {
        while !matches!(self.next_call(true), UpstreamCall::Confirm(_)) {
            self.confirm.notified().await;
        }
    }

    /// Answers a caller, once there is something to answer.
    pub async fn answer(&self, request: ListRequest) -> Result<EncodedUpdate, PublishError> {
        let (received_at, ends) = (self.now(), Instant::now() + request.wait);
        let (mut revision, mut stops) = (self.revision.subscribe(), self.stops.subscribe());
        loop {
            if *stops.borrow_and_update() {
                return Err(PublishError::ShuttingDown);
            }
            let wait_expired = Instant::now() >= ends;
            let query = ListQuery {
                after: request.after,
                received_at,
                wait_expired,
            };
            let reply = self.replica.borrow_mut().answer(query, self.now())?;
            let (until, _waiting) = match (reply, request.after) {
                (Answer::Wait, Some(version)) => (ends, Some(WatchGuard::begin(self, version))),
                (Answer::Confirm, Some(version)) => {
                    if self.now() >= received_at + CONFIRMATION_TIMEOUT {
                        return Err(PublishError::Unconfirmed(version));
                    }
                    self.confirm.notify_one();
                    (self.origin + received_at + CONFIRMATION_TIMEOUT, None)
                }
                _ => return self.encoded(reply),
            };
            tokio::select! {
                _ = revision.changed() => {}
                _ = stops.changed() => {}
                () = sleep_until(until) => {}
            }
        }
    }

    fn encoded(&self, reply: Answer) -> Result<EncodedUpdate, PublishError> {
        let replica = self.replica.borrow();
        let encoded = self
            .encoded_answers
            .borrow_mut()
            .encoded(reply, || replica.message(reply));
        Ok(encoded.ok_or(Unavailable::NoList)??)
    }

    /// Fails callers that wait at the moment the lease runs out.
    pub async fn watch_lease(self: Rc<Self>, log: Log) {
        let mut revision = self.revision.subscribe();
        loop {
            let expires = self.replica.borrow().lease_expires_at();
            let Some(expires) = expires else {
                if revision.changed().await.is_err() {
                    return;
                }
                continue;
            };
            if self.now() <= expires {
                sleep_until(self.origin + expires + LEASE_EXPIRY_MARGIN).await;
                continue;
            }
            log.line("relay: nothing was heard from upstream for the lease: callers are failed");
            self.wake_callers();
            while self.replica.borrow().lease_expires_at() == Some(expires) {
                sleep(EXPIRED_LEASE_POLL_INTERVAL).await;
            }
            log.line("relay: upstream is heard again: callers are answered");
        }
    }

    /// Why callers are failed now, if they are.
    pub fn unavailable(&self) -> Option<Unavailable> {
        let query = ListQuery {
            after: None,
            received_at: self.now(),
            wait_expired: true,
        };
        self.replica.borrow_mut().answer(query, self.now()).err()
    }

    /// Looks at the replica.
    pub fn with_replica<T>(&self, at: impl FnOnce(&Replica) -> T) -> T {
        at(&self.replica.borrow())
    }

    /// Clients that have the version held and wait for a newer one.
    pub fn waiting(&self) -> usize {
        let version = self.replica.borrow().version();
        version
            .and_then(|version| self.waiting.borrow().get(&version).copied())
            .unwrap_or(0)
    }

    /// Fails all callers from now on.
    pub fn stop(&self) {
        self.stops.send_replace(true);
    }

    /// Until callers are failed because the relay stops.
    pub async fn stopped(&self) {
        let mut stops = self.stops.subscribe();
        // The sender is this one's own.
        let _ = stops.wait_for(|stops| *stops).await;
    }
}
