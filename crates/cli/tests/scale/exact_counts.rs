//! Exact counts of step-wise runs.

use crate::control_counts::ControlCounts;
use crate::scale_run::{command, text, BackgroundRun, EndedRun, ReportFile};

// Guards against nodes that make unnecessary calls or fetch unnecessary entries, against counts
// that vary from run to run, and against processes that outlive the run.
#[test]
fn step_wise_run_has_exact_counts_and_ends_its_processes() {
    let file = ReportFile::new("exact");
    let arguments = [
        "--real=1",
        "--simulated=6",
        "--workers=2",
        "--servers=20",
        "--length=3",
        "--list-changes=1",
        "--step-wise",
        "--seed=7",
        "--json",
        file.path(),
    ];
    let EndedRun {
        output,
        processes_left,
    } = BackgroundRun::start(&arguments, 3).wait();
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(processes_left, 0, "processes of the run are still running");
    let report = file.read();
    assert_eq!(report["behind_at_end"], 0);
    assert_eq!(report["counts"]["list_changes"], 3);
    let node = ControlCounts::of_caller(1, 3, 20);
    assert_eq!(ControlCounts::of_group(&report, "real"), node);
    assert_eq!(ControlCounts::of_group(&report, "simulated"), node.times(6));
    let table = text(&output.stdout);
    assert!(
        table.contains("a real node ") && table.contains("a simulated node "),
        "{table}"
    );
    let stderr = text(&output.stderr);
    assert!(
        stderr.starts_with("estimated: 4 processes, "),
        "the estimate is not printed first: {stderr}"
    );
}

// Guards against relays that forward calls, fetch more than one caller would, or alter an answer,
// and against counts of one tier that are added to another tier.
#[test]
fn each_relay_counts_as_one_caller_and_answers_as_discovery_does() {
    let file = ReportFile::new("relays");
    let arguments = [
        "--real=0",
        "--simulated=6",
        "--workers=2",
        "--servers=20",
        "--length=3",
        "--list-changes=1",
        "--relays=2,3",
        // With this lease watches wait 60 s, so that no watch ends within the run.
        "--relay-lease-ms=180000",
        "--step-wise",
        "--seed=7",
        "--json",
        file.path(),
    ];
    let EndedRun {
        output,
        processes_left,
    } = BackgroundRun::start(&arguments, 7).wait();
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(processes_left, 0, "processes of the run are still running");
    let report = file.read();
    assert_eq!(report["behind_at_end"], 0);
    let caller = ControlCounts::of_caller(1, 3, 20);
    let at_tier = |tier: usize| ControlCounts::read(&report["relays"][tier]["callers"]);
    assert_eq!(
        ControlCounts::of_group(&report, "discovery"),
        caller.times(2)
    );
    assert_eq!(at_tier(0), caller.times(3));
    assert_eq!(at_tier(1), caller.times(6));
    assert_eq!(ControlCounts::of_group(&report, "simulated"), at_tier(1));
    for tier in 0..2 {
        assert_eq!(report["relays"][tier]["upstream_failed"], 0);
    }
    let table = text(&output.stdout);
    assert!(
        table.contains("a relay, tier 2 ") && table.contains("relays by tier"),
        "{table}"
    );
}

// Guards against a new configuration that makes a node fetch more than one snapshot.
#[test]
fn new_configuration_makes_each_node_fetch_one_snapshot() {
    let file = ReportFile::new("configuration");
    let arguments = [
        "--real=1",
        "--simulated=4",
        "--workers=1",
        "--servers=10",
        "--length=2",
        "--seed=3",
        "--list-changes=0",
        "--configurations=0.5",
        "--step-wise",
        "--json",
        file.path(),
    ];
    let output = command(&arguments).output().unwrap();
    assert!(output.status.success(), "{}", text(&output.stderr));
    let report = file.read();
    assert_eq!(report["counts"]["configurations"], 1);
    assert_eq!(report["configuration"]["to_each_node"]["count"], 5);
    let node = ControlCounts::of_caller(2, 0, 10);
    assert_eq!(ControlCounts::of_group(&report, "real"), node);
    assert_eq!(ControlCounts::of_group(&report, "simulated"), node.times(4));
}
