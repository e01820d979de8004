//! Faults during a run, and that all nodes recover from them.

use crate::scale_run::{command, text, ReportFile};
use serde_json::Value;

/// The report of a short run with a fault of this kind, which lasts so many seconds.
fn report_with_fault(kind: &str, duration_s: &str) -> Value {
    let file = ReportFile::new(kind);
    let arguments = [
        "--real=2",
        "--simulated=9",
        "--workers=2",
        "--servers=9",
        "--length=3",
        "--seed=2",
        "--trouble",
        kind,
        "--trouble-at=0.5",
        "--trouble-for",
        duration_s,
        "--json",
        file.path(),
    ];
    let output = command(&arguments).output().unwrap();
    assert!(output.status.success(), "{kind}: {}", text(&output.stderr));
    let report = file.read();
    assert_eq!(report["behind_at_end"], 0, "{kind}");
    assert_eq!(report["trouble"]["kind"], kind);
    report
}

/// Whether all nodes got the change that ends the fault.
fn has_recovered(report: &Value) -> bool {
    report["trouble"]["recovered_ms"]
        .as_f64()
        .is_some_and(|ms| ms > 0.0)
}

// Guards against nodes behind relays that do not recover after discovery was down.
#[test]
fn all_nodes_behind_relays_are_up_to_date_after_discovery_was_down() {
    let file = ReportFile::new("relays-discovery-down");
    let arguments = [
        "--real=0",
        "--simulated=9",
        "--workers=2",
        "--servers=9",
        "--length=4",
        "--seed=2",
        "--trouble=discovery-down",
        "--trouble-at=0.5",
        "--trouble-for=2.5",
        "--relays=2,3",
        // Shorter than discovery is down.
        "--relay-lease-ms=600",
        "--json",
        file.path(),
    ];
    let output = command(&arguments).output().unwrap();
    assert!(output.status.success(), "{}", text(&output.stderr));
    let report = file.read();
    assert!(
        report["behind_at_end"] == 0 && has_recovered(&report),
        "{report}"
    );
    assert!(
        report["relays"][1]["callers"]["refused"].as_u64() > Some(0),
        "leases expired: {report}"
    );
}

// Guards against a fleet that does not recover after discovery was down.
#[test]
fn all_nodes_are_up_to_date_after_discovery_was_down() {
    let report = report_with_fault("discovery-down", "1.5");
    assert!(has_recovered(&report), "{report}");
    // Each node's watch at least.
    assert!(
        report["trouble"]["counts"]["resets"].as_u64() >= Some(11),
        "{report}"
    );
    assert!(
        report["trouble"]["failed_calls"].as_u64() >= Some(9),
        "{report}"
    );
}

// Guards against nodes that keep the endpoint list of before the partition.
#[test]
fn all_nodes_are_up_to_date_after_a_network_partition() {
    let report = report_with_fault("split", "1.5");
    assert!(has_recovered(&report), "{report}");
    // The watches of nodes 1, 3, 5, 7 and 9, which are reset.
    assert!(
        report["trouble"]["counts"]["resets"].as_u64() >= Some(5),
        "{report}"
    );
}

// Guards against a lost zone that only some nodes are notified of, and against one whose return is missed.
#[test]
fn all_nodes_are_notified_that_a_zone_is_lost_and_back() {
    let report = report_with_fault("zone-lost", "1");
    assert!(has_recovered(&report), "{report}");
    assert!(
        report["trouble"]["to_last_node_ms"]
            .as_f64()
            .is_some_and(|ms| ms > 0.0),
        "{report}"
    );
    assert_eq!(
        report["counts"]["list_changes"], 5,
        "three planned, lost, back"
    );
}

// Guards against restarted nodes that come back without an endpoint list.
#[test]
fn a_restarted_tenth_of_the_nodes_gets_a_snapshot_again() {
    let report = report_with_fault("restart-tenth", "0");
    let restarted = &report["trouble"]["restarted"];
    let count = |kind: &str| restarted[kind]["count"].as_u64().unwrap();
    // Of 11 nodes a tenth, rounded up.
    assert_eq!(count("real") + count("simulated"), 2, "{report}");
    assert_eq!(report["trouble"]["counts"]["whole_answers"], 2, "{report}");
}
