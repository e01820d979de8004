//! Handlers for the signals that end a node, so that the audit trail can record the signal's name.

use std::io;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// A signal that ends the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSignal {
    /// Name, for example `SIGTERM`.
    pub name: &'static str,
    /// Signal number.
    pub number: u8,
}

impl StopSignal {
    /// The signal sent by the platform for a graceful shutdown.
    pub const TERMINATE: Self = Self::new("SIGTERM", libc::SIGTERM);

    /// `number` is a Linux signal number, 1 to 64, and so fits in a byte.
    const fn new(name: &'static str, number: i32) -> Self {
        Self {
            name,
            number: number as u8,
        }
    }
}

/// Signals whose default action terminates the process and that can be handled safely.
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

/// Installs handlers for the signals that would otherwise terminate the node, except for the signal
/// numbers in `except`, which have another use. Fails if a handler cannot be installed. Must be
/// called within a `LocalSet`.
pub fn catch_signals(except: &[i32]) -> io::Result<UnboundedReceiver<StopSignal>> {
    let (stop_sender, stop_receiver) = unbounded_channel();
    for stop_signal in TERMINATING_SIGNALS {
        let number = i32::from(stop_signal.number);
        if except.contains(&number) {
            continue;
        }
        let mut signals = signal(SignalKind::from_raw(number))?;
        let stop_sender = stop_sender.clone();
        tokio::task::spawn_local(async move {
            if signals.recv().await.is_some() {
                // The first signal ends the node, so a failed send of a later one is ignored.
                let _ = stop_sender.send(stop_signal);
            }
        });
    }
    Ok(stop_receiver)
}
