//! A node on sockets: it carries out what the decision module says and reports what happens.
//!
//! Owns the sockets, tasks and signals of one node. It picks no server, repeats nothing and refuses nothing by itself:
//! events go to the decision module, and what the module answers is carried out in order. Whoever watches is told
//! through an `Observer`.

mod discovery;
mod driver;
mod multiget;
mod server;
mod table;
mod upstream;

use discovery::Discovery;
use driver::Driver;
use multiget::MultiGet;
use server::{connection, serve, Front, Room, Stage};
use slatelink_config::operators;
use slatelink_config::platform::{self, Config};
use slatelink_decide::Balancer;
use slatelink_observe::audit::Stop;
use slatelink_observe::{Format, Observers};
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep;
use upstream::Upstream;

/// New connections keep coming for 0.4 s after SIGTERM: until the front has noticed, the node serves them.
const LEAVING: Duration = Duration::from_millis(500);
/// Descriptors left for the runtime, the listener, discovery and the standard streams.
const SPARE_SOCKETS: usize = 24;

/// Runs a node until it is told to stop; on a current-thread runtime, within a `LocalSet`.
pub async fn run(
    config: Config,
    wanted: operators::Settings,
    format: Format,
) -> Result<ExitCode, Box<dyn Error>> {
    // Before anything else: a signal without a handler ends the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let Config { name, listen, discovery, seed, sockets, known, settings, path, text } = config;
    let listener =
        TcpListener::bind(listen).await.map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let side = match wanted.side_port() {
        Some(port) => {
            let beside = SocketAddr::new(listen.ip(), port);
            let bound = TcpListener::bind(beside).await;
            Some(bound.map_err(|error| format!("multiget: cannot listen on {beside}: {error}"))?)
        }
        None => None,
    };
    // A request holds a connection of its client for as long as one to a cache server.
    let most = sockets.saturating_sub(
        SPARE_SOCKETS + Observers::descriptors(&wanted) + side.as_ref().map_or(0, |_| MultiGet::DESCRIPTORS),
    ) / 2;
    if most == 0 {
        return Err(format!("a limit of {sockets} sockets leaves no room beside the features").into());
    }
    let classes: Vec<_> = settings.classes.iter().map(|class| class.name.clone()).collect();
    let observers = Observers::start(&wanted, &classes, format)?;
    let log = observers.log.clone();
    let stops = observers.stops()?;
    log.line(&format!("node {name} listens on {}", listener.local_addr()?));
    observers.started(&name);
    observers.loaded(&path, &text);
    drop(text);

    // Unbounded, and bounded all the same by the connections: each has one request, or one attempt, in it.
    let (events, inputs) = mpsc::unbounded_channel();
    let (stages, stage) = watch::channel(Stage::Serving);
    let (follow, ready) = (Rc::new(Notify::new()), Rc::default());
    let upstream = Rc::new(Upstream::new(most, settings.connect_timeout, settings.keepalive));
    let room = Room::new(most, sockets);
    let front = Rc::new(Front::new(&settings, Rc::clone(&ready), stage, events.clone(), log.clone(), room));
    let seq = (!known.hosts.is_empty()).then_some(known.seq);
    let random = fastrand::Rng::with_seed(seed);
    let (addresses, address) = watch::channel(discovery);
    let watching = Discovery { address, seq, random, events: events.clone(), log: log.clone() };

    spawn_local(upstream.clone().sweep());
    spawn_local(front.room.table.clone().sweep());
    spawn_local(watching.run(follow.clone()));
    spawn_local(reload(hangup, addresses, observers.clone()));
    let balancer = Balancer::new(settings, seed);
    spawn_local(Driver::new(balancer, upstream, follow, ready, events, observers.clone()).run(known, inputs));
    let beside = match side {
        Some(listener) => {
            log.line(&format!("multi-get listens on {}", listener.local_addr()?));
            let multiget = MultiGet::new(front.clone(), wanted.multiget.unwrap_or_default());
            Some(spawn_local(multiget.serve(listener)))
        }
        None => None,
    };
    let (room, stage) = (front.room.clone(), front.stage.clone());
    let connection = move |stream, place| connection(stream, place, front.clone());
    let serving = spawn_local(serve(listener, room, stage, log.clone(), connection));

    let drained = async {
        terminate.recv().await;
        log.line(&format!("node {name} is told to stop"));
        stages.send_replace(Stage::Leaving);
        sleep(LEAVING).await;
        stages.send_replace(Stage::Closing);
        if let Some(beside) = beside {
            beside.await?;
        }
        serving.await
    };
    // Signals that would end the node at once still do, whatever it is at.
    let at_once = async {
        match stops {
            Some(mut stops) => stops.recv().await.unwrap_or(Stop::TERMINATE),
            None => std::future::pending().await,
        }
    };
    let by = tokio::select! {
        drained = drained => drained.map(|()| Stop::TERMINATE)?,
        stop = at_once => stop,
    };
    observers.stop(by).await;
    // As a shell tells of a process that a signal has ended.
    Ok(if by == Stop::TERMINATE { ExitCode::SUCCESS } else { ExitCode::from(128 + by.number) })
}

/// Takes the configuration's `discovery` anew at each SIGHUP; the rest of it holds from the start. A file that
/// cannot be used is one line in the log, and what the node had goes on.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>, observers: Rc<Observers>) {
    let log = &observers.log;
    while hangup.recv().await.is_some() {
        match platform::load(|name| std::env::var(name).ok().filter(|_| name != platform::DISCOVERY)) {
            Ok(new) => {
                log.line(&format!("configuration read again: discovery at {}", new.discovery));
                observers.loaded(&new.path, &new.text);
                // One that stays is not asked again: its watch is as good as it was.
                discovery.send_if_modified(|held| std::mem::replace(held, new.discovery) != new.discovery);
            }
            Err(error) => log.line(&format!("configuration not taken: {error}")),
        }
    }
}
