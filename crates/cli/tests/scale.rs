//! The scale run through its command: exact counts of a small run, refusals, troubles, and that nothing is left of it.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

const UNUSABLE: Option<i32> = Some(2);
const BROKEN: Option<i32> = Some(1);
/// What is waited for comes long before this.
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(10);

fn scale(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatelink"));
    command.args(["lab", "scale"]).args(arguments);
    command
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn eventually(what: &str, holds: impl Fn() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "{what} does not come");
        sleep(POLL);
    }
}

/// A report's file; it goes with the test.
struct Report(PathBuf);

impl Report {
    fn new(name: &str) -> Self {
        let name = format!("slatelink-test-{}-{name}.json", std::process::id());
        Self(std::env::temp_dir().join(name))
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }

    fn read(&self) -> Value {
        serde_json::from_slice(&fs::read(&self.0).unwrap()).unwrap()
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Processes that this one has started, and that run or wait for their parent to look at them.
fn children(parent: u32) -> BTreeSet<u32> {
    let processes = fs::read_dir("/proc").unwrap();
    let pids = processes.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    pids.filter(|pid| parent_of(*pid) == Some(parent)).collect()
}

fn parent_of(pid: u32) -> Option<u32> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // After the name, which may hold anything: state, parent.
    stat.rsplit_once(") ")?.1.split(' ').nth(1)?.parse().ok()
}

/// Whether a process runs that has this command's binary: a number may be used again.
fn runs(pid: u32) -> bool {
    let binary = fs::read_link(format!("/proc/{pid}/exe"));
    binary.is_ok_and(|binary| binary == Path::new(env!("CARGO_BIN_EXE_slatelink")))
}

/// A run of its own, with so many processes up.
fn begun(arguments: &[&str], processes: usize) -> (Child, BTreeSet<u32>) {
    let mut command = scale(arguments);
    let run = command
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    eventually("the start of all processes", || {
        children(run.id()).len() == processes
    });
    let started = children(run.id());
    (run, started)
}

fn signal(run: &Child, signal: Signal) {
    kill_process(Pid::from_child(run), signal).unwrap();
}

/// Each kind of count, with a group's name.
fn counted(report: &Value, group: &str, names: [&str; 8]) -> [u64; 8] {
    figures(&report["counts"][group], names)
}

fn figures(counts: &Value, names: [&str; 8]) -> [u64; 8] {
    names.map(|name| counts[name].as_u64().unwrap())
}

const NAMES: [&str; 8] = [
    "whole_calls",
    "watch_calls",
    "call_bytes",
    "whole_answers",
    "change_answers",
    "answer_bytes",
    "entries",
    "connections",
];

/// The bytes of a call, with the port that a loopback address has.
fn call(target: &str) -> u64 {
    format!("GET {target} HTTP/1.1\r\nhost: 127.0.0.1:40000\r\n\r\n").len() as u64
}

/// The bytes of an answer with so many entries; those of changes say so.
fn answer(whole: bool, entries: u64, health: &str) -> u64 {
    let entry = format!(
        "{{\"host\":\"server-00000\",\"dial\":\"127.0.0.1:40000\",\"site\":\"zone-0\",\"class\":\"lab\",\"block\":0,\
         \"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}"
    );
    let commas = entries.saturating_sub(1);
    let list = format!("{{\"seq\":1,\"whole\":{whole},\"hosts\":[]}}");
    let body = list.len() as u64 + entries * entry.len() as u64 + commas;
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {body}\r\n\r\n"
    );
    head.len() as u64 + body
}

