//! The accept loop of a port.

use super::DescriptorSource;
use crate::connections::ConnectionHandle;
use crate::shutdown::ShutdownStage;
use slatelink_telemetry::Log;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

/// Delay after a failed accept (no descriptor left, for example). Without it, the next accept would
/// fail at once and the loop would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Longest time for which the accept queue is emptied after closing time, if connections keep
/// arriving. Clients have stopped opening connections before closing time.
const ACCEPT_DRAIN_TIME: Duration = Duration::from_millis(500);

/// Serves a port until the node closes, then returns when all connections have ended.
pub async fn serve<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    descriptors: Rc<DescriptorSource>,
    stage: watch::Receiver<ShutdownStage>,
    log: Log,
    serve_connection: impl Fn(ConnectionHandle) -> F,
) {
    let connections = descriptors.connections.clone();
    // Begins at closing time even while the accept loop waits for a descriptor: the connections
    // that end release theirs.
    let closing_stage = stage.clone();
    let closing = async {
        wait_until_closing(closing_stage).await;
        connections.begin_close().await;
    };
    let accepting = accept_connections(listener, descriptors, stage, log, serve_connection);
    tokio::join!(accepting, closing);
    connections.close().await;
}

/// Accepts connections and serves each in a task of its own until the node closes. If no descriptor
/// is available, an accepted connection waits for a lease, and later connections stay in the accept
/// queue.
async fn accept_connections<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    descriptors: Rc<DescriptorSource>,
    stage: watch::Receiver<ShutdownStage>,
    log: Log,
    serve_connection: impl Fn(ConnectionHandle) -> F,
) {
    let mut closing = pin!(wait_until_closing(stage.clone()));
    let mut drain_expired = pin!(async {
        wait_until_closing(stage).await;
        sleep(ACCEPT_DRAIN_TIME).await;
    });
    loop {
        let accepted = tokio::select! {
            // `biased`: connections that are ready to be accepted at closing time are still served,
            // for a limited time.
            biased;
            () = &mut drain_expired => break,
            accepted = listener.accept() => accepted,
            () = &mut closing => break,
        };
        let admitted = match accepted {
            // Not canceled at shutdown, because the first request may already be in transit.
            Ok((stream, address)) => descriptors.admit(stream, address.ip()).await,
            Err(error) => Err(error),
        };
        match admitted {
            // The connection is in the connection table already, so that an eviction before the
            // first poll of its task finds it.
            Ok(Some(handle)) => drop(tokio::task::spawn_local(serve_connection(handle))),
            Ok(None) => {}
            Err(error) => {
                log.rate_limited("accept", &format!("accept: {error}"));
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the node closes.
async fn wait_until_closing(mut stage: watch::Receiver<ShutdownStage>) {
    // Fails only if the sender is gone, and with it the node.
    let _ = stage
        .wait_for(|stage| *stage == ShutdownStage::Closing)
        .await;
}
