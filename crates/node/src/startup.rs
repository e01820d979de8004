//! Builds a node from its configuration and runs it until a signal ends it.

use crate::budget::{ConnectionBudget, ResourceLimits};
use crate::error::NodeError;
use crate::node::{DriverStart, Node, ServerState};
use crate::reload::Reloader;
use crate::shutdown::{exit_code, shut_down_gracefully, wait_for_termination, ShutdownStage};
use slatelink_config::operators;
use slatelink_config::platform::{Config, ReloadBaseline};
use slatelink_policy::Name;
use slatelink_telemetry::audit::StopSignal;
use slatelink_telemetry::{LogFormat, Telemetry};
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Runs a node until a signal ends it. Must run on a current-thread runtime, within a `LocalSet`.
///
/// The modules `shutdown` and `reload` describe the effects of signals.
pub async fn run(
    config: Config,
    features: operators::Settings,
    log_format: LogFormat,
) -> Result<ExitCode, NodeError> {
    // Handlers come first: a signal without a handler ends the process.
    let signals = Signals::catch()?;
    let listeners = Listeners::bind(config.listen, features.multiget_port()).await?;
    let classes = class_names(&config);
    let limits = ResourceLimits {
        descriptors: config.descriptor_limit,
        memory_bytes: config.memory_bytes,
    };
    let budget = ConnectionBudget::new(&features, &classes, limits)?;
    let telemetry = Telemetry::start(&features, &classes, log_format)?;
    let termination_signals = telemetry.termination_signals()?;
    announce(&config, &listeners.clients, &telemetry)?;
    let baseline = ReloadBaseline::new(&config)?;
    drop(config.contents);

    let (stage_sender, stage) = watch::channel(ShutdownStage::Serving);
    let (events, received_events) = unbounded_channel();
    let ready = Rc::default();
    let server = ServerState {
        ready: Rc::clone(&ready),
        stage,
        events: events.clone(),
    };
    let node = Rc::new(Node::new(&config.settings, budget, telemetry, server));
    node.spawn_maintenance();
    let (discovery_sender, discovery_address) = watch::channel(config.discovery);
    let reloader = Reloader {
        node: node.clone(),
        discovery: discovery_sender,
        baseline,
    };
    spawn_local(reloader.run(signals.hangup));
    let discovery_client = node.spawn_driver(DriverStart {
        settings: config.settings,
        seed: config.seed,
        known_endpoints: config.known_endpoints,
        discovery_address,
        ready,
        events,
        received_events,
    });
    let mut ports = Vec::new();
    if let Some(listener) = listeners.multiget {
        ports.push(node.serve_multiget(listener, features.multiget.unwrap_or_default())?);
    }
    ports.push(node.serve_clients(listeners.clients));

    let log = &node.telemetry.log;
    let graceful_shutdown =
        shut_down_gracefully(signals.terminate, &config.name, &stage_sender, ports, log);
    let stopped_by = tokio::select! {
        biased;
        never = discovery_client => match never {},
        ended = graceful_shutdown => ended.map(|()| StopSignal::TERMINATE)?,
        signal = wait_for_termination(termination_signals) => signal,
    };
    node.telemetry.shut_down(stopped_by).await;
    Ok(exit_code(stopped_by))
}

/// Signals that a node handles with or without an audit trail.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn catch() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Listeners of the node's ports.
struct Listeners {
    clients: TcpListener,
    /// `None` if the feature is off.
    multiget: Option<TcpListener>,
}

impl Listeners {
    /// Opens the client port, and the multi-get port at the same IP address.
    async fn bind(address: SocketAddr, multiget_port: Option<u16>) -> Result<Self, NodeError> {
        let clients = TcpListener::bind(address)
            .await
            .map_err(|error| NodeError::Listen { address, error })?;
        let multiget = match multiget_port {
            Some(port) => Some(bind_multiget(SocketAddr::new(address.ip(), port)).await?),
            None => None,
        };
        Ok(Self { clients, multiget })
    }
}

async fn bind_multiget(address: SocketAddr) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| NodeError::ListenMultiGet { address, error })
}

/// Returns the names of the request classes, indexed by `ClassId`.
fn class_names(config: &Config) -> Vec<Name> {
    let classes = &config.settings.classes;
    let names = classes.iter().map(|class| class.name.clone());
    names.collect()
}

/// Logs the listening address, and records the node's start and configuration.
fn announce(config: &Config, listener: &TcpListener, telemetry: &Telemetry) -> io::Result<()> {
    let address = listener.local_addr()?;
    let name = &config.name;
    telemetry
        .log
        .line(&format!("node {name} listens on {address}"));
    telemetry.node_started(name);
    telemetry.config_loaded(&config.path, &config.contents);
    Ok(())
}
