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

/// Accepts connections and serves each in a task of its own until the node closes, then returns
/// when all connections have ended. If no descriptor is available, an accepted connection waits for
/// a lease, and later connections stay in the accept queue.
pub async fn serve<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    descriptors: Rc<DescriptorSource>,
    mut stage: watch::Receiver<ShutdownStage>,
    log: Log,
    serve_connection: impl Fn(ConnectionHandle) -> F,
) {
    let mut closing = pin!(stage.wait_for(|stage| *stage == ShutdownStage::Closing));
    loop {
        let accepted = tokio::select! {
            // `biased`: connections that are ready to be accepted at closing time are still served.
            biased;
            accepted = listener.accept() => accepted,
            _ = &mut closing => break,
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
    drop(listener);
    descriptors.connections.close().await;
}
