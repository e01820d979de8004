//! Errors that prevent telemetry from starting.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Error that prevents telemetry from starting. A message about a setting starts with the setting's
/// section in the operators' file.
#[derive(Debug, Error)]
pub enum TelemetryError {
    /// The writer's thread, or its duplicate of the standard error descriptor, cannot be created.
    #[error("cannot start the writer: {0}")]
    Writer(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot install a handler for {signal}: {error}")]
    Signal {
        /// Name of the signal.
        signal: &'static str,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The metrics file cannot be opened.
    #[error("figures: cannot open {}: {error}", .path.display())]
    MetricsFile {
        /// Path of the file from the settings.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The metrics socket cannot be bound or connected.
    #[error("figures: cannot send to {address}: {error}")]
    MetricsSocket {
        /// Address of the receiver from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The file of the audit trail cannot be opened.
    #[error("audit: {}: {error}", .path.display())]
    Audit {
        /// Path of the file from the settings.
        path: PathBuf,
        /// Reason why the file cannot be opened.
        error: TrailError,
    },
    /// The hot list would exceed its memory limit.
    #[error("hotlist: a capacity of {capacity} exceeds the memory limit of 1 MB; the maximum is {max_capacity}")]
    HotListCapacity {
        /// Configured number of entries for each class.
        capacity: usize,
        /// Maximum number of entries for each class that fits in the memory limit.
        max_capacity: usize,
    },
}

/// Reason why a file cannot be opened as an audit trail.
#[derive(Debug, Error)]
pub enum TrailError {
    /// The file cannot be opened, read, locked or truncated.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Another process holds the file's lock.
    #[error("the file is locked by another process")]
    Locked,
    /// The last complete line is not a record written by this program, or was changed.
    #[error("its last complete line is not a valid audit record")]
    InvalidLastRecord,
    /// The file has no complete record, and its content does not start like one.
    #[error("it is not an audit trail")]
    NotATrail,
}
