//! The record of an endpoint in discovery's messages.

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::sync::Arc;

/// Value of `health` for an endpoint that was removed from the list.
const REMOVED_HEALTH: &str = "gone";

/// The record of an endpoint in a message. Cheap to clone.
///
/// Only the endpoint's name and whether it was removed are parsed. The JSON text is stored and
/// forwarded byte for byte, so that a relay needs no change when discovery adds a field.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    name: Arc<str>,
    removed: bool,
    json: Arc<RawValue>,
}

/// The parsed fields of a record.
#[derive(Deserialize)]
struct RecordFields {
    #[serde(rename = "host")]
    name: String,
    health: String,
}

impl EndpointRecord {
    /// Parses a record.
    ///
    /// # Errors
    ///
    /// If the text is not a JSON object, or has no name or no health.
    pub fn parse(json: Box<RawValue>) -> serde_json::Result<Self> {
        let RecordFields { name, health } = serde_json::from_str(json.get())?;
        Ok(Self {
            name: name.into(),
            removed: health == REMOVED_HEALTH,
            json: json.into(),
        })
    }

    /// Returns the endpoint's name, unique in a list; `host` on the wire.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }

    /// Returns whether the endpoint was removed from the list.
    pub fn is_removed(&self) -> bool {
        self.removed
    }

    /// Returns the JSON text of the record as received from upstream.
    pub fn json(&self) -> &str {
        self.json.get()
    }

    /// Returns the record as a JSON value that is serialized unchanged.
    pub(crate) fn raw(&self) -> &RawValue {
        &self.json
    }

    /// Returns a record that marks the endpoint as removed, for an endpoint that a snapshot no
    /// longer contains.
    pub(crate) fn to_removed(&self) -> Self {
        // The text was parsed as an object before, so parsing does not fail here.
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

    /// Returns the approximate memory use of the record, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        size_of::<Self>() + self.name.len() + self.json.get().len()
    }
}

/// Records are equal if their JSON texts are equal.
impl PartialEq for EndpointRecord {
    fn eq(&self, other: &Self) -> bool {
        self.json.get() == other.json.get()
    }
}

impl Eq for EndpointRecord {}
