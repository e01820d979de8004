//! Lists to test with.
#![allow(dead_code)]

use slatelink_membership::{Call, Entry, List, Question, Replica, Reply, Unavailable, Version};
use std::time::Duration;

pub const LEASE: Duration = Duration::from_secs(10);

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A message as discovery writes it, of these servers and their health.
pub fn list(version: u64, whole: bool, servers: &[(&str, &str)]) -> List {
    let hosts: Vec<_> = servers
        .iter()
        .map(|(host, health)| {
            format!(r#"{{"host":"{host}","health":"{health}","new_field":[1, 2]}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#,
        hosts.join(",")
    );
    List::parse(text.as_bytes()).unwrap()
}

/// Name and health of each entry, in their order.
pub fn words(list: &List) -> Vec<(String, String)> {
    let word = |entry: &Entry| {
        let json: serde_json::Value = serde_json::from_str(entry.json()).unwrap();
        (
            entry.host().to_string(),
            json["health"].as_str().unwrap().to_owned(),
        )
    };
    list.entries.iter().map(word).collect()
}

pub fn pairs(servers: &[(&str, &str)]) -> Vec<(String, String)> {
    servers
        .iter()
        .map(|(host, health)| (host.to_string(), health.to_string()))
        .collect()
}

/// One that has this whole list, heard at the origin of time.
pub fn holding(version: u64, servers: &[(&str, &str)]) -> Replica {
    let mut replica = Replica::new(LEASE);
    replica
        .apply(Call::Whole, list(version, true, servers), ms(0), ms(0))
        .unwrap();
    replica
}

/// Asks at this time, with no wait left.
pub fn ask(replica: &mut Replica, after: Option<u64>, now: Duration) -> Result<Reply, Unavailable> {
    let question = Question {
        after: after.map(Version),
        came: now,
        wait_is_over: true,
    };
    replica.answer(question, now)
}
