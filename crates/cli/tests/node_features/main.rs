//! The features that the operators' file turns on (metrics, audit trail, hot list), over the command line and loopback sockets.

#[path = "../node_common/mod.rs"]
mod node_common;

mod audit_trail;
mod hot_list;
mod metrics;
mod metrics_targets;
mod settings;

use node_common::{command, Node};
use std::path::Path;
use std::process::Output;

/// Runs a node on these files until it exits, as it does where it cannot start.
fn run_until_exit(config: &Path, features: &Path) -> Output {
    command()
        .env("LB_CONFIG", config)
        .arg("--features")
        .arg(features)
        .output()
        .unwrap()
}

/// Whether a line of the node's log, but for the first one, meets a condition.
fn log_has(node: &Node, condition: impl Fn(&str) -> bool) -> bool {
    node.log.lock().unwrap().iter().any(|line| condition(line))
}
