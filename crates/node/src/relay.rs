//! A relay of the endpoint list: discovery's protocol on sockets, on both sides.
//!
//! Upstream it is one client that watches; downstream it answers as discovery does, so that a node needs no change and relays
//! can stand in tiers. `slatelink-membership` decides what is answered; here are the sockets, tasks and signals.

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

/// File descriptors that are not for clients: those of the runtime, the listener, upstream, the standard streams, and of
/// connections that are being rejected.
const RESERVED_DESCRIPTORS: usize = 24 + MAX_REJECTING_CONNECTIONS;
/// How often the log reports how many lines its rate limit suppressed.
const LOG_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The longest wait that a watch may ask for, here as at discovery.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Why a relay cannot run.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The address cannot be listened on; it is in use, for example.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The process' limit on descriptors is too low for the connections that were asked for.
    #[error("a limit of {limit} descriptors leaves no room for {connections} callers beside {RESERVED_DESCRIPTORS} others")]
    Descriptors {
        /// The limit.
        limit: usize,
        /// Connections that were asked for.
        connections: usize,
    },
    /// The log cannot be written.
    #[error("{0}")]
    Telemetry(#[from] TelemetryError),
    /// Signals cannot be handled, or the listener has no address.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Runs a relay until SIGTERM or SIGINT. It must be called on a current-thread runtime, within a `LocalSet`.
///
/// # Errors
///
/// If the relay cannot start.
pub async fn run(settings: RelaySettings, format: LogFormat) -> Result<(), RelayError> {
    // Before anything else: a signal without a handler ends the process.
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

/// The limit on connections: the number asked for, or as many as the process' limit on descriptors allows.
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
