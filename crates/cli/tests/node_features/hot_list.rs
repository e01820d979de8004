//! The hot list, which the node logs on SIGUSR1.

use crate::node_common::{
    api_request, config, wait_for, write_temporary_file, CacheServer, Discovery, Node,
};
use crate::{log_has_line, run_until_exit};
use std::collections::HashMap;

/// Number of reads that the test of the counts sends.
const REQUESTS: u64 = 600;
/// Number of keys that the hot list holds in the test of the counts.
const CAPACITY: u64 = 8;

/// A line of the hot list.
#[derive(Debug)]
struct HotKey {
    key: String,
    /// Requests a second.
    rate: f64,
    count: u64,
    /// Maximum by which `count` may exceed the real count.
    error_bound: u64,
}

impl HotKey {
    /// Parses a line without its class: `KEY rate=NUMBER/s count=NUMBER err<=NUMBER`.
    fn parse(line: &str) -> Self {
        let words: Vec<_> = line.split(' ').collect();
        let [key, rate, count, error_bound] = words[..] else {
            panic!("{line}")
        };
        let rate = rate.strip_prefix("rate=").unwrap();
        let count = count.strip_prefix("count=").unwrap();
        let error_bound = error_bound.strip_prefix("err<=").unwrap();
        Self {
            key: key.to_owned(),
            rate: rate.strip_suffix("/s").unwrap().parse().unwrap(),
            count: count.parse().unwrap(),
            error_bound: error_bound.parse().unwrap(),
        }
    }
}

/// Returns the hot list of a class from the node's log, in log order.
fn hot_keys(node: &Node, class: &str) -> Vec<HotKey> {
    let log = node.log.lock().unwrap();
    let start = format!("hot {class} ");
    log.iter()
        .filter_map(|line| line.strip_prefix(&start))
        .filter(|line| *line != "none")
        .map(HotKey::parse)
        .collect()
}

/// Sends reads of which a third has the same key. Returns the number of reads sent for each key.
fn send_skewed_reads(node: &Node) -> HashMap<String, u64> {
    let mut client = node.client();
    let mut sent = HashMap::<String, u64>::new();
    for i in 0..REQUESTS {
        let key = if i % 3 == 0 { 7 } else { i * 40_503 % 100 };
        let text = api_request("read", i, 20_000)
            .replace(&format!("/api/{i:016x}"), &format!("/api/x/key{key}?v={i}"));
        assert_eq!(client.request(&text).status(), 200);
        *sent.entry(format!("key{key}")).or_default() += 1;
    }
    sent
}

// Guards against logged counts that differ from the numbers of requests sent by more than the error
// bound, under a skewed load.
#[test]
fn hot_list_counts_match_sent_requests_within_the_error_bound() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let features = format!("[hotlist]\ncapacity = {CAPACITY}\n");
    let node = Node::with_features(&config(discovery.address), &features);
    let sent = send_skewed_reads(&node);
    // A shed request is counted; an invalid request is not.
    discovery.publish(false, &[server.entry("s-1", "draining")]);
    discovery.wait_until_applied(2);
    assert_eq!(node.read("once", 0xabc).status(), 503);
    assert_eq!(node.read("no such class", 1).status(), 400);
    node.signal("-USR1");
    wait_for("the hot list", || {
        log_has_line(&node, |line| line.starts_with("hot keyed "))
    });
    let reads = hot_keys(&node, "read");
    assert_eq!((reads.len(), &*reads[0].key), (CAPACITY as usize, "key7"));
    assert!(reads.is_sorted_by(|a, b| a.count >= b.count), "{reads:?}");
    for hot in &reads {
        let sent_count = sent[&hot.key];
        assert_eq!(hot.error_bound, REQUESTS / CAPACITY);
        assert!(
            sent_count <= hot.count && hot.count - sent_count <= hot.error_bound,
            "{}: {sent_count} requests sent, {} counted",
            hot.key,
            hot.count
        );
        assert!(hot.rate > 0.0);
    }
    let once = hot_keys(&node, "once");
    assert_eq!(
        (
            once.len(),
            &*once[0].key,
            once[0].count,
            once[0].error_bound
        ),
        (1, "0000000000000abc", 1, 0)
    );
    assert!(log_has_line(&node, |line| line == "hot keyed none"));
    assert_eq!(
        node.read("once", 1).status(),
        503,
        "the node keeps running after the signal"
    );
}

// Guards against a signal handler that is installed although the feature is off, and against a
// capacity that exceeds the memory limit.
#[test]
fn capacity_of_zero_disables_the_hot_list_and_excessive_capacity_fails_the_start() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let platform_config = config(discovery.address);
    let node = Node::with_features(&platform_config, "[hotlist]\ncapacity = 0\n");
    node.signal("-USR1");
    assert_eq!(
        node.wait_for_exit().code(),
        None,
        "without a handler the signal terminates the process"
    );
    let (platform_path, features_path) = (
        write_temporary_file(&platform_config.to_string()),
        write_temporary_file("[hotlist]\ncapacity = 100000\n"),
    );
    let output = run_until_exit(&platform_path, &features_path);
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        (output.status.code(), error.lines().count()),
        (Some(1), 1),
        "{error}"
    );
    assert!(
        error.contains("exceeds the memory limit of 1 MB"),
        "{error}"
    );
}
