//! Termination of a node.
//!
//! SIGTERM shuts the node down gracefully, in the stages of [`ShutdownStage`]:
//!
//! 1. `Draining`, for [`DRAINING_TIME`]: the node serves as before, but reports itself as not
//!    ready, and every response closes its connection.
//! 2. `Closing`: the node accepts no connections, closes idle connections and finishes the open
//!    requests.
//! 3. Once the last connection has ended, the process exits with code 0.
//!
//! SIGHUP reloads the configuration (see [`crate::reload`]), and SIGUSR1 prints the hot list if
//! there is one. Any other terminating signal ends the process at once. With an audit trail the
//! signal is caught so that the trail can record it, and the exit code is 128 plus the signal
//! number, as a shell reports it.

use slatelink_telemetry::audit::StopSignal;
use slatelink_telemetry::Log;
use std::future::pending;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::{JoinError, JoinHandle};
use tokio::time::sleep;

/// Time for which the node still accepts connections after SIGTERM. Clients open new connections
/// for 0.4 s, until they have detected that the node is not ready.
const DRAINING_TIME: Duration = Duration::from_millis(500);
/// Added to the signal number in the exit code of a process ended by a signal.
const SIGNAL_EXIT_CODE_BASE: u8 = 128;

/// Stage of the node's graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// No shutdown has begun.
    Serving,
    /// The node serves as before; every response asks the client to use another connection.
    Draining,
    /// The node accepts no more connections, closes idle connections and finishes the open
    /// requests.
    Closing,
}

/// Waits for SIGTERM, then passes through the stages until all ports are closed.
pub async fn shut_down_gracefully(
    mut terminate: Signal,
    node_name: &str,
    stage: &watch::Sender<ShutdownStage>,
    ports: Vec<JoinHandle<()>>,
    log: &Log,
) -> Result<(), JoinError> {
    terminate.recv().await;
    log.line(&format!("node {node_name} received SIGTERM; draining"));
    stage.send_replace(ShutdownStage::Draining);
    sleep(DRAINING_TIME).await;
    stage.send_replace(ShutdownStage::Closing);
    for port in ports {
        port.await?;
    }
    Ok(())
}

/// Waits for a caught signal that ends the node at once; waits forever if no signals are caught.
pub async fn wait_for_termination(signals: Option<UnboundedReceiver<StopSignal>>) -> StopSignal {
    match signals {
        Some(mut signals) => signals.recv().await.unwrap_or(StopSignal::TERMINATE),
        None => pending().await,
    }
}

/// Returns the exit code of a node ended by this signal.
pub fn exit_code(signal: StopSignal) -> ExitCode {
    if signal == StopSignal::TERMINATE {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(SIGNAL_EXIT_CODE_BASE + signal.number)
    }
}
