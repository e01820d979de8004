//! What observes a node at the operators' wish: figures, the audit trail, the hot list, and the writer behind them.
//!
//! The node tells an [`Observer`] what happened; [`Telemetry`] passes it on to those that are on. Nothing here decides
//! anything, nothing calls back into the node, and nothing here ever makes the node wait.

pub mod audit;
mod error;
mod figures;
mod hotlist;
mod log;
mod writer;

pub use error::{TelemetryError, TrailError};
pub use log::{Log, LogFormat};

use audit::{Audit, StopSignal};
use figures::Figures;
use hotlist::HotList;
use slatelink_config::operators::{Settings, SettingsFile};
use slatelink_config::{digest, EndpointList};
use slatelink_policy::{BreakerScope, ClassId, EndpointId, Name, Status};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use writer::Writer;

/// How a request ended, as a tag's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With the answer of a cache server.
    Served,
    /// Not done, and harmless to ask again.
    Shed,
    /// Not done, or not known.
    Failed,
    /// Its client left first.
    ClientDisconnected,
}

impl RequestOutcome {
    const fn word(self) -> &'static str {
        match self {
            Self::Served => "200",
            Self::Shed => "503",
            Self::Failed => "502",
            Self::ClientDisconnected => "left",
        }
    }
}

/// Hears what happens in a node, in the order it happens. What it does not care for it leaves out.
pub trait Observer {
    /// A request was taken: one of this path.
    fn request_received(&self, _class: ClassId, _path: &str) {}

    /// A request taken has its final answer, or its client has left. `host`: who served it or was tried last.
    fn request_completed(
        &self,
        _class: ClassId,
        _host: Option<&EndpointId>,
        _took: Duration,
        _end: RequestOutcome,
    ) {
    }

    /// An attempt begins.
    fn attempt_started(&self, _host: &EndpointId) {}

    /// An attempt has ended.
    fn attempt_ended(&self, _class: ClassId, _host: &EndpointId, _status: Status) {}

    /// Discovery's word, as the node takes it in.
    fn endpoints_updated(&self, _listing: &EndpointList) {}

    /// What the table of clients' connections is like; each second.
    fn connections_sampled(&self, _table: &slatelink_admission::ConnectionStats) {}

    /// A circuit breaker of the decision module has opened.
    fn breaker_opened(&self, _scope: &BreakerScope) {}
}

/// At a stop the figures wait no longer than this for a pipe that is read slowly.
const FIGURES_FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// And then all features for the writer: a record that it has begun should be on disk.
const WRITER_FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// The features that are on.
pub struct Telemetry {
    /// The node's log, which shares standard error with them.
    pub log: Log,
    writer: Writer,
    figures: Option<Rc<Figures>>,
    audit: Option<Audit>,
    hotlist: Option<HotList>,
    source: Option<SettingsFile>,
}

impl Telemetry {
    /// Begins what the settings name, for these classes of requests. Its tasks run on the present local set.
    pub fn start(
        settings: &Settings,
        classes: &[Name],
        format: LogFormat,
    ) -> Result<Rc<Self>, TelemetryError> {
        let writer = Writer::start().map_err(TelemetryError::Writer)?;
        let log = Log::new(&writer, format);
        // A file that may grow no further is an error of the write, not the process's end. Standard error may be one.
        drop(catch("SIGXFSZ", SignalKind::from_raw(libc::SIGXFSZ))?);
        let source = settings.source.clone();
        let mut telemetry = Self {
            log,
            writer,
            figures: None,
            audit: None,
            hotlist: None,
            source,
        };
        if let Some(settings) = &settings.metrics {
            let (figures, landed) =
                Figures::open(settings, classes, &telemetry.writer, telemetry.log.clone())?;
            let figures = Rc::new(figures);
            tokio::task::spawn_local(figures.clone().run(landed));
            telemetry.figures = Some(figures);
        }
        if let Some(settings) = &settings.audit {
            telemetry.audit = Some(Audit::open(settings.path.as_deref(), &telemetry.writer)?);
        }
        let mut prints = None;
        if let Some(settings) = settings.enabled_hotlist() {
            // Caught before it is known to be on: uncaught, it ends the process.
            prints = Some(catch("SIGUSR1", SignalKind::user_defined1())?);
            let list = HotList::new(
                settings.capacity,
                settings.window(),
                classes,
                &telemetry.writer,
            )?;
            telemetry.hotlist = Some(list);
        }
        let telemetry = Rc::new(telemetry);
        if let Some(prints) = prints {
            tokio::task::spawn_local(telemetry.clone().print(prints));
        }
        Ok(telemetry)
    }

