//! Versioned endpoint list of the simulated discovery: entries, changes and answers to calls. No
//! I/O.

use crate::list_protocol::{Availability, EndpointListMessage, ListedEndpoint};
use crate::scale::options::Options;
use std::net::SocketAddr;
use std::sync::Arc;

/// Version of the list at the start of a run.
pub const FIRST_VERSION: u64 = 1;

/// Change of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// Index of the cache server, from 0.
    pub server: usize,
    /// Availability after the change.
    pub availability: Availability,
    /// New start time of the server, in Unix time milliseconds; `None` keeps the previous one.
    pub started_ms: Option<u64>,
}

#[derive(Debug)]
struct Entry {
    name: String,
    zone: String,
    availability: Availability,
    started_ms: u64,
    /// List version of the last change of this entry.
    last_change: u64,
}

/// Answer to a call for the list.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Full HTTP message.
    pub message: Arc<[u8]>,
    /// Number of entries in the message.
    pub entries: usize,
    /// Whether the message carries the complete list rather than a delta.
    pub whole: bool,
}

/// Cached answer, reusable for calls with the same list version and `after`.
#[derive(Debug)]
struct CachedAnswer {
    /// Version of the list when the answer was built.
    version: u64,
    /// Version that the caller has; `None` for a call for the complete list.
    after: Option<u64>,
    answer: Answer,
}

/// Endpoint list of the simulated discovery.
#[derive(Debug)]
pub struct EndpointList {
    version: u64,
    entries: Vec<Entry>,
    /// Address listed for every server.
    address: SocketAddr,
    /// Most recent answer. Many nodes send identical calls, so a cache of one entry suffices.
    latest: Option<CachedAnswer>,
}

impl EndpointList {
    /// Returns a list of ready servers at [`FIRST_VERSION`].
    pub fn new(options: &Options, address: SocketAddr) -> Self {
        let entry = |server: usize| Entry {
            name: format!("server-{server:05}"),
            zone: Options::zone(server % options.zones),
            availability: Availability::Ready,
            started_ms: 0,
            last_change: FIRST_VERSION,
        };
        let entries = (0..options.servers).map(entry).collect();
        Self {
            version: FIRST_VERSION,
            entries,
            address,
            latest: None,
        }
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies all changes in one new version and returns that version.
    pub fn apply(&mut self, changes: &[EndpointChange]) -> u64 {
        self.version += 1;
        for change in changes {
            if let Some(entry) = self.entries.get_mut(change.server) {
                entry.availability = change.availability;
                entry.started_ms = change.started_ms.unwrap_or(entry.started_ms);
                entry.last_change = self.version;
            }
        }
        self.version
    }

    /// Returns the answer to a caller that has version `after`.
    pub fn answer(&mut self, after: Option<u64>) -> serde_json::Result<Answer> {
        let matches_call =
            |cached: &&CachedAnswer| cached.version == self.version && cached.after == after;
        if let Some(cached) = self.latest.as_ref().filter(matches_call) {
            return Ok(cached.answer.clone());
        }
        // A version above the current one was never published; the caller gets the complete list.
        let after = after.filter(|after| *after <= self.version);
        let changed: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| entry.is_newer_than(after))
            .collect();
        let answer = Answer {
            entries: changed.len(),
            whole: after.is_none(),
            message: EndpointListMessage {
                version: self.version,
                complete: after.is_none(),
                endpoints: changed
                    .iter()
                    .map(|entry| entry.to_listed(self.address))
                    .collect(),
            }
            .message()?
            .into(),
        };
        self.latest = Some(CachedAnswer {
            version: self.version,
            after,
            answer: answer.clone(),
        });
        Ok(answer)
    }
}

impl Entry {
    fn is_newer_than(&self, after: Option<u64>) -> bool {
        match after {
            Some(after) => self.last_change > after,
            None => self.availability != Availability::Removed,
        }
    }

    fn to_listed(&self, address: SocketAddr) -> ListedEndpoint<'_> {
        ListedEndpoint {
            name: &self.name,
            address,
            zone: &self.zone,
            class: "lab",
            block: 0,
            availability: self.availability,
            weight: 1.0,
            started_ms: self.started_ms,
        }
    }
}

#[cfg(test)]
mod tests;
