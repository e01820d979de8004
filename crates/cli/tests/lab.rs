//! The lab through its command: short scenarios against this binary, with the same verdict every time.

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

/// A folder of this test's own; it goes with the test.
struct Folder(PathBuf);

impl Folder {
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

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

const DAY: &str =
    "about = \"short\"\nseconds = 2\nseed = 5\n[load]\nrate = 80\n[expect]\nserved = 0.3\n";

// Guards against nodes that break a rule when servers, nodes and discovery fail under load.
#[test]
fn rules_hold_in_short_scenarios_with_faults() {
    let folder = Folder::new("trouble");
    let day = |name: &str, faults: &str| {
        folder.write(name, &format!("{}{faults}", DAY.replace("= 2\n", "= 4\n")))
    };
    let fault =
        |kind: &str, rest: &str| format!("[[fault]]\nat_s = 0.6\nkind = \"{kind}\"\n{rest}\n");
    let files = [
        day(
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
        day(
            "network.toml",
            &[
                fault("cut", "for_s = 1\nzone = \"b\""),
                fault("discovery_refuses", "for_s = 1"),
                fault("garbage", "for_s = 1\nservers = [0]"),
                fault("reset", "for_s = 1\nservers = [2]"),
            ]
            .concat(),
        ),
        day(
            "nodes.toml",
            &[
                fault("node_kill", "for_s = 1\nnodes = [0]"),
                fault("node_hup", "nodes = [1]"),
            ]
            .concat(),
        ),
        day(
            "restart.toml",
            &fault("node_term", "nodes = [0, 1]\napart_s = 0.8"),
        ),
    ];
    let files: Vec<_> = ["lab", "run"]
        .into_iter()
        .chain(files.iter().map(String::as_str))
        .collect();
    let run = slatelink(&files);
    assert!(
        run.status.success(),
        "{}{}",
        text(&run.stdout),
        text(&run.stderr)
    );
}

// Guards against reports that cannot be read back, and a seed that plays another day.
#[test]
fn reports_are_written_and_read_back_and_equal_seeds_give_equal_load() {
    let folder = Folder::new("reports");
    let day = folder.write("day.toml", DAY);
    let out = folder.0.join("out");
    let run = slatelink(&[
        "lab",
        "run",
        &day,
        "--json",
        "--repeat",
        "2",
        "--out",
        &out.display().to_string(),
    ]);
    assert!(run.status.success(), "{}", text(&run.stderr));
    let printed = text(&run.stdout);
    let reports: Vec<Value> = printed
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(reports.len(), 2);
    assert_ne!(reports[0]["all"]["asked"], 0);
    let again = slatelink(&["lab", "run", &day, "--json", "--log-format", "json"]);
    let logged: Value = serde_json::from_str(text(&again.stderr).lines().next().unwrap()).unwrap();
    assert_eq!(
        (&logged["message"], &logged["process_event"]),
        (&"node process event".into(), &"Ready".into())
    );
    let again: Value = serde_json::from_str(text(&again.stdout).trim()).unwrap();
    assert_eq!(again["all"]["asked"], reports[0]["all"]["asked"]);
    let page = fs::read_to_string(out.join("day-5.html")).unwrap();
    assert!(page.matches("<svg").count() == 5 && page.contains("day: <span class=\"well\">holds"));
    let json = |seed: u32| out.join(format!("day-{seed}.json")).display().to_string();
    let compared = slatelink(&["lab", "compare", &json(5), &json(6)]);
    assert!(text(&compared.stdout).contains("not the same day"));
    assert!(text(&compared.stdout).contains("worth in time"));
}

// Guards against a verdict that is lost in an exit code, and errors that do not say where.
#[test]
fn exit_codes_distinguish_success_a_broken_rule_and_an_unusable_scenario() {
    let folder = Folder::new("codes");
    let hopeless = folder.write(
        "hopeless.toml",
        &DAY.replace("seconds = 2", "seconds = 1")
            .replace("served = 0.3", "p99_ms = 0.01"),
    );
    let run = slatelink(&["lab", "run", &hopeless]);
    assert_eq!(run.status.code(), Some(1));
    assert!(
        text(&run.stdout).contains("not as expected: p99_ms is"),
        "{}",
        text(&run.stdout)
    );
    let wrong = folder.write("wrong.toml", &DAY.replace("rate", "rat"));
    let run = slatelink(&["lab", "run", &wrong]);
    assert_eq!(run.status.code(), Some(2));
    assert!(
        text(&run.stderr).contains("wrong.toml line 5: unknown field `rat`"),
        "{}",
        text(&run.stderr)
    );
    let run = slatelink(&["lab", "run", "no-such.toml"]);
    assert_eq!(run.status.code(), Some(2));
    let day = folder.write("day.toml", DAY);
    let run = slatelink(&["lab", "run", &day, "--node", "/no/such/binary"]);
    assert!(
        text(&run.stderr).contains("cannot start /no/such/binary"),
        "{}",
        text(&run.stderr)
    );
    // A node that ends at once is told of, and nothing hangs.
    let run = slatelink(&["lab", "run", &day, "--node", "/bin/false"]);
    assert!(
        text(&run.stderr).contains("did not become ready"),
        "{}",
        text(&run.stderr)
    );
}

#[test]
fn the_scenarios_of_the_repository_can_all_be_read() {
    let scenarios = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios");
    let list = slatelink(&["lab", "list", scenarios]);
    assert!(list.status.success(), "{}", text(&list.stderr));
    assert!(text(&list.stdout).lines().count() >= 12);
}

// Guards against a fleet that cannot be asked, or that leaves its processes behind.
#[test]
fn a_fleet_starts_prints_how_to_call_it_and_ends() {
    let up = slatelink(&["up", "--servers", "3", "--nodes", "2", "--for", "2s"]);
    let told = text(&up.stdout);
    assert!(up.status.success(), "{told}{}", text(&up.stderr));
    assert!(
        told.contains("curl -i -H 'Req-Id: by-hand-1'") && told.contains("up: holds"),
        "{told}"
    );
    for line in told.lines().filter(|line| line.starts_with("node n")) {
        let pid = line.rsplit(' ').next().unwrap();
        assert!(
            !PathBuf::from(format!("/proc/{pid}")).exists(),
            "process {pid} is left behind"
        );
    }
    let bad = slatelink(&["up", "--for", "3 days"]);
    assert_eq!(bad.status.code(), Some(2));
    assert!(text(&bad.stderr).contains("a time from 1s to 1h was expected"));
}

// Guards against processes that outlive the run which started them.
#[test]
fn an_interrupt_ends_a_fleet_in_order_and_leaves_no_process() {
    let mut up = Command::new(env!("CARGO_BIN_EXE_slatelink"))
        .arg("up")
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(up.stdout.take().unwrap()).lines();
    let first = lines.next().unwrap().unwrap();
    let node = PathBuf::from(format!("/proc/{}", first.rsplit(' ').next().unwrap()));
    assert!(node.exists(), "{first}");
    let sent = Command::new("kill")
        .args(["-INT", &up.id().to_string()])
        .status()
        .unwrap();
    assert!(sent.success());
    let rest: Vec<_> = lines.map_while(Result::ok).collect();
    assert!(up.wait().unwrap().success(), "{rest:?}");
    assert!(!node.exists(), "the node lives on");
    assert!(
        rest.iter().any(|line| line.starts_with("up: holds")),
        "a summary: {rest:?}"
    );
}

// Guards against a node's death that goes unnoticed, or that a run waits for in vain.
#[test]
fn a_node_that_dies_is_a_broken_rule() {
    let mut up = Command::new(env!("CARGO_BIN_EXE_slatelink"))
        .args(["up", "--nodes", "2", "--for", "2s"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(up.stdout.take().unwrap()).lines();
    let first = lines.next().unwrap().unwrap();
    let killed = Command::new("kill")
        .args(["-KILL", first.rsplit(' ').next().unwrap()])
        .status()
        .unwrap();
    assert!(killed.success());
    let rest: Vec<_> = lines.map_while(Result::ok).collect();
    assert_eq!(up.wait().unwrap().code(), Some(1), "{rest:?}");
    assert!(
        rest.iter()
            .any(|line| line.contains("node 0 ended at") && line.contains("signal: 9")),
        "{rest:?}"
    );
}
