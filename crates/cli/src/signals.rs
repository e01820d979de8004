//! Signals that stop a command gracefully.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use tokio::runtime;
use tokio::signal::unix::{signal, SignalKind};

/// Returns a flag that Ctrl-C or SIGTERM sets. A run that sees the flag stops gracefully and leaves
/// no processes behind.
pub fn stop_at_interrupt() -> io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    let stop_requested = stop.clone();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Handlers are registered before the thread starts, so that no later signal is missed.
    let (mut interrupt, mut terminate) = {
        let _runtime_guard = runtime.enter();
        (
            signal(SignalKind::interrupt())?,
            signal(SignalKind::terminate())?,
        )
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = interrupt.recv() => {}
                    _ = terminate.recv() => {}
                }
            });
            stop_requested.store(true, Ordering::Relaxed);
        })?;
    Ok(stop)
}
