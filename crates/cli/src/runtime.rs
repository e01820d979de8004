//! The runtime that commands with sockets run on.

use std::io;
use tokio::runtime::{Builder, Runtime};

/// A runtime on this thread alone.
pub fn single_threaded_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
