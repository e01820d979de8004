//! The parts of a node, wired to each other, and the tasks that they run in.

use crate::budget::ConnectionBudget;
use crate::connections::ConnectionManager;
use crate::discovery::{self, DiscoveryOptions};
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

/// How often the counts of clients' connections are reported to telemetry.
const CONNECTION_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What the server shares with the driver and with the shutdown.
pub struct ServerState {
    /// Whether `/healthz` reports the node as ready.
    pub ready: Rc<Cell<bool>>,
    /// How far the node has shut down.
    pub stage: watch::Receiver<ShutdownStage>,
    /// To the driver. Without a bound of its own: connections are bounded, and each has one request or attempt in it.
    pub events: UnboundedSender<DriverEvent>,
}

/// What the driver begins with.
pub struct DriverStart {
    /// The settings of the decision module.
    pub settings: Settings,
    /// Seed of the draws of the decision module and of the discovery client.
    pub seed: u64,
    /// The endpoints as the node knew them last.
    pub known_endpoints: EndpointList,
    /// Where discovery answers.
    pub discovery_address: watch::Receiver<SocketAddr>,
    /// Set once the node is ready.
    pub ready: Rc<Cell<bool>>,
    /// Where attempts report their ends.
    pub events: UnboundedSender<DriverEvent>,
    /// Its other end, which the driver reads.
    pub received_events: UnboundedReceiver<DriverEvent>,
}

/// The parts of a node that its tasks share.
pub struct Node {
    /// Told of all that happens.
    pub telemetry: Rc<Telemetry>,
    budget: ConnectionBudget,
    connections: Rc<ConnectionManager>,
    upstream: Rc<Upstream>,
    server: Rc<ServerContext>,
}

impl Node {
    /// The parts, without tasks and endpoints.
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
        let upstream = Rc::new(Upstream::new(
            budget.shared.clone(),
            connections.clone(),
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
        ));
        Self {
            telemetry,
            budget,
            connections,
            upstream,
            server,
        }
    }

    /// Spawns what closes connections that have been idle for too long, and reports their counts.
    pub fn spawn_maintenance(&self) {
        spawn_local(self.upstream.clone().sweep());
        spawn_local(self.connections.clone().sweep());
        spawn_local(report_connections(
            self.connections.clone(),
            self.telemetry.clone(),
        ));
    }

    /// Spawns the driver, and returns the discovery client that feeds it.
    ///
    /// The client is to be polled as part of the main future: a task takes its turn behind those of all requests, while
    /// a `LocalSet` polls the main future again after 61 of them at most.
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

    /// A client that starts from the list that the node holds, where it polls for lists: a complete one is costly there.
    ///
    /// Where lists are pushed, a node counts as notified of what its agent knows from the first moment of its process:
    /// the client asks for the complete list at once, and the node is not ready before it has come.
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
            drain_grace: settings.drain_grace,
            max_poll_interval: settings.max_poll_interval,
            random: fastrand::Rng::with_seed(start.seed),
            events,
            log: self.telemetry.log.clone(),
        }
    }

    /// Spawns the server of the multi-get port. It ends once the node closes and its last connection has ended.
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
                self.budget.side_port_limits(),
            ),
            upstream: self.upstream.clone(),
        };
        let multiget = MultiGet::new(self.server.clone(), settings, descriptors);
        Ok(spawn_local(multiget.serve(listener)))
    }

    /// Spawns the server of the clients' port. It ends once the node closes and its last connection has ended.
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

/// Marks endpoints that are not ready any more in the connection pools at once, and forwards what discovery sent to the
/// driver, which may be busy with other events.
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

/// Reports the counts of clients' connections to telemetry, for as long as the node runs.
async fn report_connections(connections: Rc<ConnectionManager>, telemetry: Rc<Telemetry>) {
    let mut ticks = interval(CONNECTION_REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        telemetry.connections_sampled(&connections.stats());
    }
}
