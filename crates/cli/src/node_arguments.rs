//! The arguments that name the node under test, shared by `lab`, `lab scale` and `up`.

use crate::log_format::LogFormat;
use clap::Args;
use slatelink_lab::nodes::Program;
use std::io;
use std::path::{Path, PathBuf};

/// Arguments of all commands that run nodes: which binary, with which settings.
#[derive(Args, Clone)]
pub struct NodeArguments {
    /// The node's binary; this one where none is named
    #[arg(long, value_name = "BINARY")]
    node: Option<PathBuf>,
    /// The operators' file of each node
    #[arg(long, value_name = "FILE")]
    features: Option<PathBuf>,
    /// Write the rig's own log to standard error: faults, and what becomes of nodes
    #[arg(long, value_enum)]
    log_format: Option<LogFormat>,
}

impl NodeArguments {
    /// Starts the log of the lab itself on standard error, where one is asked for.
    pub fn start_log(&self) {
        let lines = tracing_subscriber::fmt()
            .with_writer(io::stderr)
            .with_ansi(false)
            .with_target(false);
        match self.log_format {
            None => {}
            Some(LogFormat::Text) => lines.init(),
            Some(LogFormat::Json) => lines.json().flatten_event(true).init(),
        }
    }

    /// Whether an operators' file is named.
    pub fn names_features(&self) -> bool {
        self.features.is_some()
    }

    /// The node's binary with its arguments.
    pub fn program(&self) -> io::Result<Program> {
        let binary = self.node.clone().map_or_else(std::env::current_exe, Ok)?;
        Ok(node_program(binary, self.features.as_deref()))
    }
}

/// A node's binary, started with this operators' file.
pub fn node_program(binary: PathBuf, features: Option<&Path>) -> Program {
    let arguments = features.map(|file| ["--features".to_owned(), file.display().to_string()]);
    Program::Binary(binary, arguments.into_iter().flatten().collect())
}
