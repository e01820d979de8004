//! The `slatelink` command: arguments, exit codes and output.

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

/// A load-balancer node for a fleet of cache servers, configured by LB_CONFIG and the other LB_
/// variables
#[derive(Parser)]
#[command(name = "slatelink", version, args_conflicts_with_subcommands = true)]
struct Cli {
    /// Settings of the operators' features, in TOML; without a file all features are off
    #[arg(long, value_name = "FILE")]
    features: Option<PathBuf>,
    /// Format of the node's log on standard error
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Option<Command>,
}

/// Subcommands; without a subcommand, the node runs.
#[derive(Subcommand)]
enum Command {
    /// Verify an audit trail
    #[command(subcommand)]
    Audit(audit::Command),
    /// Run a fleet with light traffic on this machine: nodes, cache servers, database, clients
    Up(up::Up),
    /// Run scenarios with faults against real nodes and check the rules
    #[command(subcommand)]
    Lab(lab::Command),
    /// Request many keys from a node's multi-get port and print one line per key
    MultiGet(multi_get::Command),
    /// Run a relay, which forwards the endpoint list from discovery to nodes
    Relay(relay::Command),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command {
        None => run_node(cli.features, cli.log_format),
        Some(Command::Audit(audit)) => audit.run(),
        Some(Command::Up(up)) => up.run(),
        Some(Command::Lab(lab)) => lab.run(),
        Some(Command::Relay(relay)) => relay.run(),
        Some(Command::MultiGet(command)) => command.run(),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("slatelink: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a node.
fn run_node(features: Option<PathBuf>, format: LogFormat) -> CommandResult {
    let features = features
        .map(operators::load)
        .transpose()?
        .unwrap_or_default();
    let config = platform::load(|name| std::env::var(name).ok())?;
    // A node has one core, so it runs on a single thread without locks between its parts.
    let node = slatelink_node::run(config, features, format.into());
    Ok(LocalSet::new().block_on(&single_threaded_runtime()?, node)?)
}
