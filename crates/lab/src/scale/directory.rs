//! The list that discovery's stand-in holds: versions, entries, and answers to calls. No I/O.

use crate::list_protocol::{ListAnswer, ListedHost};
use crate::scale::options::Options;
use std::net::SocketAddr;
use std::sync::Arc;

/// The list's version at the start.
pub const FIRST_VERSION: u64 = 1;

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Takes work.
    Ready,
    /// Wants nothing new.
    Draining,
    /// Removed.
    Gone,
}

impl Health {
    fn word(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
        }
    }
}

/// A change of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryChange {
    /// Which server, by place from 0.
    pub server: usize,
    /// What it is now.
    pub health: Health,
    /// It starts anew then, in Unix time milliseconds.
    pub born_ms: Option<u64>,
}

#[derive(Debug)]
struct Entry {
    name: String,
    zone: String,
    health: Health,
    born_ms: u64,
    /// Version of its last change.
    changed: u64,
}

/// An answer, whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP message.
    pub message: Arc<[u8]>,
    /// Entries in it.
    pub entries: usize,
    /// Whether it is the whole list.
    pub whole: bool,
}

/// The list.
#[derive(Debug)]
pub struct Directory {
    version: u64,
    entries: Vec<Entry>,
    /// Where each server listens.
    dial: SocketAddr,
    /// The latest answer, and to whom: many nodes ask alike.
    latest: Option<(u64, Option<u64>, Answer)>,
}

impl Directory {
    /// A list of ready servers, at the first version.
    pub fn new(options: &Options, dial: SocketAddr) -> Self {
        let entry = |server: usize| Entry {
            name: format!("server-{server:05}"),
            zone: Options::zone(server % options.zones),
            health: Health::Ready,
            born_ms: 0,
            changed: FIRST_VERSION,
        };
        let entries = (0..options.servers).map(entry).collect();
        Self {
            version: FIRST_VERSION,
            entries,
            dial,
            latest: None,
        }
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes in changes, all at once; the version that has them.
    pub fn change(&mut self, changes: &[EntryChange]) -> u64 {
        self.version += 1;
        for change in changes {
            if let Some(entry) = self.entries.get_mut(change.server) {
                entry.health = change.health;
                entry.born_ms = change.born_ms.unwrap_or(entry.born_ms);
                entry.changed = self.version;
            }
        }
        self.version
    }

    /// The answer for a node that has this version.
    pub fn answer(&mut self, after: Option<u64>) -> serde_json::Result<Answer> {
        let fits = |(version, to, _): &&(u64, Option<u64>, Answer)| {
            (*version, *to) == (self.version, after)
        };
        if let Some((_, _, answer)) = self.latest.as_ref().filter(fits) {
            return Ok(answer.clone());
        }
        // A version that was never given out has no changes after it.
        let after = after.filter(|after| *after <= self.version);
        let hosts: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| entry.is_newer_than(after))
            .collect();
        let answer = Answer {
            entries: hosts.len(),
            whole: after.is_none(),
            message: ListAnswer {
                seq: self.version,
                whole: after.is_none(),
                hosts: hosts.iter().map(|entry| entry.listed(self.dial)).collect(),
            }
            .message()?
            .into(),
        };
        self.latest = Some((self.version, after, answer.clone()));
        Ok(answer)
    }
}

impl Entry {
    fn is_newer_than(&self, after: Option<u64>) -> bool {
        match after {
            Some(after) => self.changed > after,
            None => self.health != Health::Gone,
        }
    }

    fn listed(&self, dial: SocketAddr) -> ListedHost<'_> {
        ListedHost {
            host: &self.name,
            dial,
            site: &self.zone,
            class: "lab",
            block: 0,
            health: self.health.word(),
            share: 1.0,
            born_ms: self.born_ms,
        }
    }
}

#[cfg(test)]
mod tests;
