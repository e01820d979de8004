//! Updates of the endpoint list in discovery's JSON format.

use crate::record::EndpointRecord;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::HashMap;
use std::fmt;
use thiserror::Error;

/// Version number that upstream assigns to the endpoint list; `seq` on the wire. Within an epoch,
/// versions only grow.
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

/// Reason why a message could not be parsed as an update.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The message is not JSON of the expected form.
    #[error("message is not an endpoint list: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A record lacks a mandatory field.
    #[error("record {index} of list {version} has no valid name or health: {error}")]
    InvalidRecord {
        /// Version of the update.
        version: Version,
        /// Index of the record in the message, from 0.
        index: usize,
        /// Error of the JSON parser.
        error: serde_json::Error,
    },
}

/// A snapshot, or a delta from the version named in the call or query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    /// Version of the list after the update is applied.
    pub version: Version,
    /// Whether the update is a snapshot; `whole` on the wire. Applying a snapshot removes the
    /// endpoints that it lacks.
    pub complete: bool,
    /// Records of all endpoints in a snapshot, or of the changed endpoints in a delta.
    pub records: Vec<EndpointRecord>,
}

/// An update as received. Its records are parsed separately, so that an error can name the index of
/// the record.
#[derive(Deserialize)]
struct ReceivedUpdate {
    #[serde(rename = "seq")]
    version: Version,
    #[serde(rename = "whole")]
    complete: bool,
    #[serde(default, rename = "hosts")]
    records: Vec<Box<RawValue>>,
}

/// An update as encoded.
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
    /// Parses a message from discovery.
    ///
    /// # Errors
    ///
    /// If the message or a record in it does not have the expected form.
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

    /// Encodes the update in discovery's format.
    ///
    /// # Errors
    ///
    /// If the serializer fails, which is not known to happen for any value of this type.
    pub fn encode(&self) -> serde_json::Result<Vec<u8>> {
        let records = self.records.iter().map(EndpointRecord::raw).collect();
        serde_json::to_vec(&EncodedUpdate {
            version: self.version,
            complete: self.complete,
            records,
        })
    }

    /// Returns the last record of each endpoint, in the order of the message. A later record of an
    /// endpoint replaces an earlier record.
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
