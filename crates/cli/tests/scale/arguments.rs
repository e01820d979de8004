//! Arguments that the command rejects before it starts any process.

use crate::scale_run::{command, text};
use std::process::Output;

/// Exit code for arguments that cannot be used.
const EXIT_UNUSABLE: Option<i32> = Some(2);

/// Asserts that the command rejects the arguments with this reason and prints no report.
fn assert_rejected(arguments: &[&str], reason: &str) {
    let Output {
        status,
        stdout,
        stderr,
    } = command(arguments).output().unwrap();
    let stderr = text(&stderr);
    assert_eq!(status.code(), EXIT_UNUSABLE, "{arguments:?}: {stderr}");
    assert!(stderr.contains(reason), "{arguments:?}: {stderr}");
    assert_eq!(text(&stdout), "", "{arguments:?}");
}

// Guards against a run that needs more memory or processes than the machine has.
#[test]
fn run_beyond_the_limits_of_the_machine_is_rejected_before_it_starts() {
    assert_rejected(
        &["--simulated=90000", "--servers=90000"],
        "MiB of memory, but half of this machine's memory is ",
    );
    assert_rejected(
        &["--real=300"],
        "the run would need 305 processes, but the limit is 300",
    );
}

// Guards against a run that starts with unusable arguments and measures nothing.
#[test]
fn invalid_arguments_are_rejected_with_the_reason() {
    assert_rejected(
        &["--real=0", "--simulated=0"],
        "no nodes: --real or --simulated must be at least 1",
    );
    assert_rejected(
        &["--servers=2", "--zones=3"],
        "2 servers cannot be distributed over 3 zones",
    );
    assert_rejected(
        &["--length=0"],
        "--length is 0: expected a number from 1 to 86400",
    );
    assert_rejected(&["--list-changes=NaN"], "--list-changes is NaN");
    assert_rejected(&["--requests=-1"], "--requests is -1");
    assert_rejected(&["--workers=0"], "--workers is 0");
    assert_rejected(
        &["--length=9000", "--list-changes=100"],
        "900000 changes are planned",
    );
    assert_rejected(&["--trouble=zone-lost", "--zones=1"], "at least 2 zones");
    assert_rejected(
        &["--trouble=split", "--trouble-at=25"],
        "does not end within the run's 30 s",
    );
    assert_rejected(&["--trouble-at=3"], "--trouble");
    assert_rejected(&["--relays=2"], "1 real nodes requested with relays");
    assert_rejected(&["--real=0", "--relays=2,0"], "--relays is 0");
    assert_rejected(
        &["--real=0", "--relays=2,3,4"],
        "3 tiers of relays requested: at most 2",
    );
    assert_rejected(
        &["--real=0", "--relays=2", "--trouble=split"],
        "--trouble=split cannot be combined with --relays",
    );
    assert_rejected(
        &["--real=0", "--relays=2", "--relay-lease-ms=9"],
        "--relay-lease-ms is 9",
    );
    assert_rejected(
        &["--real=0", "--relays=200,200"],
        "405 processes, but the limit is 300",
    );
    assert_rejected(&["--trouble=flood"], "discovery-down");
    assert_rejected(
        &["--json=/nowhere/report.json"],
        "cannot write /nowhere/report.json: ",
    );
}
