//! Reasons why a node cannot start or has failed.

use crate::budget::BudgetError;
use slatelink_config::platform::ConfigError;
use slatelink_telemetry::TelemetryError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Reason why a node cannot start or has ended other than by a signal.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The client port cannot be opened, for example because it is in use.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address of the port.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The multi-get port cannot be opened.
    #[error("multiget: cannot listen on {address}: {error}")]
    ListenMultiGet {
        /// Address of the port.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The limits of the process and the settings allow no usable connection budget.
    #[error(transparent)]
    Budget(#[from] BudgetError),
    /// The configuration file cannot be compared with later ones.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Telemetry cannot start.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// A signal handler cannot be installed, or the local address of a listener cannot be
    /// determined.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A task that serves a port has panicked.
    #[error("the server task of a port failed: {0}")]
    ServerTask(#[from] tokio::task::JoinError),
}
