//! The client of upstream: watches it, tries the next source when one fails, and backs off when all do.
//!
//! The node's own client of discovery does not fit: it hands on what a node needs of an entry and not its text, and its
//! renewals go by the node's rules and not by a lease.

use super::publisher::ReplicaPublisher;
use super::status::UpstreamCounts;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use slatelink_config::relay::RelaySettings;
use slatelink_membership::{ListUpdate, MessageError, UpstreamCall};
use slatelink_telemetry::Log;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The longest wait that a watch may ask for.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// A watch waits for this part of the lease, and has as much again to be answered: the rest is for another source.
const WATCHES_PER_LEASE: u32 = 3;
/// An answer that has nothing to wait for comes within this: a call may stand in discovery's queue for 2 s.
const RESPONSE_TIMEOUT_BOUNDS: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(250)..=Duration::from_secs(3);
/// A connection that has not come up after this is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A longer answer is no list.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// The pause after all sources have failed, give or take half of it; it doubles each time up to the longest.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// After an answer without use the next call waits: made at once, calls would spin.
const UNPRODUCTIVE_CALL_PAUSE: Duration = Duration::from_millis(50);
/// Upstream is asked so often, at most, for versions that callers have and this relay has not.
const MIN_CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// Why a call brought no list.
#[derive(Debug, Error)]
enum CallError {
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    #[error("{0}")]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("{0}")]
    Message(#[from] MessageError),
    #[error("no answer in time")]
    Overdue,
}

/// An open connection; it is closed when dropped.
struct UpstreamConnection {
    sender: SendRequest<Empty<Bytes>>,
    _driving: JoinSet<hyper::Result<()>>,
}

impl UpstreamConnection {
    async fn connect(address: SocketAddr) -> Result<Self, CallError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| CallError::Overdue)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let mut driving = JoinSet::new();
        driving.spawn_local(connection);
        Ok(Self {
            sender,
            _driving: driving,
        })
    }

    async fn exchange(&mut self, address: SocketAddr, path: &str) -> Result<ListUpdate, CallError> {
        let request = Request::get(path)
            .header(HOST, address.to_string())
            .body(Empty::new())?;
        let response = self.sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await?
            .to_bytes();
        Ok(ListUpdate::parse(&body)?)
    }
}

/// The client at work.
pub struct UpstreamClient {
    addresses: Vec<SocketAddr>,
    /// How long a watch waits.
    wait: Duration,
    /// How long beyond its wait a call may take.
    response_timeout: Duration,
    publisher: Rc<ReplicaPublisher>,
    counts: Rc<Cell<UpstreamCounts>>,
    random: fastrand::Rng,
    log: Log,
    /// Calls that failed since the last list that was applied.
    failures: u32,
    /// Lists that were rejected since the last one that was applied.
    rejections: u32,
    confirmed: Option<Instant>,
}

/// What became of a call.
enum CallOutcome {
    Answered(ListUpdate),
    /// A caller wants upstream's word on a version: the watch is given up for that.
    Abandoned,
}

/// What became of a list.
enum UpdateOutcome {
    /// Clients have news by it.
    Changed,
    /// It says what was known.
    Unchanged,
    /// It was not applied.
    Rejected,
}

impl UpstreamClient {
    pub fn new(
        settings: &RelaySettings,
        publisher: Rc<ReplicaPublisher>,
        counts: Rc<Cell<UpstreamCounts>>,
        log: Log,
    ) -> Self {
        let part = settings.lease() / WATCHES_PER_LEASE;
        Self {
            addresses: settings.upstream.clone(),
            wait: part.min(MAX_WATCH_WAIT),
            response_timeout: part.clamp(
                *RESPONSE_TIMEOUT_BOUNDS.start(),
                *RESPONSE_TIMEOUT_BOUNDS.end(),
            ),
            publisher,
            counts,
            random: fastrand::Rng::new(),
            log,
            failures: 0,
            rejections: 0,
            confirmed: None,
        }
    }

    /// Follows one source until it fails, and then the next one, for as long as the future lives.
    pub async fn run(mut self) {
        for place in (0..self.addresses.len()).cycle() {
            let address = self.addresses[place];
            let Err(error) = self.follow(address).await;
            self.count(|counts| counts.failed_calls += 1);
            self.log
                .rate_limited("upstream", &format!("upstream {address}: {error}"));
            if self.addresses.len() > 1 {
                self.publisher.upstream_changed();
            }
            self.failures = self.failures.saturating_add(1);
            let rounds = self.failures / self.addresses.len() as u32;
            if rounds > 0 {
                sleep(self.backoff(rounds)).await;
            }
        }
    }

