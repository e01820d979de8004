//! A simulated node against the scale run's stand-in for discovery: it is the real client and the real decision module.

use slatelink_config::operators;
use slatelink_lab::list_protocol::Availability;
use slatelink_lab::scale::directory::EndpointChange;
use slatelink_lab::scale::service::{Caller, DiscoveryService, Peer};
use slatelink_lab::scale::Options;
use slatelink_node::control::{run, ControlObserver, ControlOptions};
use slatelink_policy::{Class, Settings};
use slatelink_telemetry::{LogFormat, Telemetry};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(5);

/// What a control plane told.
#[derive(Default)]
struct Seen {
    lists: RefCell<Vec<(u64, bool)>>,
    failed: Cell<usize>,
    handled: Cell<usize>,
    sent: Cell<usize>,
}

impl ControlObserver for Seen {
    fn endpoint_list_applied(&self, version: u64, complete: bool) {
        self.lists.borrow_mut().push((version, complete));
    }

    fn discovery_failed(&self) {
        self.failed.set(self.failed.get() + 1);
    }

    fn request_handled(&self, sent: bool, _processor: Duration) {
        self.handled.set(self.handled.get() + 1);
        self.sent.set(self.sent.get() + usize::from(sent));
    }
}

impl Seen {
    async fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let waits = async {
            while !holds(self) {
                sleep(POLL).await;
            }
        };
        timeout(PATIENCE, waits)
            .await
            .unwrap_or_else(|_| panic!("{what} does not come"));
    }
}

fn options(
    discovery: SocketAddr,
    telemetry: &Telemetry,
) -> (ControlOptions, watch::Sender<SocketAddr>) {
    let (moves, address) = watch::channel(discovery);
    let settings = Settings {
        polls_discovery: true,
        classes: vec![Class::default()],
        ..Settings::default()
    };
    let options = ControlOptions {
        settings,
        seed: 5,
        discovery: address,
        request_rate: 500.0,
        processor_clock: Duration::default,
        log: telemetry.log.clone(),
    };
    (options, moves)
}

fn change(availability: Availability) -> Vec<EndpointChange> {
    vec![EndpointChange {
        server: 0,
        availability,
        started_ms: None,
    }]
}

/// Runs on one thread, as a node does.
fn on_one_thread(test: impl std::future::Future<Output = ()>) {
    let one = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&one, test);
}

// Guards against a simulated node that only asks for lists: what its module does with requests follows the list, also over
// a time without discovery.
#[test]
fn a_simulated_node_decides_by_the_list_that_it_has_in_force() {
    on_one_thread(async {
        let telemetry =
            Telemetry::start(&operators::Settings::default(), &[], LogFormat::Text).unwrap();
        let size = Options {
            servers: 1,
            zones: 1,
            ..Options::default()
        };
        let peers = vec![Peer {
            caller: Caller::SimulatedNodes,
            address: 0,
            beyond_partition: false,
        }];
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let service = DiscoveryService::start(&size, nowhere, peers, unbounded_channel().0)
            .await
            .unwrap();
        let seen = Rc::new(Seen::default());
        let (options, _moves) = options(service.addresses[0], &telemetry);
        let node = spawn_local(run(options, seen.clone()));

        seen.until("a request that is sent", |seen| seen.sent.get() > 0)
            .await;
        assert_eq!(
            *seen.lists.borrow(),
            [(1, true)],
            "a new node asks for the whole list, once"
        );

        service
            .change(change(Availability::Draining))
            .await
            .unwrap();
        seen.until("the change", |seen| {
            seen.lists.borrow().last() == Some(&(2, false))
        })
        .await;
        let (sent, handled) = (seen.sent.get(), seen.handled.get());
        seen.until("more requests", |seen| seen.handled.get() > handled + 20)
            .await;
        assert_eq!(seen.sent.get(), sent, "no server takes work");

        service.set_down(true).unwrap();
        seen.until("a call that fails", |seen| seen.failed.get() > 1)
            .await;
        service.change(change(Availability::Ready)).await.unwrap();
        service.set_down(false).unwrap();
        seen.until("the change of that time", |seen| {
            seen.lists.borrow().last() == Some(&(3, false))
        })
        .await;
        seen.until("a request that is sent again", |seen| {
            seen.sent.get() > sent
        })
        .await;

        node.abort();
        let figures = service.stats().await.unwrap();
        assert!(
            figures.simulated.resets > 0 && figures.simulated.whole_answers == 1,
            "{figures:?}"
        );
        assert_eq!(figures.real, Default::default(), "no real node has called");
    });
}

// Guards against a node that is cut off for good, and against one that hears something while it is.
#[test]
fn a_split_holds_back_the_far_side_until_it_is_over() {
    on_one_thread(async {
        let telemetry =
            Telemetry::start(&operators::Settings::default(), &[], LogFormat::Text).unwrap();
        let size = Options {
            servers: 1,
            zones: 1,
            ..Options::default()
        };
        let peers = [false, true]
            .map(|beyond_partition| Peer {
                caller: Caller::SimulatedNodes,
                address: 0,
                beyond_partition,
            })
            .to_vec();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let service = DiscoveryService::start(&size, nowhere, peers, unbounded_channel().0)
            .await
            .unwrap();
        let (near, beyond_partition) = (Rc::new(Seen::default()), Rc::new(Seen::default()));
        let mut moves = Vec::new();
        for (place, seen) in [&near, &beyond_partition].into_iter().enumerate() {
            let (options, moved) = options(service.addresses[place], &telemetry);
            moves.push(moved);
            spawn_local(run(options, seen.clone()));
            seen.until("the first list", |seen| !seen.lists.borrow().is_empty())
                .await;
        }
        service.set_partitioned(true).unwrap();
        service
            .change(change(Availability::Draining))
            .await
            .unwrap();
        near.until("the change", |seen| {
            seen.lists.borrow().last() == Some(&(2, false))
        })
        .await;
        assert_eq!(*beyond_partition.lists.borrow(), [(1, true)]);
        service.set_partitioned(false).unwrap();
        beyond_partition
            .until("the change", |seen| {
                seen.lists.borrow().last() == Some(&(2, false))
            })
            .await;
        assert!(beyond_partition.failed.get() > 0, "its watch was reset");
    });
}
