//! Connects the parts of a node and spawns the tasks that run them.

use crate::body::BodyMemory;
use crate::budget::ConnectionBudget;
use crate::connections::ConnectionManager;
use crate::discovery::{self, DiscoveryOptions, ListTimings};
use crate::driver::{Driver, DriverEvent, DriverOptions};
use crate::multiget::MultiGet;
use crate::server::{serve, ClientConnection, DescriptorSource, ServerContext};
use crate::shutdown::ShutdownStage;
use crate::upstream::Upstream;
use slatelink_admission::ConnectionKind;
use slatelink_config::operators::MultiGetSettings;
use slatelink_config::EndpointList;
use slatelink_policy::{Balancer, Settings};
use slatelink_telemetry::{Observer, Telemetry};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{pending, Future};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::interval;

/// Interval between reports of the client connection counts to telemetry.
const CONNECTION_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// State that the server shares with the driver and the shutdown.
pub struct ServerState {
    /// Whether `/healthz` reports the node as ready.
    pub ready: Rc<Cell<bool>>,
    /// Current stage of the node's shutdown.
    pub stage: watch::Receiver<ShutdownStage>,
    /// Sends events to the driver. The channel is unbounded: connections are limited, and each has
    /// at most one request or attempt in it.
    pub events: UnboundedSender<DriverEvent>,
}

/// Initial state and inputs of the driver.
pub struct DriverStart {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Seed of the random draws of the decision module and of the discovery client.
    pub seed: u64,
    /// The last endpoint list known to the node.
    pub known_endpoints: EndpointList,
    /// Address of discovery.
    pub discovery_address: watch::Receiver<SocketAddr>,
    /// Set once the node is ready.
    pub ready: Rc<Cell<bool>>,
    /// Sender of the events that the driver reads; attempts report their results through it.
    pub events: UnboundedSender<DriverEvent>,
    /// Receiving end of `events`, read by the driver.
    pub received_events: UnboundedReceiver<DriverEvent>,
}

/// The parts of a node that its tasks share.
pub struct Node {
    /// Log and observer of the node's events.
    pub telemetry: Rc<Telemetry>,
    budget: ConnectionBudget,
    connections: Rc<ConnectionManager>,
    upstream: Rc<Upstream>,
    server: Rc<ServerContext>,
    /// Shared with the discovery client.
    list_timings: Rc<Cell<ListTimings>>,
}

impl Node {
    /// Creates the parts without starting tasks; there are no endpoints yet.
    pub fn new(
        settings: &Settings,
        budget: ConnectionBudget,
        telemetry: Rc<Telemetry>,
        server: ServerState,
    ) -> Self {
        let connections = ConnectionManager::new(
            budget.shared.clone(),
            ConnectionKind::Client,
            budget.client_limits.clone(),
        );
        let response_memory = BodyMemory::new(budget.response_bytes);
        let upstream = Rc::new(Upstream::new(
            budget.shared.clone(),
            connections.clone(),
            response_memory.clone(),
            settings.connect_timeout,
            settings.keepalive,
        ));
        let descriptors = DescriptorSource {
            connections: connections.clone(),
            upstream: upstream.clone(),
        };
        let server = Rc::new(ServerContext::new(
            settings,
            server.ready,
            server.stage,
            server.events,
            telemetry.log.clone(),
            descriptors,
            response_memory,
        ));
        Self {
            telemetry,
            budget,
            connections,
            upstream,
            server,
            list_timings: Rc::new(Cell::new(ListTimings::new(settings))),
        }
    }

    /// Applies changed settings to all parts, in one step between two events. Requests that were
    /// read before keep their class.
    pub fn apply_settings(&self, mut settings: Settings) {
        let names = {
            let mut classes = self.server.classes.borrow_mut();
            classes.replace(&mut settings);
            classes.names()
        };
        self.server.tenants.replace(settings.tenants.clone());
        self.connections
            .set_class_limits(self.budget.class_limits(&names));
        self.telemetry.classes_changed(&names);
        self.upstream
            .set_timeouts(settings.connect_timeout, settings.keepalive);
        self.list_timings.set(ListTimings::new(&settings));
        // Fails only after the driver has ended, and with it the node.
        let _ = self
            .server
            .events
            .send(DriverEvent::SettingsChanged(Box::new(settings)));
    }

    /// Spawns the tasks that run the timeouts and turns of connections and report the connection
    /// counts.
    pub fn spawn_maintenance(&self) {
        spawn_local(self.upstream.clone().sweep());
        spawn_local(self.connections.clone().run());
        spawn_local(report_connections(
            self.connections.clone(),
            self.telemetry.clone(),
        ));
    }

