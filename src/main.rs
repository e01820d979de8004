//! One real node: the decision module on sockets. Start-up, wiring, SIGHUP, SIGTERM and the exit code.
#![forbid(unsafe_code)]

mod features;

mod net {
    pub mod config;
    pub mod discovery;
    pub mod driver;
    pub mod server;
    pub mod table;
    pub mod upstream;
}

use clap::{Parser, Subcommand};
use features::audit::{self, Stop, Verdict};
use features::multiget::{self, MultiGet};
use features::settings::{self, Settings as FeatureSettings};
use features::Features;
use net::config::{self, Config};
use net::discovery::Discovery;
use net::driver::Driver;
use net::server::{connection, serve, Front, Room, Stage};
use net::upstream::Upstream;
use pinhead::Balancer;
use std::error::Error;
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{self, Runtime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// New connections keep coming for 0.4 s after SIGTERM: until the front has noticed, the node serves them.
const LEAVING: Duration = Duration::from_millis(500);
/// Descriptors left for the runtime, the listener, discovery and the standard streams.
const SPARE_SOCKETS: usize = 24;

/// A load-balancer node for a fleet of cache servers; LB_CONFIG and the other LB_ variables tell it its place.
#[derive(Parser)]
#[command(name = "slatelink", version, args_conflicts_with_subcommands = true)]
struct Cli {
    /// Settings of the operators' features, in TOML; without it all of them are off
    #[arg(long, value_name = "FILE")]
    features: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

/// Without one, the node runs.
#[derive(Subcommand)]
enum Command {
    /// Look at an audit trail
    #[command(subcommand)]
    Audit(AuditCommand),
    /// Ask a node's side port for many keys and print a line for each
    MultiGet(multiget::Command),
}

#[derive(Subcommand)]
enum AuditCommand {
    /// Print `ok <count>`, or the first line that is broken or torn, and then exit 1
    Verify {
        /// The trail
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let ended = match cli.command {
        None => start(cli.features),
        Some(Command::Audit(AuditCommand::Verify { file })) => verify(file),
        Some(Command::MultiGet(command)) => one_thread().and_then(|one| one.block_on(command.run())),
    };
    match ended {
        Ok(code) => code,
        Err(error) => {
            eprintln!("slatelink: {error}");
            ExitCode::FAILURE
        }
    }
}

fn verify(path: PathBuf) -> Result<ExitCode, Box<dyn Error>> {
    let verdict = File::open(&path).and_then(|file| audit::verify(BufReader::new(file)));
    match verdict {
        Ok(verdict) => {
            writeln!(io::stdout(), "{verdict}")?;
            Ok(if matches!(verdict, Verdict::Ok(_)) { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        // Not what a broken trail ends with.
        Err(error) => {
            eprintln!("slatelink: cannot read {}: {error}", path.display());
            Ok(ExitCode::from(2))
        }
    }
}

fn start(features: Option<PathBuf>) -> Result<ExitCode, Box<dyn Error>> {
    let features = features.map(settings::load).transpose()?.unwrap_or_default();
    let config = config::load(|name| std::env::var(name).ok())?;
    // A node has one core: one thread, and no locks between its parts.
    LocalSet::new().block_on(&one_thread()?, run(config, features))
}

fn one_thread() -> Result<Runtime, Box<dyn Error>> {
    Ok(runtime::Builder::new_current_thread().enable_all().build()?)
}

async fn run(config: Config, wanted: FeatureSettings) -> Result<ExitCode, Box<dyn Error>> {
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
    let most = sockets.saturating_sub(SPARE_SOCKETS + wanted.descriptors()) / 2;
    if most == 0 {
        return Err(format!("a limit of {sockets} sockets leaves no room beside the features").into());
    }
    let classes: Vec<_> = settings.classes.iter().map(|class| class.name.clone()).collect();
    let features = Features::start(&wanted, &classes)?;
    let log = features.log.clone();
    let stops = features.stops()?;
    log.line(&format!("node {name} listens on {}", listener.local_addr()?));
    features.started(&name);
    features.loaded(&path, &text);
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
    spawn_local(reload(hangup, addresses, features.clone()));
    let balancer = Balancer::new(settings, seed);
    spawn_local(Driver::new(balancer, upstream, follow, ready, events, features.clone()).run(known, inputs));
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
    features.stop(by).await;
    // As a shell tells of a process that a signal has ended.
    Ok(if by == Stop::TERMINATE { ExitCode::SUCCESS } else { ExitCode::from(128 + by.number) })
}

/// Takes the configuration's `discovery` anew at each SIGHUP; the rest of it holds from the start. A file that
/// cannot be used is one line in the log, and what the node had goes on.
async fn reload(mut hangup: Signal, discovery: watch::Sender<SocketAddr>, features: Rc<Features>) {
    let log = &features.log;
    while hangup.recv().await.is_some() {
        match config::load(|name| std::env::var(name).ok().filter(|_| name != config::DISCOVERY)) {
            Ok(new) => {
                log.line(&format!("configuration read again: discovery at {}", new.discovery));
                features.loaded(&new.path, &new.text);
                // One that stays is not asked again: its watch is as good as it was.
                discovery.send_if_modified(|held| std::mem::replace(held, new.discovery) != new.discovery);
            }
            Err(error) => log.line(&format!("configuration not taken: {error}")),
        }
    }
}
