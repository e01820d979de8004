//! The signals that end a node, caught so that the trail can name them.

use std::io;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// A signal that ended the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSignal {
    /// Its name, as `SIGTERM`.
    pub name: &'static str,
    /// Its number.
    pub number: u8,
}

impl StopSignal {
    /// Sent by the platform for a graceful shutdown.
    pub const TERMINATE: Self = Self::new("SIGTERM", libc::SIGTERM);

    /// `number` is one of Linux's signals, 1 to 64, and so fits a byte.
    const fn new(name: &'static str, number: i32) -> Self {
        Self {
            name,
            number: number as u8,
        }
    }
}

/// Signals that end a process which does nothing about them, and that can be caught without harm.
const TERMINATING_SIGNALS: [StopSignal; 12] = [
    StopSignal::new("SIGINT", libc::SIGINT),
    StopSignal::new("SIGQUIT", libc::SIGQUIT),
    StopSignal::new("SIGABRT", libc::SIGABRT),
    StopSignal::new("SIGUSR1", libc::SIGUSR1),
    StopSignal::new("SIGUSR2", libc::SIGUSR2),
    StopSignal::new("SIGALRM", libc::SIGALRM),
    StopSignal::new("SIGVTALRM", libc::SIGVTALRM),
    StopSignal::new("SIGPROF", libc::SIGPROF),
    StopSignal::new("SIGXCPU", libc::SIGXCPU),
    StopSignal::new("SIGIO", libc::SIGIO),
    StopSignal::new("SIGPWR", libc::SIGPWR),
    StopSignal::new("SIGSTKFLT", libc::SIGSTKFLT),
];

/// Catches them from now on, but for those whose numbers are in `except`, which have another use. Fails where a handler
/// cannot be installed. To be called within a `LocalSet`.
pub fn catch_signals(except: &[i32]) -> io::Result<UnboundedReceiver<StopSignal>> {
    let (caught, stops) = unbounded_channel();
    for stop in TERMINATING_SIGNALS {
        let number = i32::from(stop.number);
        if except.contains(&number) {
            continue;
        }
        let mut signals = signal(SignalKind::from_raw(number))?;
        let caught = caught.clone();
        tokio::task::spawn_local(async move {
            if signals.recv().await.is_some() {
                // The first of them ends the node.
                let _ = caught.send(stop);
            }
        });
    }
    Ok(stops)
}
