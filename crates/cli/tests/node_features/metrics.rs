//! What metrics say of requests, attempts and endpoints.

use crate::log_has;
use crate::node_common::{
    answer, config, temporary_path, wait_for, CacheServer, Discovery, Node, Reply,
};
use std::path::Path;

/// Settings for metrics that are written to a file, flushed at this interval.
pub fn file_target(path: &Path, flush_ms: u64) -> String {
    format!(
        "[figures]\ntarget = \"file:{}\"\nflush_ms = {flush_ms}\n",
        path.display()
    )
}

/// The sum of a StatsD counter over all lines that have its name and a part of its tags.
pub fn counter_sum(lines: &str, name: &str, tags: &str) -> u64 {
    let start = format!("{name}:");
    let matching = lines
        .lines()
        .filter_map(|line| line.strip_prefix(&start))
        .filter(|line| line.contains(tags));
    matching
        .map(|line| line.split('|').next().unwrap().parse::<u64>().unwrap())
        .sum()
}

/// A cache server that fails the request with the id 7.
fn server_failing_request_7() -> CacheServer {
    CacheServer::start(|request| match request.header("req-id") {
        Some("7") => Reply::Answer(answer("500 No", "", "")),
        _ => Reply::Answer(answer("200 OK", "", "value")),
    })
}

// Guards against requests or attempts that are not counted, or counted under another endpoint, class or outcome.
#[test]
fn metrics_count_each_request_and_attempt_with_its_class_and_endpoint() {
    let server = server_failing_request_7();
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = temporary_path("figures");
    let node = Node::with_features(&config(discovery.address), &file_target(&path, 50));
    for key in 0..5 {
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!(node.read("once", 7).status(), 502);
    discovery.publish(false, &[server.entry("s-1", "draining")]);
    discovery.wait_until_applied(2);
    assert_eq!(node.read("keyed", 8).status(), 503);
    let written = || std::fs::read_to_string(&path).unwrap();
    wait_for("a flush", || written().contains("status:503"));
    assert!(
        written().contains("slatelink.req.open:0|g|#kind:read\n"),
        "{}",
        written()
    );
    // What has not been flushed is written at the shutdown.
    discovery.publish(false, &[server.entry("s-1", "ready")]);
    discovery.wait_until_applied(3);
    assert_eq!(node.read("read", 9).status(), 200);
    node.terminate();
    assert!(node.exit().success());
    assert_counts(&written());
    std::fs::remove_file(path).unwrap();
}

/// Asserts the counts of six reads that were served, one request that failed at the endpoint and one that was shed.
fn assert_counts(lines: &str) {
    let requests = |tags: &str| counter_sum(lines, "slatelink.req.count", tags);
    assert_eq!(requests("#kind:read,host:s-1,status:200"), 6, "{lines}");
    assert_eq!(requests("#kind:once,host:s-1,status:502"), 1);
    assert_eq!(requests("#kind:keyed,host:none,status:503"), 1);
    assert_eq!(requests(""), 8);
    assert_eq!(lines.matches("slatelink.req.time:").count(), 8);
    let attempts = |tags: &str| counter_sum(lines, "slatelink.attempt.count", tags);
    assert_eq!(attempts("host:s-1,outcome:ok"), 6);
    assert_eq!(attempts("host:s-1,outcome:failed"), 1);
    assert!(lines.contains("slatelink.host.blocked:0|g|#host:s-1\n"));
    assert!(lines.ends_with('\n') && lines.lines().all(|line| line.starts_with("slatelink.")));
}

// Guards against a gauge that misses an opened circuit breaker, of which only the policy's log lines tell.
#[test]
fn a_gauge_shows_an_endpoint_whose_circuit_breaker_is_open() {
    let bad = CacheServer::start(|_| Reply::Answer(answer("500 No", "", "")));
    let good = CacheServer::serving("value");
    let discovery = Discovery::start(&[bad.entry("s-bad", "ready"), good.entry("s-good", "ready")]);
    let path = temporary_path("blocked");
    let node = Node::with_features(&config(discovery.address), &file_target(&path, 20));
    let mut key = 0;
    wait_for("a blocked endpoint", || {
        key += 1;
        node.read("read", key);
        std::fs::read_to_string(&path)
            .unwrap()
            .contains("slatelink.host.blocked:1|g|#host:s-bad\n")
    });
    wait_for("the breaker's line in the log", || {
        log_has(&node, |line| line == "breaker of s-bad tripped")
    });
    assert!(!std::fs::read_to_string(&path)
        .unwrap()
        .contains("blocked:1|g|#host:s-good"));
    std::fs::remove_file(path).unwrap();
}
