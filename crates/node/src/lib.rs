//! A node on sockets: it carries out what the decision module says and reports what happens.
//!
//! Owns the sockets, tasks and signals of one node. It picks no server, repeats nothing and refuses nothing by itself:
//! events go to the decision module, and what the module answers is carried out in order. Whoever watches is told
//! through an `Observer`.

mod connections;
pub mod control;
mod discovery;
mod driver;
mod list_client;
mod multiget;
mod policy_runner;
pub mod relay;
mod server;
mod timer_queue;
mod upstream;

use connections::{ConnectionManager, MAX_READ_AHEAD_BYTES};
use discovery::DiscoveryOptions;
use driver::{Driver, DriverEvent, DriverOptions};
use multiget::MultiGet;
use server::{
    serve, ClientConnection, DescriptorSource, ServerContext, ShutdownStage, MAX_HEAD_BYTES,
};
use slatelink_admission::{Budget, ConnectionKind, ConnectionLimits, Quota};
use slatelink_config::operators;
use slatelink_config::platform::{self, Config, ConfigError};
use slatelink_policy::{Balancer, Name};
use slatelink_telemetry::audit::StopSignal;
use slatelink_telemetry::{LogFormat, Observer, Telemetry};
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep};
use upstream::{is_local_resource_error, Upstream};

/// New connections keep coming for 0.4 s after SIGTERM: until the front has noticed, the node serves them.
const LEAVING: Duration = Duration::from_millis(500);
/// Descriptors left for the runtime, the listener, discovery and the standard streams.
const SPARE_SOCKETS: usize = 24;

