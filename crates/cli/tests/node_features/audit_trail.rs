//! The audit trail: records across restarts, verification, and paths that cannot be written to.

use crate::node_common::{
    command, config, temporary_path, wait_for, write_temporary_file, CacheServer, Discovery, Node,
};
use crate::{log_has_line, run_until_exit};
use serde_json::Value;
use std::path::Path;
use std::process::Command;

/// Returns feature settings that write the audit trail to a file.
fn audit_trail_settings(path: &Path) -> String {
    format!("[audit]\npath = \"{}\"\n", path.display())
}

/// Reads all records of an audit trail.
fn read_records(path: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(path).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

/// Runs `slatelink audit verify`. Returns its standard output and its exit code.
fn verify(path: &Path) -> (String, Option<i32>) {
    let output = command()
        .args(["audit", "verify"])
        .arg(path)
        .output()
        .unwrap();
    (
        String::from_utf8(output.stdout).unwrap(),
        output.status.code(),
    )
}

/// Returns the SHA-256 of a file in hexadecimal, computed by an independent implementation.
fn sha256(path: &Path) -> String {
    let output = Command::new("sha256sum").arg(path).output().unwrap();
    String::from_utf8(output.stdout).unwrap()[..64].to_owned()
}

/// Returns the records whose field has the given value.
fn records_with<'a>(records: &'a [Value], field: &str, value: &str) -> Vec<&'a Value> {
    records
        .iter()
        .filter(|record| record[field] == value)
        .collect()
}

// Guards against a missing record of a start, stop, configuration or health change, against a hash
// chain that a restart breaks, and against edits that `audit verify` does not detect.
#[test]
fn audit_trail_continues_across_restarts_and_verify_detects_any_edit() {
    let server = CacheServer::serving("value");
    let path = temporary_path("trail");
    let mut config_hashes = Vec::new();
    for (signal, exit_code) in [
        ("-TERM", Some(0)),
        ("-INT", Some(130)),
        ("-KILL", None),
        ("-USR2", Some(140)),
    ] {
        let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
        let platform_config = config(discovery.address);
        let node = Node::with_features(&platform_config, &audit_trail_settings(&path));
        config_hashes.push(sha256(node.config_path()));
        if signal == "-TERM" {
            publish_health_changes(&discovery, &server);
            node.reload(&format!("{platform_config} "));
            wait_for("the reload", || {
                records_with(&read_records(&path), "file", "platform").len() == 2
            });
            config_hashes.push(sha256(node.config_path()));
            node.reload("not a configuration");
        }
        // The records must be on file before SIGKILL, which leaves no time to write them.
        let features_loaded = || records_with(&read_records(&path), "file", "features").len();
        wait_for("the records of the start", || {
            features_loaded() == config_hashes.len()
        });
        node.signal(signal);
        assert_eq!(node.wait_for_exit().code(), exit_code, "{signal}");
    }
    let records = read_records(&path);
    assert_eq!(verify(&path), (format!("ok {}\n", records.len()), Some(0)));
    for (i, record) in records.iter().enumerate() {
        assert_eq!(record["seq"], i as u64 + 1);
    }
    assert_starts_and_stops(&records);
    assert_health_changes(&records);
    assert_configurations(&records, &config_hashes);
    assert_edits_are_detected(&path, records.len());
    std::fs::remove_file(&path).unwrap();
    assert_eq!(verify(&path), (String::new(), Some(2)));
}

/// Publishes every kind of health change of the endpoint, each in a version of its own.
fn publish_health_changes(discovery: &Discovery, server: &CacheServer) {
    discovery.publish(false, &[server.entry("s-1", "draining")]);
    discovery.wait_until_applied(2);
    discovery.publish(true, &[]);
    discovery.wait_until_applied(3);
    discovery.publish(false, &[server.entry("s-1", "strange")]);
    discovery.wait_until_applied(4);
    discovery.publish(false, &[server.entry("s-1", "gone")]);
    discovery.wait_until_applied(5);
}

/// Asserts a start record of each of the four nodes, and a stop record of each node except the
/// third, which was killed.
fn assert_starts_and_stops(records: &[Value]) {
    let starts = records_with(records, "event", "start");
    assert_eq!(starts.len(), 4);
    assert_eq!(starts[0]["node"], "n0");
    let signals: Vec<_> = records_with(records, "event", "stop")
        .iter()
        .map(|record| record["signal"].clone())
        .collect();
    assert_eq!(signals, ["SIGTERM", "SIGINT", "SIGUSR2"]);
    // After a killed node, the next start record has no stop record before it.
    let event_before = |start: usize| {
        let position = records.iter().rposition(|record| record == starts[start]);
        &records[position.unwrap() - 1]["event"]
    };
    assert_eq!(
        [event_before(1), event_before(2), event_before(3)].map(|event| event == "stop"),
        [true, true, false]
    );
}

