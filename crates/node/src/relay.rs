//! A relay of the server list on sockets: discovery's protocol on both sides.
//!
//! Upstream it is one caller that watches; downstream it answers as discovery does, so that a node needs no change and relays
//! can stand in tiers. What is answered is decided by `slatelink-membership`; here are the sockets, tasks and signals.

mod byte_counter;
mod downstream;
mod encoded_answers;
mod publisher;
mod request;
mod status;
#[cfg(test)]
mod tests;
mod upstream_client;

pub use status::{DownstreamCounts, RelayStatus, UpstreamCounts, STATUS_PATH};

use downstream::DownstreamServer;
use publisher::ReplicaPublisher;
use rustix::process::{getrlimit, Resource};
use slatelink_config::operators;
use slatelink_config::relay::RelaySettings;
use slatelink_telemetry::{LogFormat, Telemetry, TelemetryError};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use tokio::time::interval;
use upstream_client::UpstreamClient;

/// Descriptors left for the runtime, the listener, upstream, refusals and the standard streams.
const RESERVED_DESCRIPTORS: usize = 24 + downstream::MAX_REJECTING_CONNECTIONS;
/// The log is asked for what it left out so often.
const LOG_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Why a relay cannot run.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The address is in use, say.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The limit of the process is too low.
    #[error("a limit of {limit} descriptors leaves no room for {callers} callers beside {RESERVED_DESCRIPTORS} others")]
    Descriptors {
        /// The limit.
        limit: usize,
        /// Connections that are wanted.
        callers: usize,
    },
    /// The log.
    #[error("{0}")]
    Telemetry(#[from] TelemetryError),
    /// Signals, or the sockets' own failure.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Runs a relay until SIGTERM or SIGINT; on a current-thread runtime, within a `LocalSet`.
pub async fn run(settings: RelaySettings, format: LogFormat) -> Result<(), RelayError> {
    // Before anything else: a signal without a handler ends the process.
    let (mut terminate, mut interrupt) = (
        signal(SignalKind::terminate())?,
        signal(SignalKind::interrupt())?,
    );
    let max_connections = max_connections(settings.callers)?;
    let listener = TcpListener::bind(settings.listen).await;
    let listener = listener.map_err(|error| RelayError::Listen(settings.listen, error))?;
    let telemetry = Telemetry::start(&operators::Settings::default(), &[], format)?;
    let log = telemetry.log.clone();
    log.line(&format!("relay listens on {}", listener.local_addr()?));

    let publisher = Rc::new(ReplicaPublisher::new(settings.lease()));
    let counts = Rc::default();
    let upstream = UpstreamClient::new(
        &settings,
        publisher.clone(),
        Rc::clone(&counts),
        log.clone(),
    );
    let callers = Rc::new(DownstreamServer::new(
        publisher.clone(),
        max_connections,
        counts,
        log.clone(),
    ));
    spawn_local(upstream.run());
    spawn_local(publisher.clone().watch_lease(log.clone()));
    spawn_local(turn_log(log.clone()));
    let serving = spawn_local(callers.clone().serve(listener));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log.line("relay is told to stop");
    serving.abort();
    callers.end().await;
    Ok(())
}

async fn turn_log(log: slatelink_telemetry::Log) {
    let mut turns = interval(LOG_REPORT_INTERVAL);
    loop {
        turns.tick().await;
        log.report_suppressed();
    }
}

/// Connections of callers that the limit on descriptors allows, or those that are wanted if it does.
fn max_connections(wanted: Option<usize>) -> Result<usize, RelayError> {
    let limit = getrlimit(Resource::Nofile).current;
    let limit = limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    });
    let allowed = limit.saturating_sub(RESERVED_DESCRIPTORS);
    let callers = wanted.unwrap_or(allowed.max(1));
    if callers > allowed {
        return Err(RelayError::Descriptors { limit, callers });
    }
    Ok(callers)
}
