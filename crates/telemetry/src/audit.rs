//! The audit trail: who started, stopped and reconfigured the node, and what discovery said of endpoints. Each record is
//! a line that names the hash of the one before it, so that no line can be changed or taken out unseen.

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

/// Records that may wait for the disk; those past them are counted.
const MAX_QUEUED_RECORDS: usize = 768;
/// Longer names, of the node, an endpoint or a state, are cut: a record must fit a line of the trail.
const MAX_NAME_BYTES: usize = 256;
/// The state of an endpoint before discovery names it, and once a complete list lacks it.
const ABSENT: &str = "absent";

/// Records events in the audit trail. Records are made on the node's thread and written by the writer's thread.
pub struct Audit {
    sender: BoundedSender,
    trail: Arc<Mutex<Trail>>,
    /// Records that did not fit the queue since the last one that did.
    lost: Cell<u64>,
    /// The record of the stop is made: no other follows it.
    stopped: Cell<bool>,
    /// The state of each endpoint, as discovery said it last.
    states: RefCell<BTreeMap<EndpointId, String>>,
}

impl Audit {
    /// Descriptors that it holds.
    pub const DESCRIPTORS: usize = 1;

    /// Opens the trail for this node alone; without a path it goes to standard error.
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

    /// The node of this name listens.
    pub fn node_started(&self, node: &str) {
        self.record(Event::Start {
            node: truncated(node),
            pid: std::process::id(),
            version: env!("CARGO_PKG_VERSION"),
        });
    }

    /// The node stops, by this signal. No record follows this one.
    pub fn node_stopped(&self, stop: StopSignal) {
        self.record(Event::Stop { signal: stop.name });
        self.stopped.set(true);
    }

    /// A configuration is in force: `file` says which of the node's two.
    pub fn config_loaded(&self, file: &'static str, path: &Path, sha256: String) {
        self.record(Event::Config {
            file,
            path: path.display().to_string(),
            sha256,
        });
    }

    /// A list of discovery is in force: each endpoint whose state it changes has a record.
    pub fn endpoints_updated(&self, list: &EndpointList) {
        let mut states = self.states.borrow_mut();
        // Those that a complete list lacks remain here.
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

    /// Records that an endpoint has gone from one state to another.
    fn state_changed(&self, id: &EndpointId, from: String, to: String) {
        self.record(Event::Health {
            endpoint: truncated(id.as_str()),
            from,
            to,
        });
    }

    /// Has the writer append a record, made at this time. Never waits.
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
                // There is nowhere else to report it to.
                let _ = writeln!(stderr, "audit: a record is not written: {error}");
            }
        });
        self.lost.set(if queued { 0 } else { lost + 1 });
    }
}

/// The present time in milliseconds of Unix time.
fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// At most [`MAX_NAME_BYTES`] of the text, cut at the end of a character.
fn truncated(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_NAME_BYTES)].to_owned()
}

#[cfg(test)]
mod tests;
