//! The audit trail of a node, over the command line and loopback sockets.

mod node_common;

use node_common::*;
use serde_json::Value;
use std::path::Path;

fn records(path: &Path) -> Vec<Value> {
    let text = std::fs::read_to_string(path).unwrap();
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect()
}

fn verify(path: &Path) -> (String, Option<i32>) {
    let ended = command()
        .args(["audit", "verify"])
        .arg(path)
        .output()
        .unwrap();
    (
        String::from_utf8(ended.stdout).unwrap(),
        ended.status.code(),
    )
}

fn sha256(path: &Path) -> String {
    let ended = std::process::Command::new("sha256sum")
        .arg(path)
        .output()
        .unwrap();
    String::from_utf8(ended.stdout).unwrap()[..64].to_owned()
}

// Guards against a start, stop, configuration or switch of discovery's that the trail lacks, and against a chain
// that a restart breaks. The operators' own check stands at the end.
#[test]
fn the_audit_trail_verifies_over_restarts_and_any_edit_of_it_is_detected() {
    let server = CacheServer::serving("value");
    let path = temporary_path("trail");
    let hashes = write_trail(&server, &path);
    let all = records(&path);
    assert_eq!(verify(&path), (format!("ok {}\n", all.len()), Some(0)));
    for (i, record) in all.iter().enumerate() {
        assert_eq!(record["seq"], i as u64 + 1);
    }
    assert_starts_and_stops(&all);
    assert_switches(&all);
    assert_configurations(&all, &hashes);
    assert_every_edit_is_detected(&path, all.len());
}

/// Runs four nodes after one another on one trail, ended by four signals, the first with switches of an endpoint and
/// two reloads. The hashes of the platform's configurations, in order.
fn write_trail(server: &CacheServer, path: &Path) -> Vec<String> {
    let host = |health| server.entry("s-1", health);
    let settings = format!("[audit]\npath = \"{}\"\n", path.display());
    let mut hashes = Vec::new();
    for (signal, code) in [
        ("-TERM", Some(0)),
        ("-INT", Some(130)),
        ("-KILL", None),
        ("-USR2", Some(140)),
    ] {
        let discovery = Discovery::start(&[host("ready")]);
        let told = config(discovery.address);
        let node = Node::with_features(&told, &settings);
        hashes.push(sha256(node.config()));
        if signal == "-TERM" {
            discovery.publish(false, &[host("draining")]);
            discovery.wait_until_applied(2);
            discovery.publish(true, &[]);
            discovery.wait_until_applied(3);
            discovery.publish(false, &[host("strange")]);
            discovery.wait_until_applied(4);
            discovery.publish(false, &[host("gone")]);
            discovery.wait_until_applied(5);
            node.reload(&format!("{told} "));
            wait_for("the reload", || {
                records(path)
                    .iter()
                    .filter(|r| r["file"] == "platform")
                    .count()
                    == 2
            });
            hashes.push(sha256(node.config()));
            node.reload("not a configuration");
        }
        // Before it is killed, its records must be there.
        let loaded = || {
            records(path)
                .iter()
                .filter(|record| record["file"] == "features")
                .count()
        };
        wait_for("the start's records", || loaded() == hashes.len());
        node.signal(signal);
        assert_eq!(node.exit().code(), code, "{signal}");
    }
    hashes
}

/// The records of an event, in order.
fn records_of<'a>(all: &'a [Value], event: &str) -> Vec<&'a Value> {
    all.iter()
        .filter(|record| record["event"] == event)
        .collect()
}

fn assert_starts_and_stops(all: &[Value]) {
    assert_eq!(records_of(all, "start").len(), 4);
    assert_eq!(records_of(all, "start")[0]["node"], "n0");
    let signals: Vec<_> = records_of(all, "stop")
        .iter()
        .map(|record| record["signal"].clone())
        .collect();
    assert_eq!(signals, ["SIGTERM", "SIGINT", "SIGUSR2"]);
    // What was killed shows as a start that no stop comes before.
    let before = |i: usize| {
        &all[all
            .iter()
            .rposition(|r| r == records_of(all, "start")[i])
            .unwrap()
            - 1]["event"]
    };
    assert_eq!(
        [before(1), before(2), before(3)].map(|event| event == "stop"),
        [true, true, false]
    );
}

