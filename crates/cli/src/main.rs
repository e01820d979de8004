//! The `slatelink` command: arguments, exit codes and printing.

mod exit;
mod lab;
mod multiget;
mod node_arguments;
mod relay;
mod scale;
mod up;

use crate::exit::{success_if, CommandResult, UNUSABLE};
use clap::{Parser, Subcommand, ValueEnum};
use slatelink_config::{operators, platform};
use slatelink_telemetry::audit::{self, Verification};
use std::error::Error;
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use tokio::runtime::{self, Runtime};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::LocalSet;

/// A load-balancer node for a fleet of cache servers; LB_CONFIG and the other LB_ variables tell it its place.
#[derive(Parser)]
#[command(name = "slatelink", version, args_conflicts_with_subcommands = true)]
struct Cli {
    /// Settings of the operators' features, in TOML; without it all of them are off
    #[arg(long, value_name = "FILE")]
    features: Option<PathBuf>,
    /// How the node's log is written to standard error
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Lines of words
    Text,
    /// A JSON object a line
    Json,
}

impl From<LogFormat> for slatelink_telemetry::LogFormat {
    fn from(format: LogFormat) -> Self {
        match format {
            LogFormat::Text => Self::Text,
            LogFormat::Json => Self::Json,
        }
    }
}

/// Without one, the node runs.
#[derive(Subcommand)]
enum Command {
    /// Look at an audit trail
    #[command(subcommand)]
    Audit(AuditCommand),
    /// Start a whole fleet on this machine with light traffic: nodes, cache servers, database, clients
    Up(up::Up),
    /// Play scenarios with faults against real nodes and check the rules
    #[command(subcommand)]
    Lab(lab::Command),
    /// Ask a node's side port for many keys and print a line for each
    MultiGet(multiget::Command),
    /// Stand between discovery and nodes: pass the server list on, as discovery would
    Relay(relay::Command),
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
        None => start(cli.features, cli.log_format),
        Some(Command::Audit(AuditCommand::Verify { file })) => verify(file),
        Some(Command::Up(up)) => up.run(),
        Some(Command::Lab(lab)) => lab.run(),
        Some(Command::Relay(relay)) => relay.run(),
        Some(Command::MultiGet(command)) => {
            one_thread().and_then(|one| one.block_on(command.run()))
        }
    };
    match ended {
        Ok(code) => code,
        Err(error) => {
            eprintln!("slatelink: {error}");
            ExitCode::FAILURE
        }
    }
}

fn verify(path: PathBuf) -> CommandResult {
    let verification = File::open(&path).and_then(|file| audit::verify(BufReader::new(file)));
    match verification {
        Ok(verification) => {
            writeln!(io::stdout(), "{verification}")?;
            Ok(success_if(matches!(
                verification,
                Verification::Intact { .. }
            )))
        }
        // Not what a broken trail ends with.
        Err(error) => {
            eprintln!("slatelink: cannot read {}: {error}", path.display());
            Ok(ExitCode::from(UNUSABLE))
        }
    }
}

fn start(features: Option<PathBuf>, format: LogFormat) -> CommandResult {
    let features = features
        .map(operators::load)
        .transpose()?
        .unwrap_or_default();
    let config = platform::load(|name| std::env::var(name).ok())?;
    // A node has one core: one thread, and no locks between its parts.
    let node = slatelink_node::run(config, features, format.into());
    Ok(LocalSet::new().block_on(&one_thread()?, node)?)
}

/// A flag that Ctrl-C or SIGTERM raises: what runs then ends in order, and leaves nothing behind.
fn stop_at_interrupt() -> io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    let (one, raised) = (
        runtime::Builder::new_current_thread()
            .enable_all()
            .build()?,
        stop.clone(),
    );
    let (mut interrupt, mut terminate) = {
        let _within = one.enter();
        (
            signal(SignalKind::interrupt())?,
            signal(SignalKind::terminate())?,
        )
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            one.block_on(async {
                tokio::select! {
                    _ = interrupt.recv() => {}
                    _ = terminate.recv() => {}
                }
            });
            raised.store(true, Ordering::Relaxed);
        })?;
    Ok(stop)
}

fn one_thread() -> Result<Runtime, Box<dyn Error>> {
    Ok(runtime::Builder::new_current_thread()
        .enable_all()
        .build()?)
}
