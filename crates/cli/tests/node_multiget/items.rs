//! Items as separate requests, and the lines that the command prints for them.

use crate::multi_get::{
    echo_target, metrics_file_settings, multi_get_address, multi_get_command, numbered_keys,
    printed_lines, MULTI_GET_FEATURES,
};
use crate::node_common::{
    config, http_response, temporary_path, wait_for, CacheServer, Discovery, Node, Reply,
};
use serde_json::{json, Value};
use std::collections::HashSet;
use std::path::Path;
use std::process::Output;

/// Index of the item that the cache server answers with status 500.
const FAILED_ITEM_INDEX: usize = 2;

// Guards against items that are handled differently from single requests, and against printed lines
// that are out of order.
#[test]
fn each_item_is_a_separate_request_and_lines_follow_the_order_of_the_keys() {
    let server = CacheServer::start(|request| match request.start.contains("0003 ") {
        true => Reply::Response(http_response("500 No", "", "")),
        false => echo_target(request),
    });
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = temporary_path("multi");
    let features = format!(
        "{MULTI_GET_FEATURES}{}[hotlist]\n",
        metrics_file_settings(&path)
    );
    let node = Node::with_features(&config(discovery.address), &features);
    let keys = numbered_keys(32);
    let output = multi_get_command(multi_get_address(&node), 20_000, &keys)
        .output()
        .unwrap();
    assert_printed_in_order(&output, &keys);
    assert_single_requests(&server);
    wait_for("metrics of each item", || counted_reads(&path) == 32);
    node.signal("-USR1");
    wait_for("the hot list", || {
        let log = node.log.lock().unwrap();
        log.iter()
            .filter(|line| line.starts_with("hot read 0"))
            .count()
            == 32
    });
    std::fs::remove_file(path).unwrap();
}

/// Asserts one line per key, in order, all with status 200 except for the failed item.
fn assert_printed_in_order(output: &Output, keys: &[String]) {
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8(output.stdout.clone()).unwrap();
    assert_eq!(
        text.lines().next().unwrap(),
        format!(
            "{{\"i\":0,\"key\":\"{0}\",\"status\":200,\"body\":\"/api/{0}\"}}",
            keys[0]
        )
    );
    let lines = printed_lines(output);
    for (i, (line, key)) in lines.iter().zip(keys).enumerate() {
        // The status of the failed item depends on whether a retry is allowed; the test has no
        // other endpoint.
        let expected = match i {
            FAILED_ITEM_INDEX => json!({"i": i, "key": key, "status": line["status"]}),
            _ => json!({"i": i, "key": key, "status": 200, "body": format!("/api/{key}")}),
        };
        assert_eq!(*line, expected);
    }
    assert!(
        [502, 503]
            .map(Value::from)
            .contains(&lines[FAILED_ITEM_INDEX]["status"]),
        "{:?}",
        lines[FAILED_ITEM_INDEX]
    );
    assert_eq!(lines.len(), 32);
}

/// Asserts that the cache server received only GET requests, each with its own id and the remaining
/// deadline.
fn assert_single_requests(server: &CacheServer) {
    let requests = server.received.lock().unwrap();
    assert!(requests
        .iter()
        .all(|request| request.start.starts_with("GET /api/")));
    let ids: HashSet<_> = requests
        .iter()
        .map(|request| request.header("req-id").unwrap().to_owned())
        .collect();
    assert_eq!(ids.len(), 32, "each request has its own id");
    let parse_deadline_ms = |header: Option<&str>| header.unwrap().parse::<u64>().unwrap();
    assert!(requests
        .iter()
        .all(|request| parse_deadline_ms(request.header("req-deadline-ms")) < 20_000));
}

/// Returns the number of reads that the metrics in a file count.
fn counted_reads(path: &Path) -> u64 {
    let text = std::fs::read_to_string(path).unwrap();
    let counts = text
        .lines()
        .filter_map(|line| line.strip_prefix("slatelink.req.count:"));
    let reads = counts.filter_map(|rest| rest.split_once("|c|#kind:read,"));
    reads.map(|(count, _)| count.parse::<u64>().unwrap()).sum()
}
