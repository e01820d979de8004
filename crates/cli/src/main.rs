//! The `slatelink` command: arguments, exit codes and printing.

mod audit;
mod exit;
mod lab;
mod log_format;
mod multi_get;
mod node_arguments;
mod relay;
mod runtime;
mod signals;
mod up;

use crate::exit::CommandResult;
use crate::log_format::LogFormat;
use crate::runtime::single_threaded_runtime;
use clap::{Parser, Subcommand};
use slatelink_config::{operators, platform};
use std::path::PathBuf;
use std::process::ExitCode;
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

/// Without one, the node runs.
#[derive(Subcommand)]
enum Command {
    /// Look at an audit trail
    #[command(subcommand)]
    Audit(audit::Command),
    /// Start a whole fleet on this machine with light traffic: nodes, cache servers, database, clients
    Up(up::Up),
    /// Play scenarios with faults against real nodes and check the rules
    #[command(subcommand)]
    Lab(lab::Command),
    /// Ask a node's side port for many keys and print a line for each
    MultiGet(multi_get::Command),
    /// Stand between discovery and nodes: pass the server list on, as discovery would
    Relay(relay::Command),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let ended = match cli.command {
        None => run_node(cli.features, cli.log_format),
        Some(Command::Audit(audit)) => audit.run(),
        Some(Command::Up(up)) => up.run(),
        Some(Command::Lab(lab)) => lab.run(),
        Some(Command::Relay(relay)) => relay.run(),
        Some(Command::MultiGet(command)) => command.run(),
    };
    match ended {
        Ok(code) => code,
        Err(error) => {
            eprintln!("slatelink: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the node itself.
fn run_node(features: Option<PathBuf>, format: LogFormat) -> CommandResult {
    let features = features
        .map(operators::load)
        .transpose()?
        .unwrap_or_default();
    let config = platform::load(|name| std::env::var(name).ok())?;
    // A node has one core: one thread, and no locks between its parts.
    let node = slatelink_node::run(config, features, format.into());
    Ok(LocalSet::new().block_on(&single_threaded_runtime()?, node)?)
}
