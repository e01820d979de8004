//! Clocks, and what processes of this machine use.

use nix::errno::Errno;
use nix::sys::resource::{getrlimit, Resource};
use nix::time::{clock_gettime, ClockId};
use nix::unistd::Pid;
use std::fs;
use std::io;
use std::time::Duration;

/// Microseconds of the machine's monotonic clock, which all processes read alike.
pub fn monotonic_us() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC)
        .map(Duration::from)
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Processor time of this thread so far.
pub fn thread_processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map(Duration::from)
        .unwrap_or_default()
}

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time so far, of all its threads.
    pub processor: Duration,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
    /// Open sockets.
    pub sockets: u64,
}

impl Usage {
    /// Of a process that runs.
    pub fn of(pid: i32) -> io::Result<Self> {
        let clock = ClockId::pid_cpu_clock_id(Pid::from_raw(pid))?;
        Ok(Self {
            processor: clock_gettime(clock)?.into(),
            resident_kib: figure(&format!("/proc/{pid}/status"), "VmRSS:")?,
            sockets: sockets(pid)?,
        })
    }
}

impl std::iter::Sum for Usage {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), |sum, one| Self {
            processor: sum.processor + one.processor,
            resident_kib: sum.resident_kib + one.resident_kib,
            sockets: sum.sockets + one.sockets,
        })
    }
}

fn sockets(pid: i32) -> io::Result<u64> {
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd"))?;
    // One that is closed meanwhile has no link any more.
    let links = descriptors.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    Ok(links
        .filter(|link| link.to_string_lossy().starts_with("socket:"))
        .count() as u64)
}

/// Memory of this machine, in KiB.
pub fn machine_memory_kib() -> io::Result<u64> {
    figure("/proc/meminfo", "MemTotal:")
}

/// Descriptors that a process may hold.
pub fn descriptor_limit() -> Result<u64, Errno> {
    getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft)
}

/// A line of kB in a file of proc(5).
fn figure(path: &str, name: &str) -> io::Result<u64> {
    let text = fs::read_to_string(path)?;
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .ok_or_else(|| io::Error::other(format!("{path} has no {name}")))
}