// Guards against nodes that ask more often or for more than they need, and against counts that come by chance. Also that
// the run ends what it started.
#[test]
fn a_step_wise_run_has_exact_message_counts_and_leaves_no_process() {
    let file = Report::new("exact");
    let arguments = [
        "--real=1",
        "--simulated=6",
        "--workers=2",
        "--servers=20",
        "--length=3",
        "--list-changes=1",
    ];
    let more = ["--step-wise", "--seed=7", "--json", file.path()];
    let (run, started) = begun(&[&arguments[..], &more[..]].concat(), 3);
    let output = run.wait_with_output().unwrap();
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(
        started.into_iter().filter(|pid| runs(*pid)).count(),
        0,
        "its processes have ended"
    );
    let report = file.read();
    assert_eq!(report["behind_at_end"], 0);
    assert_eq!(report["counts"]["list_changes"], 3);
    // Each node: one whole list, three changes, and a watch that waits at the end.
    let call_bytes = call("/v1/servers") + 4 * call("/v1/servers?after=1&wait_ms=60000");
    let answer_bytes = answer(true, 20, "ready") + 3 * answer(false, 1, "draining");
    let node = [1, 4, call_bytes, 1, 3, answer_bytes, 23, 1];
    assert_eq!(counted(&report, "real", NAMES), node);
    assert_eq!(
        counted(&report, "simulated", NAMES),
        node.map(|count| 6 * count)
    );
    let table = text(&output.stdout);
    assert!(
        table.contains("a real node ") && table.contains("a simulated node "),
        "{table}"
    );
    let said = text(&output.stderr);
    assert!(
        said.starts_with("estimated: 4 processes, "),
        "the bounds are stated first: {said}"
    );
}

// Guards against relays that pass calls through, ask for more than one caller would, or change what an answer says; and
// against counts of one place that go to another.
#[test]
fn each_relay_is_one_caller_and_nodes_get_the_lists_of_discovery() {
    let file = Report::new("relays");
    let arguments = [
        "--real=0",
        "--simulated=6",
        "--workers=2",
        "--servers=20",
        "--length=3",
        "--list-changes=1",
    ];
    // A watch of 60 s, so that none ends within the run.
    let more = [
        "--relays=2,3",
        "--relay-lease-ms=180000",
        "--step-wise",
        "--seed=7",
        "--json",
        file.path(),
    ];
    let (run, started) = begun(&[&arguments[..], &more[..]].concat(), 7);
    let output = run.wait_with_output().unwrap();
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(
        started.into_iter().filter(|pid| runs(*pid)).count(),
        0,
        "its processes have ended"
    );
    let report = file.read();
    assert_eq!(report["behind_at_end"], 0);
    // A caller at any place: one whole list, three changes, and a watch that waits at the end.
    let call_bytes = call("/v1/servers") + 4 * call("/v1/servers?after=1&wait_ms=60000");
    let answer_bytes = answer(true, 20, "ready") + 3 * answer(false, 1, "draining");
    let caller = [1, 4, call_bytes, 1, 3, answer_bytes, 23, 1];
    let at_tier = |tier: usize| figures(&report["relays"][tier]["callers"], NAMES);
    assert_eq!(
        counted(&report, "discovery", NAMES),
        caller.map(|count| 2 * count)
    );
    assert_eq!(at_tier(0), caller.map(|count| 3 * count));
    assert_eq!(at_tier(1), caller.map(|count| 6 * count));
    assert_eq!(counted(&report, "simulated", NAMES), at_tier(1));
    for tier in 0..2 {
        assert_eq!(report["relays"][tier]["upstream_failed"], 0);
    }
    let table = text(&output.stdout);
    assert!(
        table.contains("a relay, tier 2 ") && table.contains("relays by tier"),
        "{table}"
    );
}

// Guards against nodes behind relays that do not come back after discovery was away.
#[test]
fn all_nodes_behind_relays_are_up_to_date_after_an_outage_of_discovery() {
    let file = Report::new("relays-discovery-down");
    let arguments = [
        "--real=0",
        "--simulated=9",
        "--workers=2",
        "--servers=9",
        "--length=4",
        "--seed=2",
    ];
    let trouble = [
        "--trouble=discovery-down",
        "--trouble-at=0.5",
        "--trouble-for=2.5",
    ];
    // Shorter than discovery is away.
    let more = [
        "--relays=2,3",
        "--relay-lease-ms=600",
        "--json",
        file.path(),
    ];
    let output = scale(&[&arguments[..], &trouble[..], &more[..]].concat())
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", text(&output.stderr));
    let report = file.read();
    assert!(
        report["behind_at_end"] == 0 && recovered(&report),
        "{report}"
    );
    assert!(
        report["relays"][1]["callers"]["refused"].as_u64() > Some(0),
        "leases ran out: {report}"
    );
}

