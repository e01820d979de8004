//! Tests of the keys that a document lacks.

use super::KeyTree;
use serde_json::{json, Map, Value};

fn object(value: Value) -> Map<String, Value> {
    value.as_object().unwrap().clone()
}

/// Returns the first key of `before` that `after` lacks.
fn missing(before: Value, after: Value) -> Option<String> {
    KeyTree::of_object(&object(before)).first_missing(&object(after))
}

// Guards against a document that lacks a key and is accepted.
#[test]
fn missing_keys_are_found_at_every_depth() {
    let before = json!({"a": 1, "b": {"c": 2, "d": null}, "list": [{"x": 1, "y": 2}, {"x": 3}]});
    let cases = [
        (json!({"b": {"c": 0}, "list": []}), Some("a")),
        (json!({"a": null, "b": {"c": 0}, "list": []}), Some("a")),
        (json!({"a": 1, "b": {}, "list": []}), Some("b.c")),
        (json!({"a": 1, "b": 7, "list": []}), Some("b.c")),
        (json!({"a": 1, "b": {"c": 0}}), Some("list")),
        (json!({"a": 1, "b": {"c": 0}, "list": 5}), Some("list")),
        (
            json!({"a": 1, "b": {"c": 0}, "list": [{"x": 1}, {"y": 1}]}),
            Some("list.1.x"),
        ),
        (
            json!({"a": 1, "b": {"c": 0}, "list": [3]}),
            Some("list.0.x"),
        ),
    ];
    for (after, expected) in cases {
        assert_eq!(
            missing(before.clone(), after.clone()).as_deref(),
            expected,
            "{after}"
        );
    }
}

// Guards against the rejection of a document with new keys, an empty list, or without keys that are
// optional or that only some items had.
#[test]
fn new_keys_empty_lists_and_optional_keys_are_no_reason_for_a_rejection() {
    let before = json!({"a": 1, "list": [{"x": 1, "y": 2, "aim_stretch": 1}, {"x": 3}]});
    for after in [
        json!({"a": 2, "list": []}),
        json!({"a": 2, "new": {}, "list": [{"x": 1, "z": 2}]}),
    ] {
        assert_eq!(missing(before.clone(), after.clone()), None, "{after}");
    }
}