    /// Spawns the driver and returns the future of the discovery client that feeds it.
    ///
    /// The client must be polled as part of the main future: a spawned task is queued behind the
    /// tasks of all requests, while a `LocalSet` polls the main future again after at most 61
    /// tasks.
    pub fn spawn_driver(&self, start: DriverStart) -> impl Future<Output = Infallible> {
        let poll_requested = Rc::new(Notify::new());
        let pushed = !start.settings.polls_discovery;
        let (discovery_events, received_lists) = unbounded_channel();
        let (forwarded_events, forwarded_lists) = unbounded_channel();
        let options = self.discovery_options(&start, discovery_events);
        let driver = Driver::new(DriverOptions {
            balancer: Balancer::new(start.settings, start.seed),
            upstream: self.upstream.clone(),
            poll_requested: poll_requested.clone(),
            ready: start.ready,
            awaits_first_list: pushed,
            events: start.events,
            observer: self.telemetry.clone(),
        });
        spawn_local(driver.run(
            start.known_endpoints,
            forwarded_lists,
            start.received_events,
        ));
        let client = discovery::run(options, poll_requested);
        let forwarding =
            forward_discovery_events(received_lists, forwarded_events, self.upstream.clone());
        async {
            tokio::join!(client, forwarding);
            pending().await
        }
    }

    /// Returns the options of the discovery client.
    ///
    /// If the node polls for lists, the client starts from the list that the node holds, because a
    /// complete list is expensive for discovery. If lists are pushed, a node counts as notified of
    /// its agent's list from the start of the node's process: the client requests the complete list
    /// at once, and the node is not ready before the list has arrived.
    fn discovery_options(
        &self,
        start: &DriverStart,
        events: UnboundedSender<DriverEvent>,
    ) -> DiscoveryOptions {
        let settings = &start.settings;
        let pushed = !settings.polls_discovery;
        let holds_list = !start.known_endpoints.endpoints.is_empty() && !pushed;
        DiscoveryOptions {
            address: start.discovery_address.clone(),
            version: holds_list.then_some(start.known_endpoints.version),
            pushed,
            timings: self.list_timings.clone(),
            max_list_bytes: self.budget.max_list_bytes,
            random: fastrand::Rng::with_seed(start.seed),
            events,
            log: self.telemetry.log.clone(),
        }
    }

    /// Spawns the server of the multi-get port. The task ends when the node closes and the port's
    /// last connection has ended.
    pub fn serve_multiget(
        &self,
        listener: TcpListener,
        settings: MultiGetSettings,
    ) -> io::Result<JoinHandle<()>> {
        let address = listener.local_addr()?;
        self.telemetry
            .log
            .line(&format!("multi-get listens on {address}"));
        let descriptors = DescriptorSource {
            connections: ConnectionManager::new(
                self.budget.shared.clone(),
                ConnectionKind::SidePort,
                self.budget.multiget_limits(),
            ),
            upstream: self.upstream.clone(),
        };
        let multiget = MultiGet::new(
            self.server.clone(),
            settings,
            descriptors,
            self.budget.response_bytes,
        );
        Ok(spawn_local(multiget.serve(listener)))
    }

    /// Spawns the server of the client port. The task ends when the node closes and the port's last
    /// connection has ended.
    pub fn serve_clients(&self, listener: TcpListener) -> JoinHandle<()> {
        let server = self.server.clone();
        let connection = move |handle| ClientConnection::new(handle, server.clone());
        spawn_local(serve(
            listener,
            self.server.descriptors.clone(),
            self.server.stage.clone(),
            self.server.log.clone(),
            connection,
        ))
    }
}

/// Marks endpoints that are no longer ready in the connection pools at once, then forwards the
/// discovery event to the driver, which may be busy with other events.
async fn forward_discovery_events(
    mut received: UnboundedReceiver<DriverEvent>,
    driver: UnboundedSender<DriverEvent>,
    upstream: Rc<Upstream>,
) {
    while let Some(event) = received.recv().await {
        if let DriverEvent::EndpointListReceived(list) = &event {
            upstream.mark_unready(list);
        }
        if driver.send(event).is_err() {
            return;
        }
    }
}

/// Reports the client connection counts to telemetry for as long as the node runs.
async fn report_connections(connections: Rc<ConnectionManager>, telemetry: Rc<Telemetry>) {
    let mut ticks = interval(CONNECTION_REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        telemetry.connections_sampled(&connections.stats());
    }
}