// Guards against a restart or a new configuration that asks discovery more than once.
#[test]
fn a_new_configuration_is_one_complete_list_for_each_node() {
    let file = Report::new("configuration");
    let arguments = [
        "--real=1",
        "--simulated=4",
        "--workers=1",
        "--servers=10",
        "--length=2",
        "--seed=3",
    ];
    let more = [
        "--list-changes=0",
        "--configurations=0.5",
        "--step-wise",
        "--json",
        file.path(),
    ];
    let output = scale(&[&arguments[..], &more[..]].concat())
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", text(&output.stderr));
    let report = file.read();
    assert_eq!(report["counts"]["configurations"], 1);
    assert_eq!(report["configuration"]["to_each_node"]["count"], 5);
    let call_bytes = 2 * (call("/v1/servers") + call("/v1/servers?after=1&wait_ms=60000"));
    let node = [2, 2, call_bytes, 2, 0, 2 * answer(true, 10, "ready"), 20, 2];
    assert_eq!(counted(&report, "real", NAMES), node);
    assert_eq!(
        counted(&report, "simulated", NAMES),
        node.map(|count| 4 * count)
    );
}

/// A short run with a trouble; its report.
fn with_trouble(name: &str, lasts: &str) -> Value {
    let file = Report::new(name);
    let arguments = [
        "--real=2",
        "--simulated=9",
        "--workers=2",
        "--servers=9",
        "--length=3",
        "--seed=2",
    ];
    let more = [
        "--trouble",
        name,
        "--trouble-at=0.5",
        "--trouble-for",
        lasts,
        "--json",
        file.path(),
    ];
    let output = scale(&[&arguments[..], &more[..]].concat())
        .output()
        .unwrap();
    assert!(output.status.success(), "{name}: {}", text(&output.stderr));
    let report = file.read();
    assert_eq!(report["behind_at_end"], 0, "{name}");
    assert_eq!(report["trouble"]["kind"], name);
    report
}

/// Whether all nodes had the change that ends the trouble.
fn recovered(report: &Value) -> bool {
    report["trouble"]["recovered_ms"]
        .as_f64()
        .is_some_and(|ms| ms > 0.0)
}

