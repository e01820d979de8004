//! Lists and their entries in discovery's form. What an record says beside its name and health is passed on byte for byte.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// The health of a server that was removed.
const REMOVED_HEALTH: &str = "gone";

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
    /// An record lacks what every record has.
    #[error("entry {index} of list {version} has no name or no health: {error}")]
    InvalidRecord {
        /// The list's version.
        version: Version,
        /// Which record, from 0.
        index: usize,
        /// What was found.
        error: serde_json::Error,
    },
}

/// One server of the list. Cheap to clone.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    host: Arc<str>,
    removed: bool,
    json: Arc<RawValue>,
}

/// What is read of an record.
#[derive(Deserialize)]
struct RecordFields {
    host: String,
    health: String,
}

impl EndpointRecord {
    /// Reads an record; all of its text is kept.
    pub fn parse(json: Box<RawValue>) -> serde_json::Result<Self> {
        let RecordFields { host, health } = serde_json::from_str(json.get())?;
        Ok(Self {
            host: host.into(),
            removed: health == REMOVED_HEALTH,
            json: json.into(),
        })
    }

    /// The server's name.
    pub fn host(&self) -> &Arc<str> {
        &self.host
    }

    /// Whether the server was removed.
    pub fn is_removed(&self) -> bool {
        self.removed
    }

    /// The record as upstream wrote it.
    pub fn json(&self) -> &str {
        self.json.get()
    }

    /// The same server, removed; for a whole list that no longer has it.
    pub(crate) fn to_removed(&self) -> Self {
        // It was read as an object before.
        let mut fields: Map<String, Value> =
            serde_json::from_str(self.json.get()).unwrap_or_default();
        fields.insert("host".to_owned(), Value::from(&*self.host));
        fields.insert("health".to_owned(), Value::from(REMOVED_HEALTH));
        let json =
            serde_json::value::to_raw_value(&fields).map_or_else(|_| self.json.clone(), Arc::from);
        Self {
            host: self.host.clone(),
            removed: true,
            json,
        }
    }

    /// The bytes that keeping it takes, roughly.
    pub(crate) fn bytes(&self) -> usize {
        size_of::<Self>() + self.host.len() + self.json.get().len()
    }
}

/// Two entries are equal where they say the same in the same words.
impl PartialEq for EndpointRecord {
    fn eq(&self, other: &Self) -> bool {
        self.json.get() == other.json.get()
    }
}

impl Eq for EndpointRecord {}

/// A whole list, or a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    /// Its version.
    pub version: Version,
    /// Whether what it lacks is gone.
    pub complete: bool,
    /// The entries, or those that changed.
    pub records: Vec<EndpointRecord>,
}

#[derive(Deserialize)]
struct ReceivedUpdate {
    #[serde(rename = "seq")]
    version: Version,
    #[serde(rename = "whole")]
    complete: bool,
    #[serde(default, rename = "hosts")]
    records: Vec<Box<RawValue>>,
}

#[derive(Serialize)]
struct EncodedUpdate<'a> {
    #[serde(rename = "seq")]
    version: Version,
    #[serde(rename = "whole")]
    complete: bool,
    #[serde(rename = "hosts")]
    records: Vec<&'a RawValue>,
}

impl ListUpdate {
    /// Reads a message of discovery's.
    pub fn parse(body: &[u8]) -> Result<Self, MessageError> {
        let ReceivedUpdate {
            version,
            complete,
            records,
        } = serde_json::from_slice(body)?;
        let record = |(index, json)| {
            EndpointRecord::parse(json).map_err(|error| MessageError::InvalidRecord {
                version,
                index,
                error,
            })
        };
        let records = records
            .into_iter()
            .enumerate()
            .map(record)
            .collect::<Result<_, _>>()?;
        Ok(Self {
            version,
            complete,
            records,
        })
    }

    /// Writes it as discovery would.
    pub fn encode(&self) -> serde_json::Result<Vec<u8>> {
        let records = self.records.iter().map(|record| &*record.json).collect();
        serde_json::to_vec(&EncodedUpdate {
            version: self.version,
            complete: self.complete,
            records,
        })
    }
}
