//! Lists and their entries in discovery's form. What an entry says beside its name and health is passed on byte for byte.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// The health of a server that was removed.
const GONE: &str = "gone";

/// A version of the list, as upstream numbers it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why a message is no list.
#[derive(Debug, Error)]
pub enum MessageError {
    /// It is not JSON of the expected form.
    #[error("not a list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// An entry lacks what every entry has.
    #[error("entry {place} of list {version} has no name or no health: {error}")]
    Entry {
        /// The list's version.
        version: Version,
        /// Which entry, from 0.
        place: usize,
        /// What was found.
        error: serde_json::Error,
    },
}

/// One server of the list. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Entry {
    host: Arc<str>,
    gone: bool,
    json: Arc<RawValue>,
}

/// What is read of an entry.
#[derive(Deserialize)]
struct Head {
    host: String,
    health: String,
}

impl Entry {
    /// Reads an entry; all of its text is kept.
    pub fn parse(json: Box<RawValue>) -> serde_json::Result<Self> {
        let Head { host, health } = serde_json::from_str(json.get())?;
        Ok(Self {
            host: host.into(),
            gone: health == GONE,
            json: json.into(),
        })
    }

    /// The server's name.
    pub fn host(&self) -> &Arc<str> {
        &self.host
    }

    /// Whether the server was removed.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// The entry as upstream wrote it.
    pub fn json(&self) -> &str {
        self.json.get()
    }

    /// The same server, removed; for a whole list that no longer has it.
    pub(crate) fn removed(&self) -> Self {
        // It was read as an object before.
        let mut fields: Map<String, Value> =
            serde_json::from_str(self.json.get()).unwrap_or_default();
        fields.insert("host".to_owned(), Value::from(&*self.host));
        fields.insert("health".to_owned(), Value::from(GONE));
        let json =
            serde_json::value::to_raw_value(&fields).map_or_else(|_| self.json.clone(), Arc::from);
        Self {
            host: self.host.clone(),
            gone: true,
            json,
        }
    }

    /// The bytes that keeping it takes, roughly.
    pub(crate) fn bytes(&self) -> usize {
        size_of::<Self>() + self.host.len() + self.json.get().len()
    }
}

/// Two entries are equal where they say the same in the same words.
impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.json.get() == other.json.get()
    }
}

impl Eq for Entry {}

/// A whole list, or a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List {
    /// Its version.
    pub version: Version,
    /// Whether what it lacks is gone.
    pub whole: bool,
    /// The entries, or those that changed.
    pub entries: Vec<Entry>,
}

#[derive(Deserialize)]
struct ReadList {
    seq: Version,
    whole: bool,
    #[serde(default)]
    hosts: Vec<Box<RawValue>>,
}

#[derive(Serialize)]
struct WrittenList<'a> {
    seq: Version,
    whole: bool,
    hosts: Vec<&'a RawValue>,
}

impl List {
    /// Reads a message of discovery's.
    pub fn parse(body: &[u8]) -> Result<Self, MessageError> {
        let ReadList {
            seq: version,
            whole,
            hosts,
        } = serde_json::from_slice(body)?;
        let entry = |(place, json)| {
            Entry::parse(json).map_err(|error| MessageError::Entry {
                version,
                place,
                error,
            })
        };
        let entries = hosts
            .into_iter()
            .enumerate()
            .map(entry)
            .collect::<Result<_, _>>()?;
        Ok(Self {
            version,
            whole,
            entries,
        })
    }

    /// Writes it as discovery would.
    pub fn encode(&self) -> serde_json::Result<Vec<u8>> {
        let hosts = self.entries.iter().map(|entry| &*entry.json).collect();
        serde_json::to_vec(&WrittenList {
            seq: self.version,
            whole: self.whole,
            hosts,
        })
    }
}