// Guards against a fleet that does not come back after discovery was away.
#[test]
fn all_nodes_are_up_to_date_after_an_outage_of_discovery() {
    let report = with_trouble("discovery-down", "1.5");
    assert!(recovered(&report), "{report}");
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

// Guards against nodes that stay with what they had when they were cut off.
#[test]
fn all_nodes_are_up_to_date_after_a_partition() {
    let report = with_trouble("split", "1.5");
    assert!(recovered(&report), "{report}");
    // Nodes 1, 3, 5, 7 and 9, whose watches come to nothing.
    assert!(
        report["trouble"]["counts"]["resets"].as_u64() >= Some(5),
        "{report}"
    );
}

// Guards against a lost zone that nodes learn of in part, or not of its return.
#[test]
fn all_nodes_are_notified_that_a_zone_is_lost_and_back() {
    let report = with_trouble("zone-lost", "1");
    assert!(recovered(&report), "{report}");
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

// Guards against restarted nodes that come back without a list.
#[test]
fn a_restarted_tenth_of_the_nodes_gets_its_list_again() {
    let report = with_trouble("restart-tenth", "0");
    let restarted = &report["trouble"]["restarted"];
    let count = |kind: &str| restarted[kind]["count"].as_u64().unwrap();
    // Of 11 nodes a tenth, rounded up.
    assert_eq!(count("real") + count("simulated"), 2, "{report}");
    assert_eq!(report["trouble"]["counts"]["whole_answers"], 2, "{report}");
}

// Guards against simulated nodes that only open sockets: their decision modules handle the requests that are drawn.
#[test]
fn requests_reach_the_decision_modules_and_the_real_nodes() {
    let file = Report::new("requests");
    let arguments = [
        "--real=1",
        "--simulated=4",
        "--workers=1",
        "--servers=6",
        "--length=3",
        "--seed=5",
    ];
    let more = ["--requests=20", "--json", file.path()];
    let output = scale(&[&arguments[..], &more[..]].concat())
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", text(&output.stderr));
    let report = file.read();
    let rate = |name: &str| report["simulated_node"][name].as_f64().unwrap();
    assert!(rate("requests_per_s") > 0.0, "{report}");
    assert_eq!(
        rate("sent_per_s"),
        rate("requests_per_s"),
        "all servers are ready: none is refused"
    );
    assert!(report["clients"]["served"].as_u64() > Some(0), "{report}");
    assert_eq!(
        report["real_node"]["control_processor_us_per_s"],
        Value::Null,
        "it cannot be told apart"
    );
}

fn refused(arguments: &[&str], why: &str) {
    let Output {
        status,
        stdout,
        stderr,
    } = scale(arguments).output().unwrap();
    let said = text(&stderr);
    assert_eq!(status.code(), UNUSABLE, "{arguments:?}: {said}");
    assert!(said.contains(why), "{arguments:?}: {said}");
    assert_eq!(text(&stdout), "", "{arguments:?}");
}

// Guards against a run that takes more than the machine has.
#[test]
fn a_run_over_the_machines_bounds_is_refused_before_it_starts() {
    refused(
        &["--simulated=90000", "--servers=90000"],
        "MiB of memory: half of this machine's is ",
    );
    refused(
        &["--real=300"],
        "the run would take 305 processes: 300 are the most",
    );
}

// Guards against figures that make no sense, and that would show as a run that measures nothing.
#[test]
fn invalid_arguments_are_refused_with_a_sentence() {
    refused(&["--real=0", "--simulated=0"], "there are no nodes");
    refused(
        &["--servers=2", "--zones=3"],
        "2 servers cannot be dealt out over 3 zones",
    );
    refused(
        &["--length=0"],
        "--length is 0: a number from 1 to 86400 is wanted",
    );
    refused(&["--list-changes=NaN"], "--list-changes is NaN");
    refused(&["--requests=-1"], "--requests is -1");
    refused(&["--workers=0"], "--workers is 0");
    refused(
        &["--length=9000", "--list-changes=100"],
        "900000 changes are planned",
    );
    refused(&["--trouble=zone-lost", "--zones=1"], "at least 2 zones");
    refused(
        &["--trouble=split", "--trouble-at=25"],
        "does not end within the run's 30 s",
    );
    refused(&["--trouble-at=3"], "--trouble");
    refused(&["--relays=2"], "1 real nodes are asked for with relays");
    refused(&["--real=0", "--relays=2,0"], "--relays is 0");
    refused(
        &["--real=0", "--relays=2,3,4"],
        "3 tiers of relays are asked for: at most 2",
    );
    refused(
        &["--real=0", "--relays=2", "--trouble=split"],
        "with relays between them there is none",
    );
    refused(
        &["--real=0", "--relays=2", "--relay-lease-ms=9"],
        "--relay-lease-ms is 9",
    );
    refused(
        &["--real=0", "--relays=200,200"],
        "405 processes: 300 are the most",
    );
    refused(&["--trouble=flood"], "discovery-down");
    refused(
        &["--json=/nowhere/report.json"],
        "cannot write /nowhere/report.json: ",
    );
}

// Guards against processes that outlive a run which is interrupted.
#[test]
fn an_interrupted_run_ends_all_that_it_started() {
    let with_nodes = ["--real=2", "--simulated=6", "--workers=2", "--length=600"];
    let with_relays = [
        "--real=0",
        "--simulated=6",
        "--workers=1",
        "--relays=1,2",
        "--length=600",
    ];
    for (by, arguments) in [
        (Signal::INT, &with_nodes[..]),
        (Signal::TERM, &with_nodes[..]),
        (Signal::INT, &with_relays[..]),
        (Signal::TERM, &with_relays[..]),
    ] {
        let (run, started) = begun(arguments, 4);
        signal(&run, by);
        let output = run.wait_with_output().unwrap();
        assert_eq!(output.status.code(), BROKEN);
        assert!(
            text(&output.stderr).contains("slatelink: stopped"),
            "{}",
            text(&output.stderr)
        );
        assert_eq!(
            started.into_iter().filter(|pid| runs(*pid)).count(),
            0,
            "its processes have ended"
        );
    }
}

// Guards against workers that stay when the run is killed and can end nothing itself.
#[test]
fn workers_end_with_a_run_that_is_killed() {
    let (mut run, started) = begun(
        &["--real=0", "--simulated=6", "--workers=3", "--length=600"],
        3,
    );
    run.kill().unwrap();
    run.wait().unwrap();
    eventually("the end of the workers", || {
        !started.iter().any(|pid| runs(*pid))
    });
}
