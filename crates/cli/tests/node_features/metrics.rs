//! Metrics of requests, attempts and endpoints.

use crate::log_has_line;
use crate::node_common::{
    config, http_response, temporary_path, wait_for, CacheServer, Discovery, Node, Reply,
};
use std::path::Path;

/// Returns feature settings that write metrics to a file at the given flush interval.
pub fn metrics_file_settings(path: &Path, flush_ms: u64) -> String {
    format!(
        "[figures]\ntarget = \"file:{}\"\nflush_ms = {flush_ms}\n",
        path.display()
    )
}

/// Returns the sum of a StatsD counter over the lines whose tags contain `tags`.
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

/// Starts a cache server that answers request id 7 with status 500 and all others with status 200.
fn start_server_failing_request_7() -> CacheServer {
    CacheServer::start(|request| match request.header("req-id") {
        Some("7") => Reply::Response(http_response("500 No", "", "")),
        _ => Reply::Response(http_response("200 OK", "", "value")),
    })
}

// Guards against requests or attempts that are not counted, or are counted under the wrong
// endpoint, class or outcome.
#[test]
fn metrics_count_each_request_and_attempt_with_its_class_and_endpoint() {
    let server = start_server_failing_request_7();
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = temporary_path("figures");
    let node = Node::with_features(
        &config(discovery.address),
        &metrics_file_settings(&path, 50),
    );
    for key in 0..5 {
        assert_eq!(node.read("read", key).status(), 200);
    }
    assert_eq!(node.read("once", 7).status(), 502);
    discovery.publish(false, &[server.entry("s-1", "draining")]);
    discovery.wait_until_applied(2);
    assert_eq!(node.read("keyed", 8).status(), 503);
    let read_metrics = || std::fs::read_to_string(&path).unwrap();
    wait_for("a flush", || read_metrics().contains("status:503"));
    assert!(
        read_metrics().contains("slatelink.req.open:0|g|#kind:read\n"),
        "{}",
        read_metrics()
    );
    // Metrics that are not flushed yet are written at shutdown.
    discovery.publish(false, &[server.entry("s-1", "ready")]);
    discovery.wait_until_applied(3);
    assert_eq!(node.read("read", 9).status(), 200);
    node.terminate();
    assert!(node.wait_for_exit().success());
    assert_counts(&read_metrics());
    std::fs::remove_file(path).unwrap();
}

/// Asserts the counts of six successful reads, one request that failed at the endpoint and one shed
/// request.
fn assert_counts(lines: &str) {
    let request_count = |tags: &str| counter_sum(lines, "slatelink.req.count", tags);
    assert_eq!(
        request_count("#kind:read,host:s-1,status:200"),
        6,
        "{lines}"
    );
    assert_eq!(request_count("#kind:once,host:s-1,status:502"), 1);
    assert_eq!(request_count("#kind:keyed,host:none,status:503"), 1);
    assert_eq!(request_count(""), 8);
    assert_eq!(lines.matches("slatelink.req.time:").count(), 8);
    let attempt_count = |tags: &str| counter_sum(lines, "slatelink.attempt.count", tags);
    assert_eq!(attempt_count("host:s-1,outcome:ok"), 6);
    assert_eq!(attempt_count("host:s-1,outcome:failed"), 1);
    assert!(lines.contains("slatelink.host.blocked:0|g|#host:s-1\n"));
    assert!(lines.ends_with('\n') && lines.lines().all(|line| line.starts_with("slatelink.")));
}

// Guards against a gauge that misses an open circuit breaker, which only the policy's log
// lines report.
#[test]
fn a_gauge_shows_an_endpoint_whose_circuit_breaker_is_open() {
    let failing_server = CacheServer::start(|_| Reply::Response(http_response("500 No", "", "")));
    let healthy_server = CacheServer::serving("value");
    let discovery = Discovery::start(&[
        failing_server.entry("s-bad", "ready"),
        healthy_server.entry("s-good", "ready"),
    ]);
    let path = temporary_path("blocked");
    let node = Node::with_features(
        &config(discovery.address),
        &metrics_file_settings(&path, 20),
    );
    let mut key = 0;
    wait_for("a blocked endpoint", || {
        key += 1;
        node.read("read", key);
        std::fs::read_to_string(&path)
            .unwrap()
            .contains("slatelink.host.blocked:1|g|#host:s-bad\n")
    });
    wait_for("the log line of the breaker", || {
        log_has_line(&node, |line| line == "breaker of s-bad tripped")
    });
    assert!(!std::fs::read_to_string(&path)
        .unwrap()
        .contains("blocked:1|g|#host:s-good"));
    std::fs::remove_file(path).unwrap();
}
