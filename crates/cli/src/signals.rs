//! Signals that end a command in order.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use tokio::runtime;
use tokio::signal::unix::{signal, SignalKind};

/// A flag that Ctrl-C or SIGTERM raises: what runs then ends in order, and leaves nothing behind.
pub fn stop_at_interrupt() -> io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    let raised = stop.clone();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Registered here, so that no signal that comes from now on is missed.
    let (mut interrupt, mut terminate) = {
        let _within = runtime.enter();
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
            raised.store(true, Ordering::Relaxed);
        })?;
    Ok(stop)
}
