//! End-to-end tests of the optional features (metrics, audit trail, hot list), which the operators'
//! feature file enables. They use the command line and loopback sockets.

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

/// Runs a node whose start is expected to fail, and waits for its exit.
fn run_until_exit(config: &Path, features: &Path) -> Output {
    command()
        .env("LB_CONFIG", config)
        .arg("--features")
        .arg(features)
        .output()
        .unwrap()
}

/// Checks whether any log line of the node, other than the first, meets the condition.
fn log_has_line(node: &Node, condition: impl Fn(&str) -> bool) -> bool {
    node.log.lock().unwrap().iter().any(|line| condition(line))
}
