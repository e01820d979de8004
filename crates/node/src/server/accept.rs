//! The accept loop of a port.

use super::DescriptorSource;
use crate::connections::ConnectionHandle;
use crate::shutdown::ShutdownStage;
use slatelink_telemetry::Log;
use std::convert::Infallible;
use std::future::{pending, poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{sleep, Instant};

/// Delay after a failed accept (no descriptor left, for example). Without it, the next accept would
/// fail at once and the loop would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Longest time for which the accept queue is emptied after closing time, if connections keep
/// arriving. Clients have stopped opening connections before closing time.
const ACCEPT_DRAIN_TIME: Duration = Duration::from_millis(500);

/// Number of connections accepted in a row before the task yields to the others.
const ACCEPT_BATCH: u32 = 16;

/// Serves a port until the node closes, then returns when all connections have ended.
pub async fn serve<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    descriptors: Rc<DescriptorSource>,
    stage: watch::Receiver<ShutdownStage>,
    log: Log,
    serve_connection: impl Fn(ConnectionHandle) -> F,
) {
    let connections = descriptors.connections.clone();
    let (drained_sender, drained) = watch::channel(false);
    // Runs even while the accept loop waits for a descriptor: the connections that end release
    // theirs, and the time for emptying the accept queue passes.
    let closing_stage = stage.clone();
    let closing = async {
        wait_until_closing(closing_stage).await;
        connections.begin_close().await;
        sleep(ACCEPT_DRAIN_TIME).await;
        drained_sender.send_replace(true);
        pending::<Infallible>().await
    };
    let accepting =
        accept_connections(listener, descriptors, stage, drained, log, serve_connection);
    tokio::select! {
        () = accepting => {}
        never = closing => match never {},
    }
    connections.close().await;
}

/// Accepts connections and serves each in a task of its own until the node closes. If no descriptor
/// is available, an accepted connection waits for a lease, and later connections stay in the accept
/// queue.
async fn accept_connections<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    descriptors: Rc<DescriptorSource>,
    stage: watch::Receiver<ShutdownStage>,
    mut drained: watch::Receiver<bool>,
    log: Log,
    serve_connection: impl Fn(ConnectionHandle) -> F,
) {
    let mut closing = pin!(wait_until_closing(stage));
    let mut accepted_in_row = 0;
    // Time for which the connections in the accept queue have waited for the last accepted one.
    let mut delay = Duration::ZERO;
    loop {
        if accepted_in_row == ACCEPT_BATCH {
            accepted_in_row = 0;
            yield_now().await;
        }
        let accepted = tokio::select! {
            // `biased`: connections that are ready to be accepted at closing time are still served,
            // for a limited time.
            biased;
            // Fails only if the sender is gone, and with it the node.
            _ = drained.wait_for(|drained| *drained) => break,
            accepted = accept(&listener, &mut delay) => accepted,
            () = &mut closing => break,
        };
        let admitted = match accepted {
            // Not canceled at shutdown, because the first request may already be in transit.
            Ok((stream, address)) => {
                accepted_in_row += 1;
                let accepted_at = Instant::now();
                let stall = descriptors.connections.stall(accepted_at);
                let arrived_at = accepted_at - delay.max(stall);
                let admitted = descriptors.admit(stream, address.ip(), arrived_at).await;
                delay = accepted_at.elapsed();
                admitted
            }
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

/// Accepts a connection. Resets `delay` if the accept queue is empty before.
async fn accept(
    listener: &TcpListener,
    delay: &mut Duration,
) -> io::Result<(TcpStream, SocketAddr)> {
    poll_fn(|cx| {
        let accepted = listener.poll_accept(cx);
        if accepted.is_pending() {
            *delay = Duration::ZERO;
        }
        accepted
    })
    .await
}

/// Waits until the node closes.
async fn wait_until_closing(mut stage: watch::Receiver<ShutdownStage>) {
    // Fails only if the sender is gone, and with it the node.
    let _ = stage
        .wait_for(|stage| *stage == ShutdownStage::Closing)
        .await;
}
