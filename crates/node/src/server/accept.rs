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

/// After a failed accept (no descriptor left, say) the next one waits: tried at once, it would fail and spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections and serves each in a task of its own until the node closes, then returns when all have ended. A
/// connection that there is no descriptor for is accepted and waits, and those behind it wait unaccepted.
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
            // What is ready to be accepted by then is served: it comes before the end.
            biased;
            accepted = listener.accept() => accepted,
            _ = &mut closing => break,
        };
        let admitted = match accepted {
            // Not cancelled at shutdown: its first request may be on its way.
            Ok((stream, address)) => descriptors.admit(stream, address.ip()).await,
            Err(error) => Err(error),
        };
        match admitted {
            // It is in the connection table at once: an eviction before it is first polled must see it.
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