    /// The pause after so many rounds in which all sources failed.
    fn backoff(&mut self, rounds: u32) -> Duration {
        let pause = INITIAL_BACKOFF
            .saturating_mul(1 << (rounds - 1).min(16))
            .min(MAX_BACKOFF);
        pause.mul_f64(0.5 + self.random.f64())
    }

    fn count(&self, with: impl FnOnce(&mut UpstreamCounts)) {
        let mut counts = self.counts.get();
        with(&mut counts);
        self.counts.set(counts);
    }

    async fn follow(&mut self, address: SocketAddr) -> Result<std::convert::Infallible, CallError> {
        let mut link = UpstreamConnection::connect(address).await?;
        loop {
            let may_confirm = self
                .confirmed
                .is_none_or(|last| last.elapsed() >= MIN_CONFIRM_INTERVAL);
            let call = self.publisher.next_call(may_confirm);
            let (begun, sent) = (Instant::now(), self.publisher.now());
            match self.call(&mut link, address, call).await? {
                // What is on its way on the old connection would come before the answer on it.
                CallOutcome::Abandoned => link = UpstreamConnection::connect(address).await?,
                CallOutcome::Answered(list) => match self.take(call, list, sent) {
                    UpdateOutcome::Changed => {}
                    UpdateOutcome::Unchanged if begun.elapsed() >= UNPRODUCTIVE_CALL_PAUSE => {}
                    UpdateOutcome::Unchanged => sleep(UNPRODUCTIVE_CALL_PAUSE).await,
                    UpdateOutcome::Rejected => sleep(self.pace_after_rejection()).await,
                },
            }
        }
    }

    async fn call(
        &mut self,
        link: &mut UpstreamConnection,
        address: SocketAddr,
        call: UpstreamCall,
    ) -> Result<CallOutcome, CallError> {
        self.count(|counts| counts.calls += 1);
        let (path, response_timeout) = match call {
            UpstreamCall::Snapshot => ("/v1/servers".to_owned(), self.response_timeout),
            UpstreamCall::Watch(held) => (
                format!("/v1/servers?after={held}&wait_ms={}", self.wait.as_millis()),
                self.wait + self.response_timeout,
            ),
            UpstreamCall::Confirm(wanted) => {
                self.confirmed = Some(Instant::now());
                (
                    format!("/v1/servers?after={wanted}&wait_ms=0"),
                    self.response_timeout,
                )
            }
        };
        let answer = timeout(response_timeout, link.exchange(address, &path));
        tokio::select! {
            biased;
            answer = answer => answer.map_err(|_| CallError::Overdue)?.map(CallOutcome::Answered),
            () = self.confirm_due(), if matches!(call, UpstreamCall::Watch(_)) => Ok(CallOutcome::Abandoned),
        }
    }

    /// Until upstream is to be asked for a caller's version.
    async fn confirm_due(&self) {
        self.publisher.confirm_wanted().await;
        if let Some(last) = self.confirmed {
            sleep_until(last + MIN_CONFIRM_INTERVAL).await;
        }
    }

    /// The first call after a rejection asks for what was missing; one that goes on being rejected asks ever less often.
    fn pace_after_rejection(&self) -> Duration {
        UNPRODUCTIVE_CALL_PAUSE
            .saturating_mul(1 << (self.rejections.saturating_sub(1)).min(16))
            .min(MAX_BACKOFF)
    }

    /// Hands a list on.
    fn take(&mut self, call: UpstreamCall, list: ListUpdate, sent: Duration) -> UpdateOutcome {
        let version = list.version;
        match self.publisher.apply(call, list, sent) {
            Ok(applied) => {
                (self.failures, self.rejections) = (0, 0);
                self.count(|counts| counts.applied_updates += 1);
                if applied.new_epoch {
                    self.log.line(&format!(
                        "upstream's versions went back: list {version} begins an epoch"
                    ));
                }
                if applied.duplicates > 0 {
                    let text = format!(
                        "list {version} names {} servers more than once",
                        applied.duplicates
                    );
                    self.log.rate_limited("duplicates", &text);
                }
                if applied.changed {
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
}
