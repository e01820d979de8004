//! Why a node cannot start, or cannot go on.

use crate::budget::BudgetError;
use slatelink_telemetry::TelemetryError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a node cannot start, or has ended in another way than by a signal.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The port of clients cannot be opened: it is in use, say.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Where it would listen.
        address: SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// The port of multi-get requests cannot be opened.
    #[error("multiget: cannot listen on {address}: {error}")]
    ListenMultiGet {
        /// Where it would listen.
        address: SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// The limits of the process and the settings leave no usable budget of connections.
    #[error(transparent)]
    Budget(#[from] BudgetError),
    /// Telemetry cannot start.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// A signal handler cannot be installed, or a listener does not know its own address.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A task that serves a port has panicked.
    #[error("a port is served no more: {0}")]
    ServerTask(#[from] tokio::task::JoinError),
}
