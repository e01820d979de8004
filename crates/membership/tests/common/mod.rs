//! Test fixtures: replicas and messages.
#![allow(dead_code)]

use slatelink_membership::{
    Answer, EndpointRecord, ListQuery, ListUpdate, Replica, Unavailable, UpstreamCall, Version,
};
use std::time::Duration;

/// Lease duration of replicas created by [`replica_holding`].
pub const LEASE: Duration = Duration::from_secs(10);

/// Returns a time in milliseconds since the time origin.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a message in discovery's format. Endpoints are pairs of name and health.
pub fn update(version: u64, complete: bool, endpoints: &[(&str, &str)]) -> ListUpdate {
    let records: Vec<_> = endpoints
        .iter()
        .map(|(name, health)| {
            format!(r#"{{"host":"{name}","health":"{health}","new_field":[1, 2]}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"seq":{version},"whole":{complete},"hosts":[{}]}}"#,
        records.join(",")
    );
    ListUpdate::parse(text.as_bytes()).unwrap()
}

/// Returns the name and health of each record, in the order of the message.
pub fn name_and_health(update: &ListUpdate) -> Vec<(String, String)> {
    let parts = |record: &EndpointRecord| {
        let json: serde_json::Value = serde_json::from_str(record.json()).unwrap();
        (
            record.name().to_string(),
            json["health"].as_str().unwrap().to_owned(),
        )
    };
    update.records.iter().map(parts).collect()
}

/// Returns the pairs as owned strings, for comparison with [`name_and_health`].
pub fn owned_pairs(endpoints: &[(&str, &str)]) -> Vec<(String, String)> {
    endpoints
        .iter()
        .map(|(name, health)| (name.to_string(), health.to_string()))
        .collect()
}

/// Returns a replica that applied this snapshot at the time origin.
pub fn replica_holding(version: u64, endpoints: &[(&str, &str)]) -> Replica {
    let mut replica = Replica::new(LEASE);
    replica
        .apply(
            UpstreamCall::Snapshot,
            update(version, true, endpoints),
            ms(0),
            ms(0),
        )
        .unwrap();
    replica
}

/// Returns the answer at `now` to a client that does not wait.
pub fn answer_now(
    replica: &mut Replica,
    after: Option<u64>,
    now: Duration,
) -> Result<Answer, Unavailable> {
    let query = ListQuery {
        after: after.map(Version),
        received_at: now,
        wait_expired: true,
    };
    replica.answer(query, now)
}
