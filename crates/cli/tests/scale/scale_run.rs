//! The scale run's command, its report and the processes that it starts.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Far longer than anything that is waited for here takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The command of a scale run with these arguments.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatelink"));
    command.args(["lab", "scale"]).args(arguments);
    command
}

/// What a process wrote, as text.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "{what} does not come");
        sleep(POLL_INTERVAL);
    }
}

/// The file of a run's report; it is removed when dropped.
pub struct ReportFile(PathBuf);

impl ReportFile {
    /// A path of its own for a test; the run makes the file.
    pub fn new(name: &str) -> Self {
        let name = format!("slatelink-test-{}-{name}.json", std::process::id());
        Self(std::env::temp_dir().join(name))
    }

    /// Its path, as an argument.
    pub fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }

    /// The report that a run has written.
    pub fn read(&self) -> Value {
        serde_json::from_slice(&fs::read(&self.0).unwrap()).unwrap()
    }
}

impl Drop for ReportFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// What is known once a run has ended.
pub struct EndedRun {
    /// Its exit status and what it printed.
    pub output: Output,
    /// How many of the processes that it started were still running.
    pub processes_left: usize,
}

/// A run in the background, and the processes that it has started.
pub struct BackgroundRun {
    pub child: Child,
    started: BTreeSet<u32>,
}

impl BackgroundRun {
    /// Starts a run and waits until this number of processes is up.
    pub fn start(arguments: &[&str], processes: usize) -> Self {
        let child = command(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        wait_for("the start of all processes", || {
            children(child.id()).len() == processes
        });
        let started = children(child.id());
        Self { child, started }
    }

    /// Sends the run itself a signal.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits for its end and looks at once whether the processes that it started run on.
    pub fn wait(self) -> EndedRun {
        let output = self.child.wait_with_output().unwrap();
        let left = self.started.into_iter().filter(|pid| is_running(*pid));
        EndedRun {
            output,
            processes_left: left.count(),
        }
    }

    /// Whether any of the processes that it started is running.
    pub fn has_running_processes(&self) -> bool {
        self.started.iter().any(|pid| is_running(*pid))
    }
}

/// Processes that this one has started, and that run or wait for their parent to reap them.
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

/// Whether a process runs this command's binary: a process id may be used again by another program.
fn is_running(pid: u32) -> bool {
    let binary = fs::read_link(format!("/proc/{pid}/exe"));
    binary.is_ok_and(|binary| binary == Path::new(env!("CARGO_BIN_EXE_slatelink")))
}
