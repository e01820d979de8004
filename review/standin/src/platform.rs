//! The platform: starts a node with the deploy file's `run` line, tells it its configuration, and
//! signals it.

use crate::discovery::{list_json, Host, VERSION};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
/// Option of prctl: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// A class of requests in the settings.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    pub window_ms: u64,
}

/// The classes of the deployment mm-cache-east.
pub fn classes() -> Vec<Class> {
    let class = |name, effect, objective_ms, deadline_ms, window_ms| Class {
        name,
        effect,
        objective_ms,
        deadline_ms,
        window_ms,
    };
    vec![
        class("lookup", "safe", 1000, 2500, 5000),
        class("queue-join", "keyed", 800, 2000, 4000),
        class("entry-fee", "unsafe", 1000, 3000, 5000),
    ]
}

fn settings_json(classes: &[Class], nodes: u32) -> String {
    let lanes: Vec<_> = classes
        .iter()
        .map(|class| {
            format!(
                r#"{{"name":"{}","effect":"{}","dedup_scope":"all","promise_us":{},"hard_limit_us":{},"repeat_window_us":{},"late_value":0.0,"streaming":false,"worth":1.0}}"#,
                class.name,
                class.effect,
                class.objective_ms * 1000,
                class.deadline_ms * 1000,
                class.window_ms * 1000
            )
        })
        .collect();
    format!(
        r#"{{"az":"boston","balancers":{nodes},"position":0,"family":"cache","family_info":{{"mode":"through","origin_fall_multiple":2.5,"origin_fall_us":3000000,"origin_kind":-1}},"client_habits":{{"marks_retry":true}},"lanes":[{}],"limits":{{"cancelling":true,"connect_timeout_us":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":800000,"keepalive_us":60000000,"max_open":20000,"max_retry_after_us":1500000,"most_tries":6,"peer_messages":false,"probing":true,"retry_after":false,"second_copies":true,"streams_per_conn":1}},"membership_mode":"subscribe","over_share_worth":0.1,"report":{{"fields":["err_rps","avg_ms","active"],"source":"probe"}},"safety":{{"ask_within_us":10000000,"cold_share":0.31,"fall_multiple":3.0,"fall_us":1500000,"grace_to_answer_us":20000,"stop_sending_within_us":250000,"warm_within_us":9000000}},"shapes":["fast-1c","slow-1c"],"stage":0,"tick_us":5000,"tiers":["lobby-cache"],"value_by":"work","weights":"nominal","zones":["boston","worcester","providence"]}}"#,
        lanes.join(",")
    )
}

/// What a node is told.
#[derive(Clone)]
pub struct Options {
    pub memory_mb: u64,
    pub sockets: u64,
    pub nodes: u32,
    pub classes: Vec<Class>,
    pub hosts: Vec<Host>,
    pub discovery: SocketAddr,
}

/// A node as the platform runs it.
pub struct Node {
    pub address: SocketAddr,
    child: Child,
    folder: PathBuf,
    options: Options,
}

/// Root of the repository: the stand-ins are started there.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_ROOT").unwrap_or_else(|_| ".".to_owned()))
}

/// Folder for everything of a run, removed at its end.
pub fn run_folder() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_TMP").unwrap_or_else(|_| "/tmp".to_owned()))
}

/// The deploy file's `run` line.
fn run_line() -> io::Result<String> {
    let text = fs::read_to_string(root().join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let line = line.and_then(|line| line.rsplit_once('"'));
    line.map(|(run, _)| run.to_owned())
        .ok_or_else(|| io::Error::other("no run line in the deploy file"))
}

/// Returns an address that is free now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Node {
    /// Starts a node and waits until it is ready. Its address is only free until another socket
    /// takes it, so that a start may need another address.
    pub fn start(options: Options, folder: &Path) -> io::Result<Self> {
        for _ in 0..3 {
            let mut node = Self::spawn(options.clone(), folder)?;
            let until = Instant::now() + Duration::from_secs(10);
            while Instant::now() < until && !node.has_ended() {
                if is_ready(node.address) {
                    return Ok(node);
                }
                sleep(Duration::from_millis(50));
            }
        }
        Err(io::Error::other("the node is not ready"))
    }

    fn spawn(options: Options, folder: &Path) -> io::Result<Self> {
        let address = free_address()?;
        fs::create_dir_all(folder.join("tmp"))?;
        write_config(folder, address, &options)?;
        let log = File::create(folder.join("log"))?;
        let mut command = Command::new("/bin/sh");
        // SAFETY: prctl is async-signal-safe. The node ends with the stand-ins, however they end.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command
            .arg("-c")
            .arg(run_line()?)
            .current_dir(root())
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", options.discovery.to_string())
            .env("LB_CONFIG", folder.join("config.json"))
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            address,
            child,
            folder: folder.to_owned(),
            options,
        })
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the call has no memory effects; the process is this one's child, not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Replaces the configuration file, in one step.
    pub fn reconfigure(&mut self, classes: Vec<Class>) -> io::Result<()> {
        self.options.classes = classes;
        write_config(&self.folder, self.address, &self.options)
    }

    /// Anonymous memory of the process in KiB: without the pages of the program's file, which the
    /// kernel can drop. `None` once the process has ended.
    pub fn anonymous_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        line.trim().strip_suffix(" kB")?.trim().parse().ok()
    }

    /// What the node wrote to its log.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write_config(folder: &Path, address: SocketAddr, options: &Options) -> io::Result<()> {
    let text = format!(
        r#"{{"name":"n1","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{}}}"#,
        options.discovery,
        options.memory_mb,
        options.sockets,
        list_json(VERSION, true, &options.hosts),
        settings_json(&options.classes, options.nodes)
    );
    fs::write(folder.join("config.new"), text)?;
    fs::rename(folder.join("config.new"), folder.join("config.json"))
}

fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(
            b"GET /healthz HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n",
        )?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(&answer == b"HTTP/1.1 200")
    };
    ask().unwrap_or(false)
}
