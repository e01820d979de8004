//! Tests of a replica, one concern a module.

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

/// Three endpoints that take requests, by name and health.
const THREE_READY: [(&str, &str); 3] = [("a", "ready"), ("b", "ready"), ("c", "ready")];

/// A watch for what is newer than this version.
fn watch(version: u64) -> UpstreamCall {
    UpstreamCall::Watch(Version(version))
}

/// Version, completeness and records of an answer's message.
fn message_parts(replica: &Replica, answer: Answer) -> (u64, bool, Vec<(String, String)>) {
    let update = replica.message(answer).unwrap();
    (update.version.0, update.complete, name_and_health(&update))
}
