//! What observes a node at the operators' wish. Nothing here decides anything: the driver and the clients' side
//! say what happened, and each feature that is on takes from it what it needs.

pub mod audit;
pub mod figures;
pub mod hotlist;
pub mod multiget;
pub mod settings;
pub mod writer;

use crate::net::discovery::Listing;
use audit::{Audit, Stop};
use figures::{End, Figures};
use hotlist::HotList;
use pinhead::{ClassId, Name, ServerId, Status};
use settings::{Settings, Source};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use writer::{Log, Writer};

/// At a stop the figures wait no longer than this for a pipe that is read slowly.
const FLUSH: Duration = Duration::from_millis(500);
/// And then all features for the writer: a record that it has begun should be on disk.
const SETTLE: Duration = Duration::from_secs(2);

/// The features that are on.
pub struct Features {
    pub log: Log,
    writer: Option<Writer>,
    figures: Option<Rc<Figures>>,
    audit: Option<Audit>,
    hotlist: Option<HotList>,
    source: Option<Source>,
}

impl Features {
    /// Begins what the settings name, for these classes of requests. Its tasks run on the present local set.
    pub fn start(settings: &Settings, classes: &[Name]) -> Result<Rc<Self>, String> {
        let writer = match settings.writes() {
            true => Some(Writer::start().map_err(|error| format!("cannot start the writer: {error}"))?),
            false => None,
        };
        let log = writer.as_ref().map_or(Log::Direct, Log::queued);
        if writer.is_some() {
            // A file that may grow no further is an error of the write, not the process's end.
            let caught = signal(SignalKind::from_raw(libc::SIGXFSZ));
            drop(caught.map_err(|error| format!("cannot catch SIGXFSZ: {error}"))?);
        }
        let source = settings.source.clone();
        let mut features = Self { log, writer, figures: None, audit: None, hotlist: None, source };
        if let (Some(settings), Some(writer)) = (&settings.figures, &features.writer) {
            let (figures, landed) = Figures::open(settings, classes, writer, features.log.clone())?;
            let figures = Rc::new(figures);
            tokio::task::spawn_local(figures.clone().run(landed));
            features.figures = Some(figures);
        }
        if let (Some(settings), Some(writer)) = (&settings.audit, &features.writer) {
            features.audit = Some(Audit::open(settings.path.as_deref(), writer)?);
        }
        let mut prints = None;
        if let (Some(settings), Some(writer)) = (settings.hot(), &features.writer) {
            // Caught before it is known to be on: uncaught, it ends the process.
            let caught = signal(SignalKind::user_defined1());
            prints = Some(caught.map_err(|error| format!("cannot catch SIGUSR1: {error}"))?);
            features.hotlist = Some(HotList::new(settings.capacity, settings.window(), classes, writer)?);
        }
        let features = Rc::new(features);
        if let Some(prints) = prints {
            tokio::task::spawn_local(features.clone().print(prints));
        }
        Ok(features)
    }

    /// Prints the hot list at each signal, for as long as the node runs.
    async fn print(self: Rc<Self>, mut signals: Signal) {
        while signals.recv().await.is_some() {
            if let Some(hotlist) = &self.hotlist {
                hotlist.print();
            }
        }
    }

    /// The signals, beside those that have a use, which end the node: caught where their names are wanted.
    pub fn stops(&self) -> io::Result<Option<UnboundedReceiver<Stop>>> {
        let but: &[i32] = if self.hotlist.is_some() { &[libc::SIGUSR1] } else { &[] };
        self.audit.as_ref().map(|_| audit::catch(but)).transpose()
    }

    /// The node of this name listens.
    pub fn started(&self, node: &str) {
        if let Some(audit) = &self.audit {
            audit.start(node);
        }
    }

    /// The platform's configuration, and with it the features', is in force: at the start and at each SIGHUP.
    pub fn loaded(&self, path: &Path, text: &[u8]) {
        if let Some(audit) = &self.audit {
            audit.loaded("platform", path, audit::digest(text));
            if let Some(Source { path, sha256 }) = &self.source {
                audit.loaded("features", path, sha256.clone());
            }
        }
    }

    /// A request was taken: one of this path.
    pub fn taken(&self, class: ClassId, path: &str) {
        if let Some(hotlist) = &self.hotlist {
            hotlist.taken(class, path.rsplit('/').next().unwrap_or_default());
        }
        if let Some(figures) = &self.figures {
            figures.taken(class);
        }
    }

    /// A request taken has its final answer, or its client has left. `host`: who served it or was tried last.
    pub fn answered(&self, class: ClassId, host: Option<&ServerId>, took: Duration, end: End) {
        if let Some(figures) = &self.figures {
            figures.answered(class, host, took, end);
        }
    }

    /// An attempt begins.
    pub fn sent(&self, host: &ServerId) {
        if let Some(figures) = &self.figures {
            figures.sent(host);
        }
    }

    /// An attempt has ended.
    pub fn ended(&self, class: ClassId, host: &ServerId, status: Status) {
        if let Some(figures) = &self.figures {
            figures.ended(class, host, status);
        }
    }

    /// Discovery's word, as the driver takes it in.
    pub fn learned(&self, listing: &Listing) {
        if let Some(figures) = &self.figures {
            figures.learned(listing);
        }
        if let Some(audit) = &self.audit {
            audit.learned(listing);
        }
    }

    /// A line of the module's. That it tells of a breaker's trip is all that can be seen of breakers from here.
    pub fn said(&self, text: &str) {
        if let Some(figures) = &self.figures {
            let host = text.strip_prefix("breaker of ").and_then(|rest| rest.strip_suffix(" tripped"));
            host.into_iter().for_each(|host| figures.tripped(&host.into()));
        }
        self.log.line(text);
    }

    /// The node stops: what waits goes out, or is left after a while.
    pub async fn stop(&self, by: Stop) {
        if let Some(figures) = &self.figures {
            figures.stop(FLUSH).await;
        }
        if let Some(audit) = &self.audit {
            audit.stop(by);
        }
        if let Some(writer) = &self.writer {
            writer.settle(SETTLE).await;
        }
    }
}
