//! Why telemetry cannot start.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why telemetry cannot start. Each sentence names the section of the operators' file that it is about.
#[derive(Debug, Error)]
pub enum TelemetryError {
    /// The writer's thread, or its own descriptor of standard error.
    #[error("cannot start the writer: {0}")]
    Writer(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot catch {signal}: {error}")]
    Signal {
        /// The signal's name.
        signal: &'static str,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The file that metrics are appended to.
    #[error("figures: cannot open {}: {error}", .path.display())]
    MetricsFile {
        /// The file, as the settings name it.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The socket that metrics are sent from.
    #[error("figures: cannot send to {address}: {error}")]
    MetricsSocket {
        /// The receiver, as the settings name it.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The file of the audit trail.
    #[error("audit: {}: {error}", .path.display())]
    Audit {
        /// The file, as the settings name it.
        path: PathBuf,
        /// Why it is not opened.
        error: TrailError,
    },
    /// The hot list would take more memory than it may.
    #[error("hotlist: a capacity of {capacity} would take over 1 MB, {max_capacity} would not")]
    HotListCapacity {
        /// Entries for each class, as the settings say.
        capacity: usize,
        /// The most that fit for as many classes.
        max_capacity: usize,
    },
}

/// Why a file is not opened as an audit trail.
#[derive(Debug, Error)]
pub enum TrailError {
    /// The file cannot be opened, read, locked or cut.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Another process holds the file's lock.
    #[error("another node writes there")]
    Locked,
    /// The last line that ends is none that this program wrote, or was changed.
    #[error("its last whole line is no record of an audit trail")]
    InvalidLastRecord,
    /// The file has no whole record, and what it has does not begin as one.
    #[error("it is no audit trail")]
    NotATrail,
}
