//! Tests of the division of a process's memory.

use super::{
    connection_memory, max_list_bytes, shared_budget, ResourceLimits, ACTIVE_CONNECTION_BYTES,
    FRAGMENTATION_DIVISOR, MIN_ACTIVE_CONNECTIONS, MIN_LIST_LIMIT_BYTES, PROGRAM_BYTES,
    UPSTREAM_CONNECTION_BYTES,
};
use crate::body::MAX_BODY_BYTES;
use crate::list_client::MAX_LIST_BYTES;
use crate::multiget::MultiGet;
use serde_json::json;
use slatelink_admission::ConnectionKind;
use slatelink_config::operators::Settings;

const MIB: u64 = 1 << 20;

/// Returns operators' settings, with or without the multi-get port.
fn operators_settings(multi_get: bool) -> Settings {
    let settings = if multi_get {
        json!({"multiget": {"port": 7}})
    } else {
        json!({})
    };
    serde_json::from_value(settings).unwrap()
}

// Guards against parts that together exceed the memory limit: each part may be in use at once.
#[test]
fn all_parts_together_fit_into_the_memory_limit() {
    for multi_get in [false, true] {
        let settings = operators_settings(multi_get);
        for memory_mb in (32..=192).step_by(16) {
            for descriptors in [256, 512, 1_024] {
                let limits = ResourceLimits {
                    descriptors,
                    memory_bytes: Some(memory_mb * MIB),
                };
                let memory = connection_memory(&settings, limits.memory_bytes);
                let budget = shared_budget(&settings, limits, &memory).unwrap();
                let upstream = budget.max_descriptors(ConnectionKind::Upstream);
                let lines = if multi_get { MultiGet::LINE_BYTES } else { 0 };
                let parts = PROGRAM_BYTES
                    + memory.clients as u64
                    + (upstream * UPSTREAM_CONNECTION_BYTES) as u64
                    + memory.responses as u64
                    + lines as u64;
                let available =
                    memory_mb * MIB / FRAGMENTATION_DIVISOR * (FRAGMENTATION_DIVISOR - 1);
                assert!(
                    parts <= available,
                    "{parts} of {available} bytes with {memory_mb} MB, {descriptors} descriptors"
                );
            }
        }
    }
}

// Guards against a node with little memory that cannot hold a single response, or serve anyone.
#[test]
fn a_node_with_little_memory_still_holds_responses_and_clients() {
    for memory_mb in 1..=16 {
        let memory = connection_memory(&operators_settings(true), Some(memory_mb * MIB));
        assert!(memory.responses >= 8 * MAX_BODY_BYTES);
        assert!(memory.clients >= MIN_ACTIVE_CONNECTIONS / 4 * ACTIVE_CONNECTION_BYTES);
        assert!(memory.upstream >= 8 * UPSTREAM_CONNECTION_BYTES);
    }
}

// Guards against a limit that rejects the lists of large deployments, or that lets a single list
// take all the memory.
#[test]
fn the_limit_on_a_list_follows_the_memory_within_its_bounds() {
    assert_eq!(max_list_bytes(None), MAX_LIST_BYTES);
    assert_eq!(max_list_bytes(Some(4 * MIB)), MIN_LIST_LIMIT_BYTES);
    assert_eq!(max_list_bytes(Some(32 * MIB)), 2 * MIB as usize);
    assert_eq!(max_list_bytes(Some(1_024 * MIB)), MAX_LIST_BYTES);
}
