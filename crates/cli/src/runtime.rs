//! The async runtime of commands that use sockets.

use std::io;
use tokio::runtime::{Builder, Runtime};

/// Creates a runtime that runs on the current thread only.
pub fn single_threaded_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
