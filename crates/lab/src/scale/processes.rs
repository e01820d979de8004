//! Clocks, and the resource usage of processes on this machine.

use nix::errno::Errno;
use nix::sys::resource::{getrlimit, Resource};
use nix::time::{clock_gettime, ClockId};
use nix::unistd::Pid;
use std::fs;
use std::io;
use std::time::Duration;

/// Returns the time of the machine's monotonic clock in microseconds, which is the same for all
/// processes.
pub fn monotonic_us() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC)
        .map(Duration::from)
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the processor time used by this thread so far.
pub fn thread_processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map(Duration::from)
        .unwrap_or_default()
}

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time used so far by all threads.
    pub processor: Duration,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
    /// Open sockets.
    pub sockets: u64,
}

impl Usage {
    /// Reads the usage of a running process.
    pub fn of(pid: i32) -> io::Result<Self> {
        let clock = ClockId::pid_cpu_clock_id(Pid::from_raw(pid))?;
        Ok(Self {
            processor: clock_gettime(clock)?.into(),
            resident_kib: read_kib_field(&format!("/proc/{pid}/status"), "VmRSS:")?,
            sockets: count_sockets(pid)?,
        })
    }
}

impl std::iter::Sum for Usage {
    fn sum<I: Iterator<Item = Self>>(usages: I) -> Self {
        usages.fold(Self::default(), |sum, usage| Self {
            processor: sum.processor + usage.processor,
            resident_kib: sum.resident_kib + usage.resident_kib,
            sockets: sum.sockets + usage.sockets,
        })
    }
}

fn count_sockets(pid: i32) -> io::Result<u64> {
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd"))?;
    // The link of a descriptor that has been closed in the meantime cannot be read.
    let links = descriptors.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    Ok(links
        .filter(|link| link.to_string_lossy().starts_with("socket:"))
        .count() as u64)
}

/// Returns the memory of this machine in KiB.
pub fn machine_memory_kib() -> io::Result<u64> {
    read_kib_field("/proc/meminfo", "MemTotal:")
}

/// Returns the number of descriptors that this process may hold.
pub fn descriptor_limit() -> Result<u64, Errno> {
    getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft)
}

/// Reads the value of a field in kB from a file of proc(5).
fn read_kib_field(path: &str, name: &str) -> io::Result<u64> {
    let text = fs::read_to_string(path)?;
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .ok_or_else(|| io::Error::other(format!("{path} has no valid {name} line")))
}
