//! How a node ends.
//!
//! A SIGTERM shuts it down gracefully, in the stages of [`ShutdownStage`]:
//!
//! 1. `Draining`, for [`DRAINING_TIME`]: it serves as before, but reports itself as not ready and has every response
//!    close its connection.
//! 2. `Closing`: it accepts no connections and closes the idle ones, and the requests that it has are finished.
//! 3. Once the last connection has ended the process exits with code 0.
//!
//! SIGHUP has another use (see [`crate::reload`]), and so has SIGUSR1 where there is a hot list. Any other signal that ends
//! a process does so at once; with an audit trail it is caught, so that the trail can name it, and the exit code is 128
//! plus its number, as a shell reports it.

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

/// How long the node still accepts connections after a SIGTERM: new ones keep coming for 0.4 s, until what is in front
/// of it has noticed that it is not ready.
const DRAINING_TIME: Duration = Duration::from_millis(500);
/// Added to a signal's number for the exit code of a process that it has ended.
const SIGNALED_EXIT_CODE: u8 = 128;

/// How far the node is in its graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// No shutdown has begun.
    Serving,
    /// It serves as before, and every response asks the client to use another connection.
    Draining,
    /// It accepts no more connections, idle ones close, and the requests that it has are finished.
    Closing,
}

/// Waits for SIGTERM, then goes through the stages until all ports are closed.
pub async fn shut_down_gracefully(
    mut terminate: Signal,
    node_name: &str,
    stage: &watch::Sender<ShutdownStage>,
    ports: Vec<JoinHandle<()>>,
    log: &Log,
) -> Result<(), JoinError> {
    terminate.recv().await;
    log.line(&format!("node {node_name} is told to stop"));
    stage.send_replace(ShutdownStage::Draining);
    sleep(DRAINING_TIME).await;
    stage.send_replace(ShutdownStage::Closing);
    for port in ports {
        port.await?;
    }
    Ok(())
}

/// Waits for a caught signal that ends the node at once; forever if none is caught.
pub async fn wait_for_termination(signals: Option<UnboundedReceiver<StopSignal>>) -> StopSignal {
    match signals {
        Some(mut signals) => signals.recv().await.unwrap_or(StopSignal::TERMINATE),
        None => pending().await,
    }
}

/// The exit code of a node that this signal has ended.
pub fn exit_code(signal: StopSignal) -> ExitCode {
    if signal == StopSignal::TERMINATE {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(SIGNALED_EXIT_CODE + signal.number)
    }
}