/// Bytes of a connection in use: hyper's read buffer, parser and task as measured, a head of the longest, and what is read
/// ahead of it.
const ACTIVE_CONNECTION_BYTES: usize = (16 << 10) + MAX_HEAD_BYTES + MAX_READ_AHEAD_BYTES;
/// Of one that holds nothing but its socket.
const PARKED_CONNECTION_BYTES: usize = 1 << 10;
/// Of one to a cache server: a read buffer and what is around it.
const SERVERS: usize = 10 << 10;
/// Of the program itself, without connections.
const PROGRAM: u64 = 6 << 20;
/// Of the clients' places, this part is kept free for those that have no connection yet.
const FREE_PART: usize = 5;
/// A configuration that could not be read for want of the node's own descriptors or memory is read again after this.
const RELOAD_AGAIN: Duration = Duration::from_millis(100);
/// The table is told of so often.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a node until it is told to stop; on a current-thread runtime, within a `LocalSet`.
pub async fn run(
    config: Config,
    wanted: operators::Settings,
    format: LogFormat,
) -> Result<ExitCode, Box<dyn Error>> {
    // Before anything else: a signal without a handler ends the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let Config {
        name,
        listen,
        discovery,
        seed,
        descriptor_limit: sockets,
        memory_bytes: memory,
        known_endpoints: known,
        settings,
        path,
        contents: text,
    } = config;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let side = match wanted.multiget_port() {
        Some(port) => {
            let beside = SocketAddr::new(listen.ip(), port);
            let bound = TcpListener::bind(beside).await;
            Some(bound.map_err(|error| format!("multiget: cannot listen on {beside}: {error}"))?)
        }
        None => None,
    };
    let classes: Vec<_> = settings
        .classes
        .iter()
        .map(|class| class.name.clone())
        .collect();
    let beside = side.as_ref().map_or(0, |_| MultiGet::DESCRIPTORS);
    let places =
        sockets.saturating_sub(SPARE_SOCKETS + Telemetry::descriptor_count(&wanted) + beside);
    let budget = shares(&wanted, places, sockets, memory)?;
    let connection_limits = connection_limits(&wanted.admission, &classes, &budget, sockets)?;
    let telemetry = Telemetry::start(&wanted, &classes, format)?;
    let log = telemetry.log.clone();
    let stops = telemetry.termination_signals()?;
    log.line(&format!(
        "node {name} listens on {}",
        listener.local_addr()?
    ));
    telemetry.node_started(&name);
    telemetry.config_loaded(&path, &text);
    drop(text);

    // Unbounded, and bounded all the same by the connections: each has one request, or one attempt, in it.
    let (events, inputs) = mpsc::unbounded_channel();
    let (heard, lists) = mpsc::unbounded_channel();
    let (stages, stage) = watch::channel(ShutdownStage::Serving);
    let (poll_requested, ready) = (Rc::new(Notify::new()), Rc::default());
    let table = ConnectionManager::new(
        budget.clone(),
        ConnectionKind::Client,
        connection_limits.clone(),
    );
    let (connect, keepalive) = (settings.connect_timeout, settings.keepalive);
    let upstream = Rc::new(Upstream::new(
        budget.clone(),
        table.clone(),
        connect,
        keepalive,
    ));
    let room = DescriptorSource {
        connections: table.clone(),
        upstream: upstream.clone(),
    };
    let front = Rc::new(ServerContext::new(
        &settings,
        Rc::clone(&ready),
        stage,
        events.clone(),
        log.clone(),
        room,
    ));
    // Where lists are pushed, what the agent has counts as told from a process's first moment: it is asked for at
    // once, and the node is ready when it has that. Elsewhere a whole list has a price, and the node holds its own.
    let pushed = !settings.polls_discovery;
    let version = (!known.endpoints.is_empty() && !pushed).then_some(known.version);
    let random = fastrand::Rng::with_seed(seed);
    let (addresses, address) = watch::channel(discovery);
    let discovery = DiscoveryOptions {
        address,
        version,
        pushed,
        drain_grace: settings.drain_grace,
        max_poll_interval: settings.max_poll_interval,
        random,
        events: heard,
        log: log.clone(),
    };

    spawn_local(upstream.clone().sweep());
    spawn_local(table.clone().sweep());
    spawn_local(report_connections(table, telemetry.clone()));
    spawn_local(reload(hangup, addresses, telemetry.clone()));
    let balancer = Balancer::new(settings, seed);
    let (told, to_driver) = mpsc::unbounded_channel();
    let heeding = heed_departures(lists, told, upstream.clone());
    let following = discovery::run(discovery, poll_requested.clone());
    let driver = Driver::new(DriverOptions {
        balancer,
        upstream: upstream.clone(),
        poll_requested,
        ready,
        awaits_first_list: pushed,
        events,
        observer: telemetry.clone(),
    });
    spawn_local(driver.run(known, to_driver, inputs));
    let beside = match side {
        Some(listener) => {
            log.line(&format!("multi-get listens on {}", listener.local_addr()?));
            // One address may well be all that asks there, and a call is no request of a class.
            let connection_limits = ConnectionLimits {
                keep_alive_limit: usize::MAX,
                per_address: None,
                per_class: Vec::new(),
                ..connection_limits
            };
            let room = DescriptorSource {
                connections: ConnectionManager::new(
                    budget,
                    ConnectionKind::SidePort,
                    connection_limits,
                ),
                upstream,
            };
            let multiget = MultiGet::new(front.clone(), wanted.multiget.unwrap_or_default(), room);
            Some(spawn_local(multiget.serve(listener)))
        }
        None => None,
    };
    let (room, stage) = (front.descriptors.clone(), front.stage.clone());
    let connection = move |place| ClientConnection::new(place, front.clone());
    let serving = spawn_local(serve(listener, room, stage, log.clone(), connection));

    let drained = async {
        terminate.recv().await;
        log.line(&format!("node {name} is told to stop"));
        stages.send_replace(ShutdownStage::Draining);
        sleep(LEAVING).await;
        stages.send_replace(ShutdownStage::Closing);
        if let Some(beside) = beside {
            beside.await?;
        }
        serving.await
    };
    // Signals that would end the node at once still do, whatever it is at.
    let at_once = async {
        match stops {
            Some(mut stops) => stops.recv().await.unwrap_or(StopSignal::TERMINATE),
            None => std::future::pending().await,
        }
    };
    // Not as tasks, which take turns with those of all requests: this future is polled between any 61 of them.
    let membership = async {
        tokio::join!(following, heeding);
        std::future::pending().await
    };
    let by = tokio::select! {
        biased;
        never = membership => never,
        drained = drained => drained.map(|()| StopSignal::TERMINATE)?,
        stop = at_once => stop,
    };
    telemetry.shut_down(by).await;
    // As a shell tells of a process that a signal has ended.
    Ok(if by == StopSignal::TERMINATE {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(128 + by.number)
    })
}

/// Has the connections heed what a list tells of servers that leave at once, and hands the list on to the driver, whose
/// turn may come later.
async fn heed_departures(
    mut lists: mpsc::UnboundedReceiver<DriverEvent>,
    told: mpsc::UnboundedSender<DriverEvent>,
    upstream: Rc<Upstream>,
) {
    while let Some(input) = lists.recv().await {
        if let DriverEvent::EndpointListReceived(list) = &input {
            upstream.mark_unready(list);
        }
        if told.send(input).is_err() {
            return;
        }
    }
}

