//! The audit trail: who started, stopped and reconfigured the node, and what discovery said of hosts. Each record is
//! a line that names the hash of the one before it, so that no line can be changed or taken out unseen.

mod signals;
mod trail;
mod verify;

pub use signals::{catch_signals, StopSignal};
pub use verify::{verify, Verification};

use crate::error::TelemetryError;
use crate::writer::{BoundedSender, Writer};
use slatelink_config::EndpointList;
use slatelink_policy::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use trail::{Event, Trail};

/// Records that may wait for the disk.
const MAX_QUEUED_RECORDS: usize = 768;
/// Longer names in discovery's words are cut.
const MAX_NAME_BYTES: usize = 256;
/// What a host is before discovery names it and once its whole list lacks it.
const ABSENT: &str = "absent";

/// The node's side of the trail. Records are made here and written by the writer's thread.
pub struct Audit {
    sender: BoundedSender,
    trail: Arc<Mutex<Trail>>,
    /// Records that found no place in the queue since the last one that did.
    lost: Cell<u64>,
    /// The stop is the last record.
    stopped: Cell<bool>,
    health: RefCell<BTreeMap<EndpointId, String>>,
}

impl Audit {
    /// Descriptors that it holds.
    pub const DESCRIPTORS: usize = 1;

    /// Opens the trail for this node alone; without a path it goes to standard error.
    pub fn open(path: Option<&Path>, writer: &Writer) -> Result<Self, TelemetryError> {
        let (trail, torn) = match path {
            None => (Trail::default(), None),
            Some(path) => Trail::open(path).map_err(|error| TelemetryError::Audit {
                path: path.to_owned(),
                error,
            })?,
        };
        let audit = Self {
            sender: writer.sender(MAX_QUEUED_RECORDS),
            trail: Arc::new(Mutex::new(trail)),
            lost: Cell::default(),
            stopped: Cell::default(),
            health: RefCell::default(),
        };
        torn.into_iter().for_each(|torn| audit.record(torn));
        Ok(audit)
    }

    pub fn start(&self, node: &str) {
        let (pid, version) = (std::process::id(), env!("CARGO_PKG_VERSION"));
        self.record(Event::Start {
            node: truncated(node),
            pid,
            version,
        });
    }

    pub fn stop(&self, stop: StopSignal) {
        self.record(Event::Stop {
            signal: stop.signal,
        });
        self.stopped.set(true);
    }

    /// A configuration is in force.
    pub fn loaded(&self, file: &'static str, path: &Path, sha256: String) {
        self.record(Event::Config {
            file,
            path: path.display().to_string(),
            sha256,
        });
    }

    /// Discovery's word of hosts.
    pub fn endpoints_updated(&self, list: &EndpointList) {
        let mut health = self.health.borrow_mut();
        let mut previous = if list.complete {
            std::mem::take(&mut *health)
        } else {
            BTreeMap::new()
        };
        for host in &list.endpoints {
            let (id, to) = (host.endpoint().id, truncated(host.state()));
            let from = health.remove(&id).or_else(|| previous.remove(&id));
            let known = from.is_some();
            let from = from.unwrap_or_else(|| ABSENT.to_owned());
            let gone = to == "gone";
            if from != to && (known || !gone) {
                self.record(Event::Health {
                    host: truncated(id.as_str()),
                    from,
                    to: to.clone(),
                });
            }
            if !gone {
                health.insert(id, to);
            }
        }
        for (id, from) in previous {
            self.record(Event::Health {
                host: truncated(id.as_str()),
                from,
                to: ABSENT.to_owned(),
            });
        }
    }

    fn record(&self, event: Event) {
        if self.stopped.get() {
            return;
        }
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let at_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        let (trail, lost) = (self.trail.clone(), self.lost.get());
        let queued = self.sender.try_send(move |stderr| {
            let mut trail = trail.lock().unwrap_or_else(PoisonError::into_inner);
            trail.lost += lost;
            if let Err(error) = trail.write(stderr, at_ms, &event) {
                trail.lost += 1;
                // There is nowhere else to report it to.
                let _ = writeln!(stderr, "audit: a record is not written: {error}");
            }
        });
        self.lost.set(if queued { 0 } else { lost + 1 });
    }
}

fn truncated(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_NAME_BYTES)].to_owned()
}

#[cfg(test)]
mod tests;
