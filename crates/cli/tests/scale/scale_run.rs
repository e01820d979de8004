//! Helpers for the scale command, the report of a run and the processes that a run starts.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time limit of each wait, far longer than any wait normally takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the command of a scale run with these arguments.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_slatelink"));
    command.args(["lab", "scale"]).args(arguments);
    command
}

/// Converts the output of a process to text.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Waits until a condition holds, and panics after [`WAIT_TIMEOUT`].
pub fn wait_for(description: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting for {description}"
        );
        sleep(POLL_INTERVAL);
    }
}

/// File for the report of a run, which is removed on drop.
pub struct ReportFile(PathBuf);

impl ReportFile {
    /// Chooses a path unique to the test. The run creates the file.
    pub fn new(name: &str) -> Self {
        let name = format!("slatelink-test-{}-{name}.json", std::process::id());
        Self(std::env::temp_dir().join(name))
    }

    /// Returns the path as a command argument.
    pub fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }

    /// Reads the report that a run has written.
    pub fn read(&self) -> Value {
        serde_json::from_slice(&fs::read(&self.0).unwrap()).unwrap()
    }
}

impl Drop for ReportFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Result of a run that has ended.
pub struct EndedRun {
    /// Exit status and output of the run.
    pub output: Output,
    /// Number of processes started by the run that were still running.
    pub processes_left: usize,
}

/// A run in the background, with the processes that it has started.
pub struct BackgroundRun {
    pub child: Child,
    started: BTreeSet<u32>,
}

impl BackgroundRun {
    /// Starts a run and waits until it has started this number of processes.
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

    /// Sends a signal to the run's own process.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until the run exits, and immediately counts its processes that are still running.
    pub fn wait(self) -> EndedRun {
        let output = self.child.wait_with_output().unwrap();
        let running = self.started.into_iter().filter(|pid| is_running(*pid));
        EndedRun {
            output,
            processes_left: running.count(),
        }
    }

    /// Checks whether any process that the run started is still running.
    pub fn has_running_processes(&self) -> bool {
        self.started.iter().any(|pid| is_running(*pid))
    }
}

/// Returns the child processes of a process, including children not reaped yet.
fn children(parent: u32) -> BTreeSet<u32> {
    let processes = fs::read_dir("/proc").unwrap();
    let pids = processes.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    pids.filter(|pid| parent_of(*pid) == Some(parent)).collect()
}

fn parent_of(pid: u32) -> Option<u32> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name may contain any character. The state and the parent follow after it.
    stat.rsplit_once(") ")?.1.split(' ').nth(1)?.parse().ok()
}

/// Checks whether a process runs the tested binary. The binary is compared because another program
/// may have reused the process id.
fn is_running(pid: u32) -> bool {
    let binary = fs::read_link(format!("/proc/{pid}/exe"));
    binary.is_ok_and(|binary| binary == Path::new(env!("CARGO_BIN_EXE_slatelink")))
}
