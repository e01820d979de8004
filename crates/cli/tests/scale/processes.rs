//! End of all processes of a run that is interrupted or killed.

use crate::scale_run::{text, wait_for, BackgroundRun, EndedRun};
use rustix::process::Signal;

/// Exit code of an interrupted run.
const EXIT_INTERRUPTED: Option<i32> = Some(1);

// Guards against processes that outlive an interrupted run.
#[test]
fn interrupted_run_ends_all_processes_that_it_started() {
    let with_nodes = ["--real=2", "--simulated=6", "--workers=2", "--length=600"];
    let with_relays = [
        "--real=0",
        "--simulated=6",
        "--workers=1",
        "--relays=1,2",
        "--length=600",
    ];
    for (signal, arguments) in [
        (Signal::INT, &with_nodes[..]),
        (Signal::TERM, &with_nodes[..]),
        (Signal::INT, &with_relays[..]),
        (Signal::TERM, &with_relays[..]),
    ] {
        let run = BackgroundRun::start(arguments, 4);
        run.signal(signal);
        let EndedRun {
            output,
            processes_left,
        } = run.wait();
        assert_eq!(output.status.code(), EXIT_INTERRUPTED);
        assert!(
            text(&output.stderr).contains("slatelink: stopped"),
            "{}",
            text(&output.stderr)
        );
        assert_eq!(processes_left, 0, "processes of the run are still running");
    }
}

// Guards against workers that outlive a killed run, which cannot end its processes itself.
#[test]
fn workers_end_when_the_run_is_killed() {
    let mut run = BackgroundRun::start(
        &["--real=0", "--simulated=6", "--workers=3", "--length=600"],
        3,
    );
    run.child.kill().unwrap();
    run.child.wait().unwrap();
    wait_for("the end of the workers", || !run.has_running_processes());
}
