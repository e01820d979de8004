//! Runs a client in virtual time and collects the events that the client forwards to the driver.

use crate::discovery::ListTimings;
use crate::discovery::{self, DiscoveryOptions};
use crate::driver::DriverEvent;
use crate::list_client::MAX_LIST_BYTES;
use slatelink_policy::{Availability, Settings};
use slatelink_telemetry::{Log, LogFormat, Telemetry};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, yield_now, LocalSet};
use tokio::time::{sleep, timeout_at, Instant};

/// Longest backoff of the decision module after a reported failure.
pub const LONGEST_POLICY_BACKOFF: Duration = Duration::from_millis(840);
/// Maximum time from the writing of an answer to its arrival at the driver. The rule allows 0.25 s,
/// which also has to cover the transit time from the node to an endpoint.
pub const MAX_FORWARDING_DELAY: Duration = Duration::from_millis(200);

/// Runs a test in virtual time. The clock is advanced in small steps, and socket I/O is polled in
/// between. Otherwise a paused clock would jump to the next timer whenever no task is ready, even
/// while bytes are in transit.
pub fn run_in_virtual_time<T>(test: impl AsyncFnOnce(Log) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        spawn_local(async {
            loop {
                for _ in 0..200 {
                    yield_now().await;
                }
                std::thread::sleep(Duration::from_micros(50));
                tokio::time::advance(Duration::from_millis(10)).await;
            }
        });
        let telemetry = Telemetry::start(&Default::default(), &[], LogFormat::Text).unwrap();
        test(telemetry.log.clone()).await
    })
}

/// Returns the default settings with polled discovery. By default lists are pushed.
pub fn polling_settings() -> Settings {
    Settings {
        polls_discovery: true,
        ..Settings::default()
    }
}

/// Time from a failure until the decision module requests a poll.
#[derive(Clone, Copy)]
pub enum PolicyBackoff {
    /// Always `LONGEST_POLICY_BACKOFF`.
    Longest,
    /// Drawn from the range that the decision module uses.
    Drawn,
}

/// Event that the client forwarded to the driver.
#[derive(Debug)]
pub struct ForwardedEvent {
    pub at: Instant,
    pub event: DriverEvent,
}

/// A client that initially holds the list of version 1.
pub struct TestClient {
    pub events: UnboundedReceiver<ForwardedEvent>,
    /// Changes discovery's address.
    pub address: Rc<watch::Sender<SocketAddr>>,
}

impl TestClient {
    /// Starts a client with polled discovery and the defaults of the other settings.
    pub fn start(address: SocketAddr, seed: u64, log: &Log) -> Self {
        let backoff = PolicyBackoff::Longest;
        Self::start_with(address, seed, &polling_settings(), backoff, log)
    }

    /// Starts a client. If the settings select pushed lists, no polls are requested.
    pub fn start_with(
        address: SocketAddr,
        seed: u64,
        settings: &Settings,
        policy_backoff: PolicyBackoff,
        log: &Log,
    ) -> Self {
        let (events, mut client_events) = unbounded_channel();
        let (forwarded, forwarded_events) = unbounded_channel();
        let (address_sender, address) = watch::channel(address);
        let address_sender = Rc::new(address_sender);
        let held_sender = address_sender.clone();
        let pushed = !settings.polls_discovery;
        let options = DiscoveryOptions {
            address,
            version: Some(1),
            pushed,
            timings: Rc::new(Cell::new(ListTimings::new(settings))),
            max_list_bytes: MAX_LIST_BYTES,
            random: fastrand::Rng::with_seed(seed),
            events,
            log: log.clone(),
        };
        let poll_requested = Rc::new(Notify::new());
        if !pushed {
            poll_requested.notify_one();
        }
        spawn_local(discovery::run(options, poll_requested.clone()));
        spawn_local(async move {
            let mut random = fastrand::Rng::with_seed(seed ^ 0x9e37);
            while let Some(event) = client_events.recv().await {
                let failed = matches!(event, DriverEvent::DiscoveryFailed);
                let at = Instant::now();
                if forwarded.send(ForwardedEvent { at, event }).is_err() {
                    return;
                }
                if failed && !pushed {
                    sleep(match policy_backoff {
                        PolicyBackoff::Longest => LONGEST_POLICY_BACKOFF,
                        PolicyBackoff::Drawn => Duration::from_millis(random.u64(360..840)),
                    })
                    .await;
                    poll_requested.notify_one();
                }
            }
            drop(held_sender);
        });
        Self {
            events: forwarded_events,
            address: address_sender,
        }
    }

    /// Waits for the next event.
    pub async fn next_event(&mut self) -> ForwardedEvent {
        self.events.recv().await.expect("client is running")
    }

    /// Waits for the list of a version. Returns when the list was forwarded.
    pub async fn list_forwarded(&mut self, version: u64) -> Instant {
        loop {
            let ForwardedEvent { at, event } = self.next_event().await;
            if matches!(event, DriverEvent::EndpointListReceived(list) if list.version == version) {
                return at;
            }
        }
    }

    /// Waits for a list in which an endpoint is draining or removed. Returns when the list was
    /// forwarded, or `None` if no such list is forwarded within this time.
    pub async fn drain_forwarded(&mut self, id: &str, within: Duration) -> Option<Instant> {
        let deadline = Instant::now() + within;
        while let Ok(Some(ForwardedEvent { at, event })) =
            timeout_at(deadline, self.events.recv()).await
        {
            let DriverEvent::EndpointListReceived(list) = event else {
                continue;
            };
            let is_draining = list.endpoints.iter().any(|endpoint| {
                endpoint.id() == id && endpoint.availability() != Availability::Ready
            });
            if is_draining {
                return Some(at);
            }
        }
        None
    }
}
