//! Tests of a changed configuration file: what is accepted, and the reason of each rejection.

use serde_json::{json, Value};
use slatelink_config::platform::{self, Config, ReloadBaseline};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

static FILES_WRITTEN: AtomicU32 = AtomicU32::new(0);

/// A configuration file of a running node.
struct ConfigFile(PathBuf);

impl ConfigFile {
    fn new(text: &str) -> Self {
        let number = FILES_WRITTEN.fetch_add(1, Ordering::SeqCst);
        let name = format!("slatelink-reload-{}-{number}.json", std::process::id());
        let file = Self(std::env::temp_dir().join(name));
        file.write(text);
        file
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).unwrap();
    }

    fn variable(&self, name: &str) -> Option<String> {
        (name == "LB_CONFIG").then(|| self.0.display().to_string())
    }

    fn baseline(&self) -> ReloadBaseline {
        let config = platform::load(|name| self.variable(name)).unwrap();
        ReloadBaseline::new(&config).unwrap()
    }

    /// Replaces the file and reloads it; an error has the file's path removed.
    fn reload(
        &self,
        baseline: &ReloadBaseline,
        text: &str,
    ) -> Result<(Config, ReloadBaseline), String> {
        self.write(text);
        baseline
            .reload(|name| self.variable(name))
            .map_err(|error| {
                let text = error.to_string();
                text.replace(&self.0.display().to_string(), "FILE")
            })
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn class(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "dedup_scope": "all", "promise_us": 1_000_000,
           "hard_limit_us": 2_500_000, "repeat_window_us": 4_000_000, "worth": 1.0})
}

fn config() -> Value {
    json!({
        "name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256},
        "known": {"seq": 1, "whole": true, "hosts": []},
        "settings": {
            "membership_mode": "subscribe",
            "lanes": [class("lookup", "safe"), class("queue-join", "keyed")],
            "limits": {"most_tries": 6, "max_retry_after_us": 1_500_000},
        },
    })
}

/// Returns the configuration with the value at this JSON pointer replaced.
fn with(pointer: &str, value: Value) -> String {
    let mut config = config();
    *config.pointer_mut(pointer).unwrap() = value;
    config.to_string()
}

/// Returns the configuration without this key of the object at a JSON pointer.
fn without(pointer: &str, key: &str) -> String {
    let mut config = config();
    let object = config.pointer_mut(pointer).unwrap();
    object.as_object_mut().unwrap().remove(key).unwrap();
    config.to_string()
}

// Guards against a changed file whose settings are dropped.
#[test]
fn an_accepted_file_brings_its_settings_and_its_address() {
    let file = ConfigFile::new(&config().to_string());
    let mut changed = config();
    changed["discovery"] = json!("127.0.0.1:3");
    changed["settings"]["lanes"] = json!([class("queue-join", "unsafe"), class("new", "safe")]);
    changed["settings"]["limits"]["most_tries"] = json!(2);
    let (config, _) = file.reload(&file.baseline(), &changed.to_string()).unwrap();
    assert_eq!(config.discovery, "127.0.0.1:3".parse().unwrap());
    let names = config
        .settings
        .classes
        .iter()
        .map(|class| class.name.as_str());
    assert_eq!(names.collect::<Vec<_>>(), ["queue-join", "new"]);
    assert_eq!(config.settings.max_attempts, 2);
}

// Guards against a file that is taken although it is empty, cut short or lacks any key.
#[test]
fn a_file_that_is_empty_cut_short_or_lacks_a_key_is_rejected() {
    let file = ConfigFile::new(&config().to_string());
    let baseline = file.baseline();
    let text = config().to_string();
    for length in 0..text.len() {
        assert!(
            file.reload(&baseline, &text[..length]).is_err(),
            "the first {length} bytes are accepted"
        );
    }
    for (pointer, path) in [
        ("", ""),
        ("/limits", "limits."),
        ("/settings", "settings."),
        ("/settings/limits", "settings.limits."),
        ("/settings/lanes/1", "settings.lanes.1."),
    ] {
        let object = config().pointer(pointer).unwrap().clone();
        for key in object.as_object().unwrap().keys() {
            let error = file.reload(&baseline, &without(pointer, key)).unwrap_err();
            assert!(error.contains(key.as_str()), "{path}{key}: {error}");
        }
    }
    assert_eq!(
        file.reload(&baseline, &without("/settings/limits", "most_tries"))
            .unwrap_err(),
        "FILE lacks the key settings.limits.most_tries"
    );
}

// Guards against a deadline or a number of attempts that would stop the node from serving.
#[test]
fn a_deadline_or_number_of_attempts_that_is_not_above_0_is_rejected() {
    let file = ConfigFile::new(&config().to_string());
    let baseline = file.baseline();
    for (pointer, key) in [
        (
            "/settings/lanes/1/hard_limit_us",
            "settings.lanes.1.hard_limit_us",
        ),
        (
            "/settings/lanes/0/promise_us",
            "settings.lanes.0.promise_us",
        ),
        ("/settings/limits/most_tries", "settings.limits.most_tries"),
    ] {
        for value in [json!(0), json!(-1), json!("6"), json!(true), json!([])] {
            let error = file
                .reload(&baseline, &with(pointer, value.clone()))
                .unwrap_err();
            let expected = format!("FILE: {key} is {value}, expected a number above 0");
            assert_eq!(error, expected);
        }
        for value in [json!(0.5), json!(1e300), json!(null)] {
            assert!(
                file.reload(&baseline, &with(pointer, value.clone()))
                    .is_err(),
                "{key}: {value}"
            );
        }
    }
}

// Guards against classes that cannot be distinguished, a node without classes, and a change that
// would need a restart and is silently not in force.
#[test]
fn ambiguous_or_missing_classes_and_fixed_settings_are_rejected() {
    let file = ConfigFile::new(&config().to_string());
    let baseline = file.baseline();
    let repeated = json!([class("a", "safe"), class("a", "unsafe")]);
    for (text, reason) in [
        (
            with("/settings/lanes", repeated),
            "FILE has two classes named \"a\"",
        ),
        (
            with("/settings/lanes", json!([])),
            "FILE has 0 classes, expected 1 to 1024",
        ),
        (
            with("/settings/membership_mode", json!("automatic")),
            "FILE changes settings.membership_mode, which needs a restart of the node",
        ),
    ] {
        assert_eq!(file.reload(&baseline, &text).unwrap_err(), reason);
    }
}

// Guards against a rejected file that changes what the next file is compared with.
#[test]
fn the_next_file_is_compared_with_the_file_in_force() {
    let file = ConfigFile::new(&config().to_string());
    let baseline = file.baseline();
    let mut extended = config();
    extended["settings"]["limits"]["new_limit"] = json!(1);
    let (_, next) = file.reload(&baseline, &extended.to_string()).unwrap();
    assert_eq!(
        file.reload(&next, &config().to_string()).unwrap_err(),
        "FILE lacks the key settings.limits.new_limit"
    );
    assert!(file.reload(&next, &extended.to_string()).is_ok());
    assert!(file.reload(&baseline, &config().to_string()).is_ok());
}