fn assert_switches(all: &[Value]) {
    let switches: Vec<_> = records_of(all, "health")[..5]
        .iter()
        .map(|r| {
            ["host", "from", "to"]
                .map(|field| r[field].as_str().unwrap().to_owned())
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
    .map(|s| format!("s-1 {s}"));
    assert_eq!(switches, expected);
}

/// Each configuration that a node took has a record, with its hash for the platform's.
fn assert_configurations(all: &[Value], hashes: &[String]) {
    let files = records_of(all, "config");
    let platform: Vec<_> = files.iter().filter(|r| r["file"] == "platform").collect();
    assert_eq!(platform.len(), 5);
    assert!(
        platform
            .iter()
            .zip(hashes)
            .all(|(record, sha)| record["sha256"] == **sha),
        "{platform:?} {hashes:?}"
    );
    assert_eq!(files.iter().filter(|r| r["file"] == "features").count(), 5);
}

/// `audit verify` finds a flipped bit in any line, a torn last line, and a trail that is not there.
fn assert_every_edit_is_detected(path: &Path, records: usize) {
    let text = std::fs::read(path).unwrap();
    let mut start = 0;
    for line in 1..=records {
        let end = start
            + text[start..]
                .iter()
                .position(|&byte| byte == b'\n')
                .unwrap();
        let mut edited = text.clone();
        edited[(start + end) / 2] ^= 1;
        std::fs::write(path, &edited).unwrap();
        assert_eq!(verify(path), (format!("broken at line {line}\n"), Some(1)));
        start = end + 1;
    }
    std::fs::write(path, &text[..text.len() - 1]).unwrap();
    assert_eq!(
        verify(path),
        (format!("torn at line {}\n", records), Some(1))
    );
    std::fs::remove_file(path).unwrap();
    assert_eq!(verify(path), (String::new(), Some(2)));
}

// Guards against two nodes in one trail.
#[test]
fn an_audit_trail_in_use_is_a_failed_start() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let path = temporary_path("shared");
    let settings = format!("[audit]\npath = \"{}\"\n", path.display());
    let node = Node::with_features(&config(discovery.address), &settings);
    let (told, settings) = (
        write_config(&config(discovery.address).to_string()),
        write_config(&settings),
    );
    let second = command()
        .env("LB_CONFIG", told)
        .arg("--features")
        .arg(settings)
        .output()
        .unwrap();
    let error = String::from_utf8(second.stderr).unwrap();
    assert_eq!(
        (second.status.code(), error.lines().count()),
        (Some(1), 1),
        "{error}"
    );
    assert!(error.contains("another node writes there"), "{error}");
    assert_eq!(node.read("read", 1).status(), 200);
    std::fs::remove_file(path).unwrap();
}

// Guards against a full disk that stops service.
#[test]
fn an_audit_trail_that_cannot_be_written_is_reported_and_requests_are_served() {
    let server = CacheServer::serving("value");
    let discovery = Discovery::start(&[server.entry("s-1", "ready")]);
    let node = Node::with_features(
        &config(discovery.address),
        "[audit]\npath = \"/dev/full\"\n",
    );
    let said = || {
        node.log
            .lock()
            .unwrap()
            .iter()
            .any(|line| line.starts_with("audit: a record is not written"))
    };
    wait_for("word of the error", said);
    assert_eq!(node.read("read", 1).status(), 200);
    node.terminate();
    assert!(node.exit().success());
}

// Guards against a trail that goes nowhere where no path is set.
#[test]
fn an_audit_trail_without_a_path_goes_to_standard_error() {
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
    wait_for("a switch", || records().contains("\"event\":\"health\""));
    let path = write_config(&records());
    assert_eq!(
        verify(&path),
        (format!("ok {}\n", records().lines().count()), Some(0))
    );
    std::fs::remove_file(path).unwrap();
}
