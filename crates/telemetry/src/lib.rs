//! Telemetry of a node: the node's log, and the features configured in the operators' file, which
//! are metrics, the audit trail and the hot list, with the writer that they share.
//!
//! The node reports events to an [`Observer`]; [`Telemetry`] forwards them to the enabled features.
//! Telemetry makes no decisions, never calls into the node, and never blocks the node.

pub mod audit;
mod error;
mod hotlist;
mod log;
mod metrics;
mod observer;
mod writer;

pub use error::{TelemetryError, TrailError};
pub use log::{Log, LogFormat};
pub use observer::{Observer, RequestOutcome};

use audit::{Audit, StopSignal};
use hotlist::HotList;
use metrics::Metrics;
use slatelink_admission::ConnectionStats;
use slatelink_config::operators::{HotListSettings, MetricsSettings, Settings, SettingsFile};
use slatelink_config::{sha256_hex, EndpointList};
use slatelink_policy::{BreakerScope, ClassId, EndpointId, Name, Status};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use writer::Writer;

/// Maximum time spent at shutdown on sending the remaining metrics to a slowly read pipe.
const METRICS_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time that shutdown then waits for the writer to write the queued data of all features: a
/// started record should reach the disk.
const WRITER_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
/// Log topic of opened breakers.
const BREAKER_TOPIC: &str = "module";

/// The enabled features, and the log.
pub struct Telemetry {
    /// The node's log, which shares standard error with the features.
    pub log: Log,
    writer: Writer,
    metrics: Option<Rc<Metrics>>,
    audit: Option<Audit>,
    hotlist: Option<Rc<HotList>>,
    /// The operators' file, if there is one.
    settings_file: Option<SettingsFile>,
}

impl Telemetry {
    /// Starts the features enabled in the settings, for these classes of requests. The features'
    /// tasks run on the current local set. Fails if a file, a socket, a signal handler or the
    /// writer's thread cannot be created or opened.
    pub fn start(
        settings: &Settings,
        classes: &[Name],
        format: LogFormat,
    ) -> Result<Rc<Self>, TelemetryError> {
        let writer = Writer::start().map_err(TelemetryError::Writer)?;
        let log = Log::new(&writer, format);
        // With a SIGXFSZ handler, exceeding the file size limit is a write error and does not
        // terminate the process. Standard error may be such a file.
        drop(install_handler(
            "SIGXFSZ",
            SignalKind::from_raw(libc::SIGXFSZ),
        )?);
        let metrics = match &settings.metrics {
            Some(settings) => Some(start_metrics(settings, classes, &writer, &log)?),
            None => None,
        };
        let audit = match &settings.audit {
            Some(settings) => Some(Audit::open(settings.path.as_deref(), &writer)?),
            None => None,
        };
        let hotlist = match settings.enabled_hotlist() {
            Some(settings) => Some(start_hotlist(settings, classes, &writer)?),
            None => None,
        };
        Ok(Rc::new(Self {
            log,
            writer,
            metrics,
            audit,
            hotlist,
            settings_file: settings.file.clone(),
        }))
    }

    /// Returns the number of file descriptors held by the features of these settings, which count
    /// towards the node's limit.
    pub fn descriptor_count(settings: &Settings) -> usize {
        let metrics = settings
            .metrics
            .as_ref()
            .map_or(0, |_| Metrics::DESCRIPTORS);
        let audit = settings.audit.as_ref().map_or(0, |_| Audit::DESCRIPTORS);
        Writer::DESCRIPTORS + metrics + audit
    }

    /// Returns a receiver of the signals that end the node, apart from signals with another use.
    /// `None` if the audit trail, which records the signal's name, is off. Fails if a handler
    /// cannot be installed.
    pub fn termination_signals(&self) -> io::Result<Option<UnboundedReceiver<StopSignal>>> {
        let except: &[i32] = if self.hotlist.is_some() {
            &[libc::SIGUSR1]
        } else {
            &[]
        };
        self.audit
            .as_ref()
            .map(|_| audit::catch_signals(except))
            .transpose()
    }

    /// Reports that the node with this name listens.
    pub fn node_started(&self, node: &str) {
        if let Some(audit) = &self.audit {
            audit.node_started(node);
        }
    }

    /// Reports that the platform's configuration, read from `path`, and the operators' file are in
    /// force: at the start and at each SIGHUP.
    pub fn config_loaded(&self, path: &Path, contents: &[u8]) {
        let Some(audit) = &self.audit else {
            return;
        };
        audit.config_loaded("platform", path, sha256_hex(contents));
        if let Some(SettingsFile { path, sha256 }) = &self.settings_file {
            audit.config_loaded("features", path, sha256.clone());
        }
    }

