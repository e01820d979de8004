//! Updates of the endpoint list in discovery's JSON.

use crate::record::EndpointRecord;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::HashMap;
use std::fmt;
use thiserror::Error;

/// A version of the endpoint list, as upstream numbers it; on the wire `seq`. It grows within an epoch.
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

/// Why a message could not be read as an update.
#[derive(Debug, Error)]
pub enum MessageError {
    /// It is not JSON of the expected form.
    #[error("not a list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A record lacks a field that each record has.
    #[error("entry {index} of list {version} has no name or no health: {error}")]
    InvalidRecord {
        /// Version of the update.
        version: Version,
        /// Index of the record in the message, from 0.
        index: usize,
        /// What the parser found.
        error: serde_json::Error,
    },
}

/// A snapshot, or a delta to the version that the call named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    /// Version of the list once the update is applied.
    pub version: Version,
    /// Whether this is a snapshot: an endpoint that it lacks is removed. On the wire `whole`.
    pub complete: bool,
    /// The records of all endpoints in a snapshot, of those that changed in a delta.
    pub records: Vec<EndpointRecord>,
}

/// An update as it is read. Records are read one by one afterwards, so that an error can name the record.
#[derive(Deserialize)]
struct ReceivedUpdate {
    #[serde(rename = "seq")]
    version: Version,
    #[serde(rename = "whole")]
    complete: bool,
    #[serde(default, rename = "hosts")]
    records: Vec<Box<RawValue>>,
}

/// An update as it is written.
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
    /// Reads a message of discovery.
    ///
    /// # Errors
    ///
    /// If the message or one of its records has not the expected form.
    pub fn parse(body: &[u8]) -> Result<Self, MessageError> {
        let ReceivedUpdate {
            version,
            complete,
            records,
        } = serde_json::from_slice(body)?;
        let parse_record = |(index, json)| {
            EndpointRecord::parse(json).map_err(|error| MessageError::InvalidRecord {
                version,
                index,
                error,
            })
        };
        let records = records
            .into_iter()
            .enumerate()
            .map(parse_record)
            .collect::<Result<_, _>>()?;
        Ok(Self {
            version,
            complete,
            records,
        })
    }

    /// Writes the update in the form in which discovery does.
    ///
    /// # Errors
    ///
    /// If the serializer fails; no value of this type is known to make it.
    pub fn encode(&self) -> serde_json::Result<Vec<u8>> {
        let records = self.records.iter().map(EndpointRecord::raw).collect();
        serde_json::to_vec(&EncodedUpdate {
            version: self.version,
            complete: self.complete,
            records,
        })
    }

    /// The last record of each endpoint, in the order of the message: a later record replaces an earlier one.
    pub(crate) fn effective_records(&self) -> impl Iterator<Item = &EndpointRecord> {
        let last_index: HashMap<&str, usize> = self
            .records
            .iter()
            .enumerate()
            .map(|(index, record)| (&**record.name(), index))
            .collect();
        self.records
            .iter()
            .enumerate()
            .filter(move |(index, record)| last_index.get(&**record.name()) == Some(index))
            .map(|(_, record)| record)
    }
}
