//! The arguments that select the node under test, shared by `up` and the `lab` subcommands that run
//! nodes.

use crate::log_format::LogFormat;
use clap::Args;
use slatelink_lab::nodes::Program;
use std::io;
use std::path::{Path, PathBuf};

/// Arguments of all commands that run nodes: the nodes' binary and settings, and the lab's log.
#[derive(Args, Clone)]
pub struct NodeArguments {
    /// The node's binary; this binary by default
    #[arg(long, value_name = "BINARY")]
    node: Option<PathBuf>,
    /// Settings of the operators' features for each node, in TOML
    #[arg(long, value_name = "FILE")]
    features: Option<PathBuf>,
    /// Write the lab's log of faults and node events to standard error in this format
    #[arg(long, value_enum)]
    log_format: Option<LogFormat>,
}

impl NodeArguments {
    /// Starts the lab's log on standard error if `--log-format` is given.
    pub fn start_log(&self) {
        let subscriber = tracing_subscriber::fmt()
            .with_writer(io::stderr)
            .with_ansi(false)
            .with_target(false);
        match self.log_format {
            None => {}
            Some(LogFormat::Text) => subscriber.init(),
            Some(LogFormat::Json) => subscriber.json().flatten_event(true).init(),
        }
    }

    /// Checks whether `--features` is given.
    pub fn has_features(&self) -> bool {
        self.features.is_some()
    }

    /// Returns the node's binary with its arguments.
    pub fn program(&self) -> io::Result<Program> {
        let binary = self.node.clone().map_or_else(std::env::current_exe, Ok)?;
        Ok(node_program(binary, self.features.as_deref()))
    }
}

/// Returns a program that starts this binary with this file of the operators' features.
pub fn node_program(binary: PathBuf, features: Option<&Path>) -> Program {
    let arguments = features.map(|file| ["--features".to_owned(), file.display().to_string()]);
    Program::Binary(binary, arguments.into_iter().flatten().collect())
}