    /// Reports that the classes of requests have changed; `classes` are their names by position. A
    /// position may have another name only if no request of the earlier class is open.
    pub fn classes_changed(&self, classes: &[Name]) {
        if let Some(metrics) = &self.metrics {
            metrics.classes_changed(classes);
        }
        if let Some(hotlist) = &self.hotlist {
            hotlist.classes_changed(classes);
        }
    }

    /// Reports that the node stops because of this signal, and flushes pending data. Data that is
    /// not written within the timeouts is abandoned.
    pub async fn shut_down(&self, stop_signal: StopSignal) {
        if let Some(metrics) = &self.metrics {
            metrics.shut_down(METRICS_FLUSH_TIMEOUT).await;
        }
        if let Some(audit) = &self.audit {
            audit.node_stopped(stop_signal);
        }
        self.writer.flush(WRITER_FLUSH_TIMEOUT).await;
    }
}

fn start_metrics(
    settings: &MetricsSettings,
    classes: &[Name],
    writer: &Writer,
    log: &Log,
) -> Result<Rc<Metrics>, TelemetryError> {
    let (metrics, finished_batches) = Metrics::open(settings, classes, writer, log.clone())?;
    let metrics = Rc::new(metrics);
    spawn_local(metrics.clone().run(finished_batches));
    Ok(metrics)
}

fn start_hotlist(
    settings: &HotListSettings,
    classes: &[Name],
    writer: &Writer,
) -> Result<Rc<HotList>, TelemetryError> {
    // The SIGUSR1 handler is installed first: without a handler the signal terminates the process.
    let print_signals = install_handler("SIGUSR1", SignalKind::user_defined1())?;
    let hotlist = Rc::new(HotList::new(
        settings.capacity,
        settings.window(),
        classes,
        writer,
    )?);
    spawn_local(print_on_signals(hotlist.clone(), print_signals));
    Ok(hotlist)
}

/// Prints the hot list at each signal while the node runs.
async fn print_on_signals(hotlist: Rc<HotList>, mut signals: Signal) {
    while signals.recv().await.is_some() {
        hotlist.print();
    }
}

/// Installs a handler for this signal. The handler stays installed for the life of the process,
/// even after the receiver is dropped.
fn install_handler(name: &'static str, kind: SignalKind) -> Result<Signal, TelemetryError> {
    signal(kind).map_err(|error| TelemetryError::Signal {
        signal: name,
        error,
    })
}

impl Observer for Telemetry {
    fn request_received(&self, class: ClassId, path: &str) {
        if let Some(hotlist) = &self.hotlist {
            let key = path.rsplit('/').next().unwrap_or_default();
            hotlist.request_received(class, key);
        }
        if let Some(metrics) = &self.metrics {
            metrics.request_received(class);
        }
    }

    fn request_completed(
        &self,
        class: ClassId,
        endpoint: Option<&EndpointId>,
        latency: Duration,
        outcome: RequestOutcome,
    ) {
        if let Some(metrics) = &self.metrics {
            metrics.request_completed(class, endpoint, latency, outcome);
        }
    }

    fn attempt_started(&self, endpoint: &EndpointId) {
        if let Some(metrics) = &self.metrics {
            metrics.attempt_started(endpoint);
        }
    }

    fn attempt_ended(&self, class: ClassId, endpoint: &EndpointId, status: Status) {
        if let Some(metrics) = &self.metrics {
            metrics.attempt_ended(class, endpoint, status);
        }
    }

    fn endpoints_updated(&self, list: &EndpointList) {
        if let Some(metrics) = &self.metrics {
            metrics.endpoints_updated(list);
        }
        if let Some(audit) = &self.audit {
            audit.endpoints_updated(list);
        }
    }

    fn connections_sampled(&self, stats: &ConnectionStats) {
        self.log.report_suppressed();
        if let Some(metrics) = &self.metrics {
            metrics.connections_sampled(stats);
        }
    }

    fn breaker_opened(&self, scope: &BreakerScope) {
        if let (Some(metrics), BreakerScope::Endpoint(endpoint)) = (&self.metrics, scope) {
            metrics.breaker_opened(endpoint);
        }
        self.log.rate_limited(BREAKER_TOPIC, &scope.to_string());
    }
}