/// Asserts the health records of the first node: its first list and the changes of
/// [`publish_health_changes`].
fn assert_health_changes(records: &[Value]) {
    let changes: Vec<_> = records_with(records, "event", "health")[..5]
        .iter()
        .map(|record| {
            ["host", "from", "to"]
                .map(|field| record[field].as_str().unwrap().to_owned())
                .join(" ")
        })
        .collect();
    let expected = [
        "absent ready",
        "ready draining",
        "draining absent",
        "absent strange",
        "strange gone",
    ]
    .map(|change| format!("s-1 {change}"));
    assert_eq!(changes, expected);
}

/// Asserts a record with the hash of each loaded configuration, and no record of the rejected
/// configuration.
fn assert_configurations(records: &[Value], hashes: &[String]) {
    let configurations = records_with(records, "event", "config");
    let configurations_of = |file: &str| -> Vec<&Value> {
        let records = configurations.iter().copied();
        records.filter(|record| record["file"] == file).collect()
    };
    let platform_records = configurations_of("platform");
    assert_eq!(platform_records.len(), 5);
    assert!(
        platform_records
            .iter()
            .zip(hashes)
            .all(|(record, hash)| record["sha256"] == **hash),
        "{platform_records:?} {hashes:?}"
    );
    assert_eq!(configurations_of("features").len(), 5);
}

/// Asserts that `audit verify` detects a flipped bit in any line and a missing last byte.
fn assert_edits_are_detected(path: &Path, lines: usize) {
    let text = std::fs::read(path).unwrap();
    let mut start = 0;
    for line in 1..=lines {
        let length = text[start..].iter().position(|&byte| byte == b'\n');
        let end = start + length.unwrap();
        let mut edited = text.clone();
        edited[(start + end) / 2] ^= 1;
        std::fs::write(path, &edited).unwrap();
        assert_eq!(verify(path), (format!("broken at line {line}\n"), Some(1)));
        start = end + 1;
    }
    std::fs::write(path, &text[..text.len() - 1]).unwrap();
    assert_eq!(verify(path), (format!("torn at line {lines}\n"), Some(1)));
}

// Guards against two nodes that write to the same audit trail.
#[test]
fn audit_trail_in_use_by_another_node_fails_the_start() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = temporary_path("shared");
    let settings = audit_trail_settings(&path);
    let node = Node::with_features(&config(discovery.address), &settings);
    let platform_path = write_temporary_file(&config(discovery.address).to_string());
    let second = run_until_exit(&platform_path, &write_temporary_file(&settings));
    let error = String::from_utf8(second.stderr).unwrap();
    assert_eq!(
        (second.status.code(), error.lines().count()),
        (Some(1), 1),
        "{error}"
    );
    assert!(
        error.contains("the file is locked by another process"),
        "{error}"
    );
    assert_eq!(node.read("read", 1).status(), 200);
    std::fs::remove_file(path).unwrap();
}

// Guards against a full disk that interrupts service.
#[test]
fn unwritable_audit_trail_is_reported_and_requests_are_served() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let features = audit_trail_settings("/dev/full".as_ref());
    let node = Node::with_features(&config(discovery.address), &features);
    wait_for("the log line of the write error", || {
        log_has_line(&node, |line| {
            line.starts_with("audit: a record is not written")
        })
    });
    assert_eq!(node.read("read", 1).status(), 200);
    node.terminate();
    assert!(node.wait_for_exit().success());
}

// Guards against audit records that are lost when no path is set.
#[test]
fn audit_trail_without_a_path_is_written_to_standard_error() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(&config(discovery.address), "[audit]\n");
    let records = || {
        let log = node.log.lock().unwrap();
        log.iter()
            .filter(|line| line.starts_with("{\"seq\":"))
            .map(|line| line.clone() + "\n")
            .collect::<String>()
    };
    wait_for("the record of a health change", || {
        records().contains("\"event\":\"health\"")
    });
    let path = write_temporary_file(&records());
    assert_eq!(
        verify(&path),
        (format!("ok {}\n", records().lines().count()), Some(0))
    );
    std::fs::remove_file(path).unwrap();
}
