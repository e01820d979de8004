//! The list that discovery's stand-in holds: versions, entries, and answers to calls. No I/O.

use crate::list_protocol::{Availability, EndpointListMessage, ListedEndpoint};
use crate::scale::options::Options;
use std::net::SocketAddr;
use std::sync::Arc;

/// The list's version at the start.
pub const FIRST_VERSION: u64 = 1;

/// A change of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointChange {
    /// Which server, by place from 0.
    pub server: usize,
    /// Whether it takes requests from now on.
    pub availability: Availability,
    /// When it was started anew, in Unix time milliseconds; as before where there is none.
    pub started_ms: Option<u64>,
}

#[derive(Debug)]
struct Entry {
    name: String,
    zone: String,
    availability: Availability,
    started_ms: u64,
    /// Version of its last change.
    changed: u64,
}

/// A complete answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP message.
    pub message: Arc<[u8]>,
    /// Entries in it.
    pub entries: usize,
    /// Whether it is the whole list.
    pub whole: bool,
}

/// An answer that may be given again.
#[derive(Debug)]
struct CachedAnswer {
    /// The list's version then.
    version: u64,
    /// The version that the caller has; `None` for a call of the complete list.
    after: Option<u64>,
    answer: Answer,
}

/// The endpoint list of discovery's stand-in.
#[derive(Debug)]
pub struct Directory {
    version: u64,
    entries: Vec<Entry>,
    /// Where each server listens.
    address: SocketAddr,
    /// The latest answer, and to whom: many nodes ask alike.
    latest: Option<CachedAnswer>,
}

impl Directory {
    /// A list of ready servers, at the first version.
    pub fn new(options: &Options, address: SocketAddr) -> Self {
        let entry = |server: usize| Entry {
            name: format!("server-{server:05}"),
            zone: Options::zone(server % options.zones),
            availability: Availability::Ready,
            started_ms: 0,
            changed: FIRST_VERSION,
        };
        let entries = (0..options.servers).map(entry).collect();
        Self {
            version: FIRST_VERSION,
            entries,
            address,
            latest: None,
        }
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes in changes, all at once; the version that has them.
    pub fn change(&mut self, changes: &[EndpointChange]) -> u64 {
        self.version += 1;
        for change in changes {
            if let Some(entry) = self.entries.get_mut(change.server) {
                entry.availability = change.availability;
                entry.started_ms = change.started_ms.unwrap_or(entry.started_ms);
                entry.changed = self.version;
            }
        }
        self.version
    }

    /// The answer for a node that has this version.
    pub fn answer(&mut self, after: Option<u64>) -> serde_json::Result<Answer> {
        let fits = |cached: &&CachedAnswer| cached.version == self.version && cached.after == after;
        if let Some(cached) = self.latest.as_ref().filter(fits) {
            return Ok(cached.answer.clone());
        }
        // A version that was never given out has no changes after it.
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
                    .map(|entry| entry.listed(self.address))
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
            Some(after) => self.changed > after,
            None => self.availability != Availability::Removed,
        }
    }

    fn listed(&self, address: SocketAddr) -> ListedEndpoint<'_> {
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
