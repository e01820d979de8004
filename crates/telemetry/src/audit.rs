//! The audit trail: starts, stops and configurations of the node, and state changes of endpoints as
//! reported by discovery. Each record is one line that holds the hash of the previous line, so that
//! changing or removing a line is detected.

mod record;
mod signals;
mod trail;
mod verify;

pub use signals::{catch_signals, StopSignal};
pub use verify::{verify, Verification};

use crate::error::TelemetryError;
use crate::writer::{BoundedSender, Writer};
use record::Event;
use slatelink_config::EndpointList;
use slatelink_policy::{Availability, EndpointId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use trail::{OpenedTrail, Trail};

/// Maximum number of records queued for the disk; records beyond it are lost and counted.
const MAX_QUEUED_RECORDS: usize = 768;
/// Names of the node, of endpoints and of states are cut to this length: a record must fit in one
/// line of the trail.
const MAX_NAME_BYTES: usize = 256;
/// State of an endpoint before discovery lists it, and after a complete list omits it.
const ABSENT: &str = "absent";

/// Records events in the audit trail. The node's thread creates the records; the writer's thread
/// writes them.
pub struct Audit {
    sender: BoundedSender,
    trail: Arc<Mutex<Trail>>,
    /// Records that did not fit in the queue since the last record that did.
    lost: Cell<u64>,
    /// Whether the stop record has been created: no record follows it.
    stopped: Cell<bool>,
    /// Latest state of each endpoint as reported by discovery.
    states: RefCell<BTreeMap<EndpointId, String>>,
}

impl Audit {
    /// Number of file descriptors held by the audit trail.
    pub const DESCRIPTORS: usize = 1;

    /// Opens the trail for exclusive use by this node; without a path, records are written to
    /// standard error.
    pub fn open(path: Option<&Path>, writer: &Writer) -> Result<Self, TelemetryError> {
        let OpenedTrail { trail, torn } = match path {
            None => OpenedTrail {
                trail: Trail::default(),
                torn: None,
            },
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
            states: RefCell::default(),
        };
        if let Some(torn) = torn {
            audit.record(torn);
        }
        Ok(audit)
    }

    /// Records that the node with this name listens.
    pub fn node_started(&self, node: &str) {
        self.record(Event::Start {
            node: truncated(node),
            pid: std::process::id(),
            version: env!("CARGO_PKG_VERSION"),
        });
    }

    /// Records that the node stops because of this signal. No record follows this one.
    pub fn node_stopped(&self, stop_signal: StopSignal) {
        self.record(Event::Stop {
            signal: stop_signal.name,
        });
        self.stopped.set(true);
    }

    /// Records that a configuration is in force; `file` names which of the node's two configuration
    /// files was loaded.
    pub fn config_loaded(&self, file: &'static str, path: &Path, sha256: String) {
        self.record(Event::Config {
            file,
            path: path.display().to_string(),
            sha256,
        });
    }

    /// Records each endpoint state that the discovery list changes.
    pub fn endpoints_updated(&self, list: &EndpointList) {
        let mut states = self.states.borrow_mut();
        // After the loop, holds the known endpoints that a complete list omits.
        let mut unlisted = if list.complete {
            std::mem::take(&mut *states)
        } else {
            BTreeMap::new()
        };
        for endpoint in &list.endpoints {
            let id = EndpointId::from(endpoint.id());
            let state = truncated(endpoint.state());
            let previous = states.remove(&id).or_else(|| unlisted.remove(&id));
            let removed = endpoint.availability() == Availability::Removed;
            let is_known = previous.is_some();
            let previous = previous.unwrap_or_else(|| ABSENT.to_owned());
            if previous != state && (is_known || !removed) {
                self.state_changed(&id, previous, state.clone());
            }
            if !removed {
                states.insert(id, state);
            }
        }
        for (id, previous) in unlisted {
            self.state_changed(&id, previous, ABSENT.to_owned());
        }
    }

    /// Records a state change of an endpoint.
    fn state_changed(&self, id: &EndpointId, from: String, to: String) {
        self.record(Event::Health {
            endpoint: truncated(id.as_str()),
            from,
            to,
        });
    }

    /// Queues a record for the writer, with the current time. Never blocks.
    fn record(&self, event: Event) {
        if self.stopped.get() {
            return;
        }
        let at_ms = unix_time_ms();
        let trail = self.trail.clone();
        let lost = self.lost.get();
        let queued = self.sender.try_send(move |stderr| {
            let mut trail = trail.lock().unwrap_or_else(PoisonError::into_inner);
            trail.lost += lost;
            if let Err(error) = trail.record(stderr, at_ms, &event) {
                trail.lost += 1;
                // The error cannot be reported anywhere else.
                let _ = writeln!(stderr, "audit: a record is not written: {error}");
            }
        });
        self.lost.set(if queued { 0 } else { lost + 1 });
    }
}

/// Returns the current time in milliseconds of Unix time.
fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the text cut to at most [`MAX_NAME_BYTES`], at a character boundary.
fn truncated(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_NAME_BYTES)].to_owned()
}

#[cfg(test)]
mod tests;
