//! The commands `lab` and `up`, run as processes: verdicts, reports, exit codes and cleanup.

use serde_json::Value;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

fn slatelink(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_slatelink"))
        .args(arguments)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Temporary folder of one test, deleted on drop.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("slatelink-test-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Scenario without faults that runs for 2 s.
const SHORT_SCENARIO: &str =
    "about = \"short\"\nseconds = 2\nseed = 5\n[load]\nrate = 80\n[expect]\nserved = 0.3\n";

// Guards against nodes that break a rule when servers, nodes or discovery fail under load.
#[test]
fn rules_hold_in_short_scenarios_with_faults() {
    let folder = TestFolder::new("faults");
    let write_scenario = |name: &str, faults: &str| {
        folder.write(
            name,
            &format!("{}{faults}", SHORT_SCENARIO.replace("= 2\n", "= 4\n")),
        )
    };
    let fault = |kind: &str, settings: &str| {
        format!("[[fault]]\nat_s = 0.6\nkind = \"{kind}\"\n{settings}\n")
    };
    let files = [
        write_scenario(
            "servers.toml",
            &[
                fault("kill", "for_s = 1\nservers = [0]"),
                fault("hang", "for_s = 1\nservers = [1]"),
                fault("half", "for_s = 1\nservers = [2]"),
                fault("drain", "for_s = 1\nback_s = 0.5\nservers = [3]"),
                fault("replace", "servers = [4]"),
            ]
            .concat(),
        ),
        write_scenario(
            "network.toml",
            &[
                fault("cut", "for_s = 1\nzone = \"b\""),
                fault("discovery_refuses", "for_s = 1"),
                fault("garbage", "for_s = 1\nservers = [0]"),
                fault("reset", "for_s = 1\nservers = [2]"),
            ]
            .concat(),
        ),
        write_scenario(
            "nodes.toml",
            &[
                fault("node_kill", "for_s = 1\nnodes = [0]"),
                fault("node_hup", "nodes = [1]"),
            ]
            .concat(),
        ),
        write_scenario(
            "restart.toml",
            &fault("node_term", "nodes = [0, 1]\napart_s = 0.8"),
        ),
    ];
    let command_line: Vec<_> = ["lab", "run"]
        .into_iter()
        .chain(files.iter().map(String::as_str))
        .collect();
    let run = slatelink(&command_line);
    assert!(
        run.status.success(),
        "{}{}",
        text(&run.stdout),
        text(&run.stderr)
    );
}

// Guards against reports that `lab compare` cannot read, and against a seed whose load differs from
// run to run.
#[test]
fn reports_are_written_and_read_back_and_equal_seeds_give_equal_load() {
    let folder = TestFolder::new("reports");
    let scenario = folder.write("short.toml", SHORT_SCENARIO);
    let out = folder.0.join("out");
    let run = slatelink(&[
        "lab",
        "run",
        &scenario,
        "--json",
        "--repeat",
        "2",
        "--out",
        &out.display().to_string(),
    ]);
    assert!(run.status.success(), "{}", text(&run.stderr));
    let json_lines = text(&run.stdout);
    let reports: Vec<Value> = json_lines
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(reports.len(), 2);
    assert_ne!(reports[0]["all"]["asked"], 0);
    let second_run = slatelink(&["lab", "run", &scenario, "--json", "--log-format", "json"]);
    let log_entry: Value =
        serde_json::from_str(text(&second_run.stderr).lines().next().unwrap()).unwrap();
    assert_eq!(
        (&log_entry["message"], &log_entry["life"]),
        (&"node process event".into(), &"Ready".into())
    );
    let second_report: Value = serde_json::from_str(text(&second_run.stdout).trim()).unwrap();
    assert_eq!(second_report["all"]["asked"], reports[0]["all"]["asked"]);
    let page = fs::read_to_string(out.join("short-5.html")).unwrap();
    assert!(
        page.matches("<svg").count() == 5 && page.contains("short: <span class=\"well\">holds")
    );
    let json_path = |seed: u32| out.join(format!("short-{seed}.json")).display().to_string();
    let comparison = slatelink(&["lab", "compare", &json_path(5), &json_path(6)]);
    assert!(text(&comparison.stdout).contains("are different loads"));
    assert!(text(&comparison.stdout).contains("worth in time"));
}

// Guards against an exit code that hides a broken rule or an unreadable scenario, and against
// errors that do not name the file and the line.
#[test]
fn exit_codes_distinguish_success_a_broken_rule_and_an_unusable_scenario() {
    let folder = TestFolder::new("codes");
    let failing = folder.write(
        "failing.toml",
        &SHORT_SCENARIO
            .replace("seconds = 2", "seconds = 1")
            .replace("served = 0.3", "p99_ms = 0.01"),
    );
    let run = slatelink(&["lab", "run", &failing]);
    assert_eq!(run.status.code(), Some(1));
    assert!(
        text(&run.stdout).contains("not as expected: p99_ms is"),
        "{}",
        text(&run.stdout)
    );
    let invalid = folder.write("invalid.toml", &SHORT_SCENARIO.replace("rate", "rat"));
    let run = slatelink(&["lab", "run", &invalid]);
    assert_eq!(run.status.code(), Some(2));
    assert!(
        text(&run.stderr).contains("invalid.toml line 5: unknown field `rat`"),
        "{}",
        text(&run.stderr)
    );
    let run = slatelink(&["lab", "run", "no-such.toml"]);
    assert_eq!(run.status.code(), Some(2));
    let scenario = folder.write("short.toml", SHORT_SCENARIO);
    let run = slatelink(&["lab", "run", &scenario, "--node", "/no/such/binary"]);
    assert!(
        text(&run.stderr).contains("cannot start /no/such/binary"),
        "{}",
        text(&run.stderr)
    );
    // A node that exits at once is reported, and the command does not hang.
    let run = slatelink(&["lab", "run", &scenario, "--node", "/bin/false"]);
    assert!(
        text(&run.stderr).contains("did not become ready"),
        "{}",
        text(&run.stderr)
    );
}

#[test]
fn all_scenarios_of_the_repository_are_valid() {
    let scenarios = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let list = slatelink(&["lab", "list", scenarios]);
    assert!(list.status.success(), "{}", text(&list.stderr));
    assert!(text(&list.stdout).lines().count() >= 12);
}

// Guards against a fleet that prints no example request, or whose processes outlive the
// command.
#[test]
fn a_fleet_prints_an_example_request_and_ends_after_its_duration() {
    let up = slatelink(&["up", "--servers", "3", "--nodes", "2", "--for", "2s"]);
    let stdout_text = text(&up.stdout);
    assert!(up.status.success(), "{stdout_text}{}", text(&up.stderr));
    assert!(
        stdout_text.contains("curl -i -H 'Req-Id: by-hand-1'") && stdout_text.contains("up: holds"),
        "{stdout_text}"
    );
    for line in stdout_text
        .lines()
        .filter(|line| line.starts_with("node n"))
    {
        let pid = line.rsplit(' ').next().unwrap();
        assert!(
            !PathBuf::from(format!("/proc/{pid}")).exists(),
            "process {pid} is still running"
        );
    }
    let rejected = slatelink(&["up", "--for", "3 days"]);
    assert_eq!(rejected.status.code(), Some(2));
    assert!(text(&rejected.stderr).contains("expected a duration from 1s to 1h"));
}

// Guards against nodes that keep running after SIGINT has stopped the command that started them.
#[test]
fn an_interrupt_stops_a_fleet_gracefully_and_leaves_no_process() {
    let mut up = Command::new(env!("CARGO_BIN_EXE_slatelink"))
        .arg("up")
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(up.stdout.take().unwrap()).lines();
    let first_line = lines.next().unwrap().unwrap();
    let node = PathBuf::from(format!("/proc/{}", first_line.rsplit(' ').next().unwrap()));
    assert!(node.exists(), "{first_line}");
    let interrupt = Command::new("kill")
        .args(["-INT", &up.id().to_string()])
        .status()
        .unwrap();
    assert!(interrupt.success());
    let remaining_lines: Vec<_> = lines.map_while(Result::ok).collect();
    assert!(up.wait().unwrap().success(), "{remaining_lines:?}");
    assert!(!node.exists(), "the node is still running");
    assert!(
        remaining_lines
            .iter()
            .any(|line| line.starts_with("up: holds")),
        "no summary line: {remaining_lines:?}"
    );
}

// Guards against a killed node that is not reported, or for whose exit the run waits forever.
#[test]
fn a_killed_node_is_reported_as_a_broken_rule() {
    let mut up = Command::new(env!("CARGO_BIN_EXE_slatelink"))
        .args(["up", "--nodes", "2", "--for", "2s"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(up.stdout.take().unwrap()).lines();
    let first_line = lines.next().unwrap().unwrap();
    let kill = Command::new("kill")
        .args(["-KILL", first_line.rsplit(' ').next().unwrap()])
        .status()
        .unwrap();
    assert!(kill.success());
    let remaining_lines: Vec<_> = lines.map_while(Result::ok).collect();
    assert_eq!(up.wait().unwrap().code(), Some(1), "{remaining_lines:?}");
    assert!(
        remaining_lines
            .iter()
            .any(|line| line.contains("node 0 ended at") && line.contains("signal: 9")),
        "{remaining_lines:?}"
    );
}
