//! One endpoint as discovery's messages list it.

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::sync::Arc;

/// Value of `health` for an endpoint that was removed from the list.
const REMOVED_HEALTH: &str = "gone";

/// An endpoint's record in a message. Cheap to clone.
///
/// Only its name and whether it was removed are read; the text is kept and passed on byte for byte, so that a relay needs
/// no change when discovery adds a field.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    name: Arc<str>,
    removed: bool,
    json: Arc<RawValue>,
}

/// The fields that are read of a record.
#[derive(Deserialize)]
struct RecordFields {
    #[serde(rename = "host")]
    name: String,
    health: String,
}

impl EndpointRecord {
    /// Reads a record.
    ///
    /// # Errors
    ///
    /// If the text is no object, or has no name or no health.
    pub fn parse(json: Box<RawValue>) -> serde_json::Result<Self> {
        let RecordFields { name, health } = serde_json::from_str(json.get())?;
        Ok(Self {
            name: name.into(),
            removed: health == REMOVED_HEALTH,
            json: json.into(),
        })
    }

    /// The endpoint's name, unique in a list; on the wire `host`.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Whether the endpoint was removed from the list.
    pub fn is_removed(&self) -> bool {
        self.removed
    }

    /// The record as upstream wrote it.
    pub fn json(&self) -> &str {
        self.json.get()
    }

    /// The record as a JSON value that is written without change.
    pub(crate) fn raw(&self) -> &RawValue {
        &self.json
    }

    /// The record of the same endpoint after its removal, for a snapshot that no longer has it.
    pub(crate) fn to_removed(&self) -> Self {
        // The text was read as an object before, so it is one.
        let mut fields: Map<String, Value> =
            serde_json::from_str(self.json.get()).unwrap_or_default();
        fields.insert("host".to_owned(), Value::from(&*self.name));
        fields.insert("health".to_owned(), Value::from(REMOVED_HEALTH));
        let json =
            serde_json::value::to_raw_value(&fields).map_or_else(|_| self.json.clone(), Arc::from);
        Self {
            name: self.name.clone(),
            removed: true,
            json,
        }
    }

    /// Approximate memory that the record takes, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        size_of::<Self>() + self.name.len() + self.json.get().len()
    }
}

/// Records are equal if their texts are.
impl PartialEq for EndpointRecord {
    fn eq(&self, other: &Self) -> bool {
        self.json.get() == other.json.get()
    }
}

impl Eq for EndpointRecord {}