/// One budget for all connections, with a floor for each side.
fn shares(
    wanted: &operators::Settings,
    places: usize,
    sockets: usize,
    memory: Option<u64>,
) -> Result<Budget, String> {
    let beside = wanted.multiget_port().map_or(0, |_| MultiGet::CONNECTIONS);
    // Of three quarters: the rest is for how memory is cut up. A third of it is the servers' connections'.
    let bytes = memory.map_or(usize::MAX, |memory| {
        usize::try_from((memory / 4 * 3).saturating_sub(PROGRAM))
            .unwrap_or(usize::MAX)
            .max(ACTIVE_CONNECTION_BYTES * 32)
    });
    let most = places.min(bytes / 3 / SERVERS);
    let servers = Quota {
        reserved: wanted.admission.upstream_reservation(places).min(most),
        limit: most,
    };
    let left = places.saturating_sub(servers.reserved + beside);
    let clients = Quota {
        reserved: (sockets / 3).min(places / 2).min(left),
        limit: places,
    };
    let beside = Quota {
        reserved: beside,
        limit: beside,
    };
    let budget = Budget::new(places, [clients, servers, beside], bytes / 3 * 2);
    let usable = |budget: &Budget| {
        budget.max_descriptors(ConnectionKind::Client) > 0
            && budget.max_descriptors(ConnectionKind::Upstream) > 0
    };
    budget.filter(usable).ok_or_else(|| {
        let (servers, beside) = (servers.reserved, beside.reserved);
        format!(
            "a limit of {sockets} sockets leaves {places} beside the features: not enough for {servers} to servers \
             (front.servers_floor), {beside} of the side port, and clients"
        )
    })
}

/// The limits of the table of clients' connections.
fn connection_limits(
    wanted: &operators::AdmissionSettings,
    classes: &[Name],
    budget: &Budget,
    sockets: usize,
) -> Result<ConnectionLimits, String> {
    if let Some(name) = wanted
        .percent_per_class
        .keys()
        .find(|name| !classes.iter().any(|class| class.as_str() == *name))
    {
        let known: Vec<_> = classes.iter().map(Name::as_str).collect();
        return Err(format!(
            "front.per_class names {name:?}: the classes are {}",
            known.join(", ")
        ));
    }
    let usable = budget
        .max_descriptors(ConnectionKind::Client)
        .min(wanted.client_limit(sockets));
    let share = |class: &Name| {
        wanted
            .percent_per_class
            .get(class.as_str())
            .map(|part| (usable * part.get() / 100).max(1))
    };
    Ok(ConnectionLimits {
        keep_alive_limit: (usable - usable / FREE_PART).max(1),
        idle_timeout: wanted.idle_timeout(),
        per_address: wanted.connections_per_address(),
        per_class: classes.iter().map(share).collect(),
        active_bytes: ACTIVE_CONNECTION_BYTES,
        parked_bytes: PARKED_CONNECTION_BYTES,
    })
}

/// Reports the counts of the table to the telemetry, for as long as the node runs.
async fn report_connections(table: Rc<ConnectionManager>, telemetry: Rc<Telemetry>) {
    let mut turns = interval(REPORT_INTERVAL);
    loop {
        turns.tick().await;
        telemetry.connections_sampled(&table.stats());
    }
}

/// Takes the configuration's `discovery` anew at each SIGHUP; the rest of it holds from the start. A file that
/// cannot be used is one line in the log, and what the node had goes on.
async fn reload(
    mut hangup: Signal,
    discovery: watch::Sender<SocketAddr>,
    telemetry: Rc<Telemetry>,
) {
    let log = &telemetry.log;
    while hangup.recv().await.is_some() {
        loop {
            let variable = |name: &str| {
                std::env::var(name)
                    .ok()
                    .filter(|_| name != platform::DISCOVERY_VARIABLE)
            };
            match platform::load(variable) {
                Ok(new) => {
                    log.line(&format!(
                        "configuration read again: discovery at {}",
                        new.discovery
                    ));
                    telemetry.config_loaded(&new.path, &new.contents);
                    // One that stays is not asked again: its watch is as good as it was.
                    discovery.send_if_modified(|held| {
                        std::mem::replace(held, new.discovery) != new.discovery
                    });
                    break;
                }
                Err(error) => {
                    log.rate_limited("reload", &format!("configuration not taken: {error}"));
                    // The platform says it once, and the old discovery ends soon.
                    if !matches!(&error, ConfigError::Unreadable { error: why, .. } if is_local_resource_error(why))
                    {
                        break;
                    }
                    sleep(RELOAD_AGAIN).await;
                }
            }
        }
    }
}
