//! Tests of a simulated node, with the real discovery client and decision module, against the
//! simulated discovery of the scale run.

use slatelink_config::operators;
use slatelink_lab::list_protocol::Availability;
use slatelink_lab::scale::discovery::{Caller, DiscoveryService, Peer};
use slatelink_lab::scale::endpoint_list::EndpointChange;
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

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Records the events of a simulated node.
#[derive(Default)]
struct ObservedEvents {
    lists: RefCell<Vec<(u64, bool)>>,
    failed: Cell<usize>,
    handled: Cell<usize>,
    sent: Cell<usize>,
}

impl ControlObserver for ObservedEvents {
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

impl ObservedEvents {
    async fn wait_until(&self, description: &str, condition: impl Fn(&Self) -> bool) {
        let polling = async {
            while !condition(self) {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(WAIT_TIMEOUT, polling)
            .await
            .unwrap_or_else(|_| panic!("timed out waiting for {description}"));
    }
}

fn options(
    discovery: SocketAddr,
    telemetry: &Telemetry,
) -> (ControlOptions, watch::Sender<SocketAddr>) {
    let (address_sender, address) = watch::channel(discovery);
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
    (options, address_sender)
}

fn availability_change(availability: Availability) -> Vec<EndpointChange> {
    vec![EndpointChange {
        server: 0,
        availability,
        started_ms: None,
    }]
}

/// Runs a test on one thread, as a node runs.
fn run_on_one_thread(test: impl std::future::Future<Output = ()>) {
    let local_runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&local_runtime, test);
}

// Guards against a simulated node that only fetches the endpoint list: its decision module must
// handle requests according to the list in force, also after discovery was down.
#[test]
fn simulated_node_decides_by_the_server_list_in_force() {
    run_on_one_thread(async {
        let telemetry =
            Telemetry::start(&operators::Settings::default(), &[], LogFormat::Text).unwrap();
        let scale_options = Options {
            servers: 1,
            zones: 1,
            ..Options::default()
        };
        let peers = vec![Peer {
            caller: Caller::SimulatedNodes,
            address: 0,
            beyond_partition: false,
        }];
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
        let service =
            DiscoveryService::start(&scale_options, unused_address, peers, unbounded_channel().0)
                .await
                .unwrap();
        let seen = Rc::new(ObservedEvents::default());
        let (options, _address_sender) = options(service.addresses[0], &telemetry);
        let node = spawn_local(run(options, seen.clone()));

        seen.wait_until("a sent request", |seen| seen.sent.get() > 0)
            .await;
        assert_eq!(
            *seen.lists.borrow(),
            [(1, true)],
            "a new node requests one snapshot"
        );

        service
            .change(availability_change(Availability::Draining))
            .await
            .unwrap();
        seen.wait_until("the list change", |seen| {
            seen.lists.borrow().last() == Some(&(2, false))
        })
        .await;
        let (sent, handled) = (seen.sent.get(), seen.handled.get());
        seen.wait_until("more handled requests", |seen| {
            seen.handled.get() > handled + 20
        })
        .await;
        assert_eq!(seen.sent.get(), sent, "a request was sent");

        service.set_down(true).unwrap();
        seen.wait_until("a failed call", |seen| seen.failed.get() > 1)
            .await;
        service
            .change(availability_change(Availability::Ready))
            .await
            .unwrap();
        service.set_down(false).unwrap();
        seen.wait_until("the change made while discovery was down", |seen| {
            seen.lists.borrow().last() == Some(&(3, false))
        })
        .await;
        seen.wait_until("another sent request", |seen| seen.sent.get() > sent)
            .await;

        node.abort();
        let service_stats = service.stats().await.unwrap();
        assert!(
            service_stats.simulated.resets > 0 && service_stats.simulated.whole_answers == 1,
            "{service_stats:?}"
        );
        assert_eq!(service_stats.real, Default::default(), "a real node called");
    });
}

// Guards against a partitioned node that never recovers, and against one that receives list changes
// during the partition.
#[test]
fn partitioned_node_gets_list_changes_only_after_the_partition() {
    run_on_one_thread(async {
        let telemetry =
            Telemetry::start(&operators::Settings::default(), &[], LogFormat::Text).unwrap();
        let scale_options = Options {
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
        let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
        let service =
            DiscoveryService::start(&scale_options, unused_address, peers, unbounded_channel().0)
                .await
                .unwrap();
        let (connected, cut_off) = (
            Rc::new(ObservedEvents::default()),
            Rc::new(ObservedEvents::default()),
        );
        let mut address_senders = Vec::new();
        for (index, seen) in [&connected, &cut_off].into_iter().enumerate() {
            let (options, node_address_sender) = options(service.addresses[index], &telemetry);
            address_senders.push(node_address_sender);
            spawn_local(run(options, seen.clone()));
            seen.wait_until("the first list", |seen| !seen.lists.borrow().is_empty())
                .await;
        }
        service.set_partitioned(true).unwrap();
        service
            .change(availability_change(Availability::Draining))
            .await
            .unwrap();
        connected
            .wait_until("the list change", |seen| {
                seen.lists.borrow().last() == Some(&(2, false))
            })
            .await;
        assert_eq!(*cut_off.lists.borrow(), [(1, true)]);
        service.set_partitioned(false).unwrap();
        cut_off
            .wait_until("the list change", |seen| {
                seen.lists.borrow().last() == Some(&(2, false))
            })
            .await;
        assert!(
            cut_off.failed.get() > 0,
            "the watch of the partitioned node was reset"
        );
    });
}
