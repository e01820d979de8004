//! A relay of the endpoint list: the client and the server of discovery's protocol on sockets.
//!
//! Upstream, the relay is a single client that watches the list. Downstream, it answers as
//! discovery does, so that nodes need no change and relays can be arranged in tiers.
//! `slatelink-membership` decides each answer; this module owns the sockets, tasks and signal
//! handlers.

mod backoff;
mod byte_counter;
mod connection_limit;
mod downstream;
mod encoded_answers;
mod publisher;
mod request;
mod response;
mod service;
mod status;
#[cfg(test)]
mod tests;
mod upstream_client;
mod upstream_connection;
mod waiting_watches;

pub use status::{DownstreamCounts, RelayStatus, UpstreamCounts, STATUS_PATH};

use downstream::{DownstreamServer, MAX_REJECTING_CONNECTIONS};
use publisher::ReplicaPublisher;
use rustix::process::{getrlimit, Resource};
use slatelink_config::operators;
use slatelink_config::relay::RelaySettings;
use slatelink_telemetry::{Log, LogFormat, Telemetry, TelemetryError};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::interval;
use upstream_client::UpstreamClient;

/// File descriptors that are not available to clients: those of the runtime, the listener, the
/// upstream connection, the standard streams, and connections that are being rejected.
const RESERVED_DESCRIPTORS: usize = 24 + MAX_REJECTING_CONNECTIONS;
/// Interval at which the log reports the number of lines suppressed by its rate limit.
const LOG_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum wait that a watch may request; the same as at discovery.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Reason why a relay cannot run.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The relay cannot listen on the address, for example because the address is in use.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The descriptor limit of the process is too low for the requested number of connections.
    #[error(
        "the limit of {limit} file descriptors is too low for {connections} client connections \
         and {RESERVED_DESCRIPTORS} reserved descriptors"
    )]
    Descriptors {
        /// Descriptor limit of the process.
        limit: usize,
        /// Requested number of connections.
        connections: usize,
    },
    /// Telemetry, which writes the log, cannot start.
    #[error("{0}")]
    Telemetry(#[from] TelemetryError),
    /// Signals cannot be handled, or the listener's address cannot be read.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Runs a relay until SIGTERM or SIGINT. Must be called on a current-thread runtime, within a
/// `LocalSet`.
///
/// # Errors
///
/// Returns an error if the relay cannot start.
pub async fn run(settings: RelaySettings, format: LogFormat) -> Result<(), RelayError> {
    // Installed first: a signal without a handler terminates the process.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let max_connections = max_connections(settings.max_connections)?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(|error| RelayError::Listen(settings.listen, error))?;
    let telemetry = Telemetry::start(&operators::Settings::default(), &[], format)?;
    let log = telemetry.log.clone();
    log.line(&format!("relay listens on {}", listener.local_addr()?));

    let publisher = Rc::new(ReplicaPublisher::new(settings.lease()));
    let upstream_counts = Rc::default();
    let upstream = UpstreamClient::new(
        &settings,
        publisher.clone(),
        Rc::clone(&upstream_counts),
        log.clone(),
    );
    let downstream = Rc::new(DownstreamServer::new(
        publisher.clone(),
        max_connections,
        upstream_counts,
        log.clone(),
    ));
    spawn_local(upstream.run());
    spawn_local(publisher.monitor_lease(log.clone()));
    spawn_local(report_suppressed_lines(log.clone()));
    let serving = spawn_local(downstream.clone().serve(listener));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log.line("relay shuts down");
    serving.abort();
    downstream.shut_down().await;
    Ok(())
}

async fn report_suppressed_lines(log: Log) {
    let mut reports = interval(LOG_REPORT_INTERVAL);
    loop {
        reports.tick().await;
        log.report_suppressed();
    }
}

/// Returns the connection limit: the requested number, or the maximum that the descriptor limit of
/// the process allows.
fn max_connections(requested: Option<usize>) -> Result<usize, RelayError> {
    let limit = getrlimit(Resource::Nofile)
        .current
        .map_or(usize::MAX, |limit| {
            usize::try_from(limit).unwrap_or(usize::MAX)
        });
    let allowed = limit.saturating_sub(RESERVED_DESCRIPTORS);
    let connections = requested.unwrap_or(allowed.max(1));
    if connections > allowed {
        return Err(RelayError::Descriptors { limit, connections });
    }
    Ok(connections)
}
