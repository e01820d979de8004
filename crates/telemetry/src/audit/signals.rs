//! The signals that end a node, caught so that the trail can name them.

use std::io;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// A signal that ended the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSignal {
    pub signal: &'static str,
    pub number: u8,
}

impl StopSignal {
    /// The platform's own way: it drains the node.
    pub const TERMINATE: Self = Self {
        signal: "SIGTERM",
        number: libc::SIGTERM as u8,
    };
}

/// Signals that end a process which does nothing about them, and that can be caught without harm.
const TERMINATING_SIGNALS: [(&str, i32); 12] = [
    ("SIGINT", libc::SIGINT),
    ("SIGQUIT", libc::SIGQUIT),
    ("SIGABRT", libc::SIGABRT),
    ("SIGUSR1", libc::SIGUSR1),
    ("SIGUSR2", libc::SIGUSR2),
    ("SIGALRM", libc::SIGALRM),
    ("SIGVTALRM", libc::SIGVTALRM),
    ("SIGPROF", libc::SIGPROF),
    ("SIGXCPU", libc::SIGXCPU),
    ("SIGIO", libc::SIGIO),
    ("SIGPWR", libc::SIGPWR),
    ("SIGSTKFLT", libc::SIGSTKFLT),
];

/// Catches them from now on, but for those in `except`, which have another use.
pub fn catch_signals(except: &[i32]) -> io::Result<UnboundedReceiver<StopSignal>> {
    let (caught, stops) = unbounded_channel();
    for (name, number) in TERMINATING_SIGNALS
        .iter()
        .filter(|(_, number)| !except.contains(number))
    {
        let mut signals = signal(SignalKind::from_raw(*number))?;
        let (caught, stop) = (
            caught.clone(),
            StopSignal {
                signal: name,
                number: *number as u8,
            },
        );
        tokio::task::spawn_local(async move {
            if signals.recv().await.is_some() {
                // The first of them ends the node.
                let _ = caught.send(stop);
            }
        });
    }
    Ok(stops)
}
