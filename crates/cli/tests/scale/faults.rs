//! Faults during a run, and the recovery of all nodes.

use crate::scale_run::{command, text, ReportFile};
use serde_json::Value;

/// Returns the report of a short run with a fault of this kind and duration.
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

/// Checks whether all nodes received the list change at the end of the fault.
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
        // Shorter than the time for which discovery is down, so that leases expire.
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
        "no lease expired: {report}"
    );
}

// Guards against a fleet that does not recover after discovery was down.
#[test]
fn all_nodes_are_up_to_date_after_discovery_was_down() {
    let report = report_with_fault("discovery-down", "1.5");
    assert!(has_recovered(&report), "{report}");
    // At least the watch of each of the 11 nodes.
    assert!(
        report["trouble"]["counts"]["resets"].as_u64() >= Some(11),
        "{report}"
    );
    assert!(
        report["trouble"]["failed_calls"].as_u64() >= Some(9),
        "{report}"
    );
}

// Guards against nodes that keep an outdated endpoint list after a partition.
#[test]
fn all_nodes_are_up_to_date_after_a_network_partition() {
    let report = report_with_fault("split", "1.5");
    assert!(has_recovered(&report), "{report}");
    // At least the watches of the partitioned nodes 1, 3, 5, 7 and 9.
    assert!(
        report["trouble"]["counts"]["resets"].as_u64() >= Some(5),
        "{report}"
    );
}

// Guards against nodes that are not notified of the loss or of the return of a zone.
#[test]
fn all_nodes_are_notified_of_the_loss_and_return_of_a_zone() {
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
        "three planned changes, the loss and the return of the zone"
    );
}

// Guards against nodes that have no endpoint list after a restart.
#[test]
fn restarted_tenth_of_the_nodes_fetches_a_snapshot_again() {
    let report = report_with_fault("restart-tenth", "0");
    let restarted = &report["trouble"]["restarted"];
    let count = |kind: &str| restarted[kind]["count"].as_u64().unwrap();
    // A tenth of 11 nodes, rounded up.
    assert_eq!(count("real") + count("simulated"), 2, "{report}");
    assert_eq!(report["trouble"]["counts"]["whole_answers"], 2, "{report}");
}