    /// Prints the hot list at each signal, for as long as the node runs.
    async fn print(self: Rc<Self>, mut signals: Signal) {
        while signals.recv().await.is_some() {
            if let Some(hotlist) = &self.hotlist {
                hotlist.print();
            }
        }
    }

    /// Descriptors that they hold: they come out of the node's limit.
    pub fn descriptor_count(settings: &Settings) -> usize {
        let figures = settings
            .metrics
            .as_ref()
            .map_or(0, |_| Figures::DESCRIPTORS);
        Writer::DESCRIPTORS + figures + settings.audit.as_ref().map_or(0, |_| Audit::DESCRIPTORS)
    }

    /// The signals, beside those that have a use, which end the node: caught where their names are wanted.
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

    /// The node of this name listens.
    pub fn node_started(&self, node: &str) {
        if let Some(audit) = &self.audit {
            audit.start(node);
        }
    }

    /// The platform's configuration, and with it the features', is in force: at the start and at each SIGHUP.
    pub fn config_loaded(&self, path: &Path, text: &[u8]) {
        if let Some(audit) = &self.audit {
            audit.loaded("platform", path, digest(text));
            if let Some(SettingsFile { path, sha256 }) = &self.source {
                audit.loaded("features", path, sha256.clone());
            }
        }
    }

    /// The node stops: what waits goes out, or is left after a while.
    pub async fn shut_down(&self, by: StopSignal) {
        if let Some(figures) = &self.figures {
            figures.stop(FIGURES_FLUSH_TIMEOUT).await;
        }
        if let Some(audit) = &self.audit {
            audit.stop(by);
        }
        self.writer.flush(WRITER_FLUSH_TIMEOUT).await;
    }
}

/// Installs a handler of the signal of this name.
fn catch(name: &'static str, kind: SignalKind) -> Result<Signal, TelemetryError> {
    signal(kind).map_err(|error| TelemetryError::Signal {
        signal: name,
        error,
    })
}

impl Observer for Telemetry {
    fn request_received(&self, class: ClassId, path: &str) {
        if let Some(hotlist) = &self.hotlist {
            hotlist.request_received(class, path.rsplit('/').next().unwrap_or_default());
        }
        if let Some(figures) = &self.figures {
            figures.request_received(class);
        }
    }

    fn request_completed(
        &self,
        class: ClassId,
        host: Option<&EndpointId>,
        took: Duration,
        end: RequestOutcome,
    ) {
        if let Some(figures) = &self.figures {
            figures.request_completed(class, host, took, end);
        }
    }

    fn attempt_started(&self, host: &EndpointId) {
        if let Some(figures) = &self.figures {
            figures.attempt_started(host);
        }
    }

    fn attempt_ended(&self, class: ClassId, host: &EndpointId, status: Status) {
        if let Some(figures) = &self.figures {
            figures.attempt_ended(class, host, status);
        }
    }

    fn endpoints_updated(&self, list: &EndpointList) {
        if let Some(figures) = &self.figures {
            figures.endpoints_updated(list);
        }
        if let Some(audit) = &self.audit {
            audit.endpoints_updated(list);
        }
    }

    fn connections_sampled(&self, table: &slatelink_admission::ConnectionStats) {
        self.log.report_suppressed();
        if let Some(figures) = &self.figures {
            figures.connections_sampled(table);
        }
    }

    fn breaker_opened(&self, scope: &BreakerScope) {
        if let (Some(figures), BreakerScope::Endpoint(endpoint)) = (&self.figures, scope) {
            figures.breaker_opened(endpoint);
        }
        self.log.rate_limited("module", &scope.to_string());
    }
}
