//! The keys of a JSON document, to find those that another document lacks.

use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Keys that a list's items and objects may have or lack by the platform's format.
const OPTIONAL_KEYS: [&str; 2] = ["aim_stretch", "fleet"];

/// Keys of an object, or those that all objects of a list have.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct KeyTree {
    /// Keys of the object, with the keys below them.
    fields: BTreeMap<String, KeyTree>,
    /// Keys that every item of the list has; `None` unless the value is a list of objects.
    items: Option<Box<KeyTree>>,
}

impl KeyTree {
    /// Returns the keys of an object. A null counts as a missing key.
    pub(super) fn of_object(object: &Map<String, Value>) -> Self {
        let present = object
            .iter()
            .filter(|(name, value)| !value.is_null() && !OPTIONAL_KEYS.contains(&name.as_str()));
        Self {
            fields: present
                .map(|(name, value)| (name.clone(), Self::of_value(value)))
                .collect(),
            items: None,
        }
    }

    fn of_value(value: &Value) -> Self {
        match value {
            Value::Object(object) => Self::of_object(object),
            Value::Array(items) => {
                let objects = items.iter().filter_map(Value::as_object);
                let common = objects.map(Self::of_object).reduce(Self::intersection);
                Self {
                    fields: BTreeMap::new(),
                    items: common.map(Box::new),
                }
            }
            _ => Self::default(),
        }
    }

    /// Returns the keys that both trees have.
    fn intersection(self, mut other: Self) -> Self {
        let common = self.fields.into_iter().filter_map(|(name, tree)| {
            let other_tree = other.fields.remove(&name)?;
            Some((name, tree.intersection(other_tree)))
        });
        let fields = common.collect();
        let items = self.items.zip(other.items);
        Self {
            fields,
            items: items.map(|(items, others)| Box::new(items.intersection(*others))),
        }
    }

    /// Returns the path of the first key that an object lacks.
    pub(super) fn first_missing(&self, object: &Map<String, Value>) -> Option<String> {
        self.fields.iter().find_map(|(name, tree)| {
            match object.get(name).filter(|value| !value.is_null()) {
                None => Some(name.clone()),
                Some(value) if tree.items.is_some() && !value.is_array() => Some(name.clone()),
                Some(value) => tree
                    .first_missing_below(value)
                    .map(|path| format!("{name}.{path}")),
            }
        })
    }

    fn first_missing_below(&self, value: &Value) -> Option<String> {
        match (value, &self.items) {
            (Value::Object(object), _) => self.first_missing(object),
            (Value::Array(items), Some(tree)) => {
                items.iter().enumerate().find_map(|(index, item)| {
                    tree.first_missing_below(item)
                        .map(|path| format!("{index}.{path}"))
                })
            }
            // A scalar in place of an object has none of its keys.
            _ => self.fields.keys().next().cloned(),
        }
    }
}

#[cfg(test)]
mod tests;
