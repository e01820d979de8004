//! A part of one core for a process: the process is bound to one core and shares it with threads
//! that never wait.

use nix::errno::Errno;
use nix::sched::{sched_getaffinity, sched_setaffinity, CpuSet};
use nix::unistd::Pid;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// Number of arithmetic steps between two checks of the stop flag.
const STEPS_PER_CHECK: u32 = 1 << 16;

/// Threads that keep one core busy beside a process that is bound to it; they end when this is
/// dropped. The process stays bound.
pub struct CoreShare {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl CoreShare {
    /// Binds the threads that the process `pid` has now to one core, and runs `busy_threads` there.
    /// The core is the last one that this process may use.
    pub fn limit(pid: i32, busy_threads: usize) -> Result<Self, Errno> {
        let core = last_core()?;
        bind(Pid::from_raw(pid), core)?;
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..busy_threads)
            .map(|_| {
                let stop = stop.clone();
                thread::spawn(move || keep_busy(core, &stop))
            })
            .collect();
        Ok(Self { stop, threads })
    }
}

impl Drop for CoreShare {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A busy thread does not panic.
            let _ = thread.join();
        }
    }
}

/// Returns the last core that this process may use.
fn last_core() -> Result<usize, Errno> {
    let allowed = sched_getaffinity(Pid::from_raw(0))?;
    (0..CpuSet::count())
        .rev()
        .find(|core| allowed.is_set(*core).unwrap_or(false))
        .ok_or(Errno::ENODEV)
}

fn bind(pid: Pid, core: usize) -> Result<(), Errno> {
    let mut cores = CpuSet::new();
    cores.set(core)?;
    sched_setaffinity(pid, &cores)
}

/// Computes on this core until `stop` is set.
fn keep_busy(core: usize, stop: &AtomicBool) {
    // Without the binding the thread keeps another core busy, which takes nothing from the process.
    let _ = bind(Pid::from_raw(0), core);
    let mut value = 0_u32;
    while !stop.load(Ordering::Relaxed) {
        for step in 0..STEPS_PER_CHECK {
            value = std::hint::black_box(value.wrapping_add(step));
        }
    }
}
