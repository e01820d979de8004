//! Tests of the replica, one module per concern.

#[path = "../common/mod.rs"]
mod common;
mod confirmation;
mod delta;
mod epoch;
mod lease;
mod message;
mod validation;

use common::name_and_health;
use slatelink_membership::{Answer, Replica, UpstreamCall, Version};

/// Three ready endpoints, by name and health.
const THREE_READY: [(&str, &str); 3] = [("a", "ready"), ("b", "ready"), ("c", "ready")];

/// Returns a watch for changes after this version.
fn watch(version: u64) -> UpstreamCall {
    UpstreamCall::Watch(Version(version))
}

/// Returns the version, completeness and records of an answer's message.
fn message_parts(replica: &Replica, answer: Answer) -> (u64, bool, Vec<(String, String)>) {
    let update = replica.message(answer).unwrap();
    (update.version.0, update.complete, name_and_health(&update))
}
