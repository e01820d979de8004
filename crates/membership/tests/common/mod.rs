//! Lists to test with.
#![allow(dead_code)]

use slatelink_membership::{
    Answer, EndpointRecord, ListQuery, ListUpdate, Replica, Unavailable, UpstreamCall, Version,
};
use std::time::Duration;

pub const LEASE: Duration = Duration::from_secs(10);

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A message as discovery writes it, of these servers and their health.
pub fn list(version: u64, complete: bool, endpoints: &[(&str, &str)]) -> ListUpdate {
    let hosts: Vec<_> = endpoints
        .iter()
        .map(|(host, health)| {
            format!(r#"{{"host":"{host}","health":"{health}","new_field":[1, 2]}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"seq":{version},"whole":{complete},"hosts":[{}]}}"#,
        hosts.join(",")
    );
    ListUpdate::parse(text.as_bytes()).unwrap()
}

/// Name and health of each entry, in their order.
pub fn words(list: &ListUpdate) -> Vec<(String, String)> {
    let word = |entry: &EndpointRecord| {
        let json: serde_json::Value = serde_json::from_str(entry.json()).unwrap();
        (
            entry.name().to_string(),
            json["health"].as_str().unwrap().to_owned(),
        )
    };
    list.records.iter().map(word).collect()
}

pub fn pairs(endpoints: &[(&str, &str)]) -> Vec<(String, String)> {
    endpoints
        .iter()
        .map(|(host, health)| (host.to_string(), health.to_string()))
        .collect()
}

/// One that has this whole list, heard at the origin of time.
pub fn holding(version: u64, endpoints: &[(&str, &str)]) -> Replica {
    let mut replica = Replica::new(LEASE);
    replica
        .apply(
            UpstreamCall::Snapshot,
            list(version, true, endpoints),
            ms(0),
            ms(0),
        )
        .unwrap();
    replica
}

/// Asks at this time, with no wait left.
pub fn ask(
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
