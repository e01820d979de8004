//! Reading the configuration file again while a node runs.
//!
//! A changed file is accepted as a whole or rejected as a whole. It is checked more strictly than
//! at start-up, where a node with defaults is better than none: a running node has settings that
//! work.

use super::key_tree::KeyTree;
use super::{from_contents, parse, read_file, Config, ConfigError};
use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::collections::HashSet;
use std::path::Path;

/// Maximum number of request classes in a changed file.
pub(super) const MAX_CLASSES: usize = 1024;

/// What a changed file is compared with: the file in force.
#[derive(Clone, Debug)]
pub struct ReloadBaseline {
    /// Keys that a changed file must have.
    keys: KeyTree,
    /// Whether the file has a list of known endpoints.
    has_known_endpoints: bool,
    /// Whether discovery is polled, which cannot change while the node runs.
    polls_discovery: bool,
}

/// The file without the list of known endpoints, which may be long.
#[derive(Deserialize)]
struct FileWithoutEndpoints {
    known: Option<IgnoredAny>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

impl ReloadBaseline {
    /// Returns the baseline of a configuration that is in force.
    ///
    /// # Errors
    ///
    /// If the contents of the configuration are not a JSON object.
    pub fn new(config: &Config) -> Result<Self, ConfigError> {
        let file = parse(&config.path, &config.contents)?;
        Ok(Self::of_file(config, &file))
    }

    /// Reads the changed file, and returns it with the baseline of the next change. `variable`
    /// looks up an environment variable.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or used, lacks a key of the file in force, has a deadline or a
    /// maximum of attempts that is not a number above 0, or changes a setting that cannot change
    /// while the node runs.
    pub fn reload(
        &self,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<(Config, Self), ConfigError> {
        let (path, contents) = read_file(&variable)?;
        let file: FileWithoutEndpoints = parse(&path, &contents)?;
        if let Some(key) = self.first_missing(&file) {
            return Err(ConfigError::MissingKey { path, key });
        }
        check_numbers(&path, &file.rest)?;
        let config = from_contents(variable, path, contents)?;
        check_classes(&config)?;
        let next = Self::of_file(&config, &file);
        if next.polls_discovery != self.polls_discovery {
            return Err(ConfigError::FixedSetting {
                path: config.path,
                key: "settings.membership_mode",
            });
        }
        Ok((config, next))
    }

    fn of_file(config: &Config, file: &FileWithoutEndpoints) -> Self {
        Self {
            keys: KeyTree::of_object(&file.rest),
            has_known_endpoints: file.known.is_some(),
            polls_discovery: config.settings.polls_discovery,
        }
    }

    /// Returns the path of the first key that a file lacks.
    fn first_missing(&self, file: &FileWithoutEndpoints) -> Option<String> {
        if self.has_known_endpoints && file.known.is_none() {
            return Some("known".to_owned());
        }
        self.keys.first_missing(&file.rest)
    }
}

/// Checks that the deadlines of all classes and the maximum of attempts are numbers above 0.
fn check_numbers(path: &Path, file: &Map<String, Value>) -> Result<(), ConfigError> {
    /// Times of a class, which must be above 0.
    const CLASS_TIMES: [&str; 2] = ["hard_limit_us", "promise_us"];
    let settings = file.get("settings");
    let classes = settings
        .and_then(|settings| settings.get("lanes")?.as_array())
        .into_iter()
        .flatten();
    for (index, class) in classes.enumerate() {
        for name in CLASS_TIMES {
            let key = || format!("settings.lanes.{index}.{name}");
            check_positive(path, class.get(name), key)?;
        }
    }
    let max_attempts = settings.and_then(|settings| settings.get("limits")?.get("most_tries"));
    check_positive(path, max_attempts, || {
        "settings.limits.most_tries".to_owned()
    })
}

/// Checks that a value is a number above 0, if there is one.
fn check_positive(
    path: &Path,
    value: Option<&Value>,
    key: impl Fn() -> String,
) -> Result<(), ConfigError> {
    let Some(value) = value else {
        return Ok(());
    };
    if value.as_f64().is_some_and(|number| number > 0.0) {
        return Ok(());
    }
    Err(ConfigError::NotPositive {
        path: path.to_owned(),
        key: key(),
        value: value.to_string(),
    })
}

/// Checks the number of classes, and that each has a name of its own.
fn check_classes(config: &Config) -> Result<(), ConfigError> {
    let classes = &config.settings.classes;
    if !(1..=MAX_CLASSES).contains(&classes.len()) {
        return Err(ConfigError::ClassCount {
            path: config.path.clone(),
            count: classes.len(),
        });
    }
    let mut names = HashSet::new();
    let repeated = classes.iter().find(|class| !names.insert(&class.name));
    match repeated {
        None => Ok(()),
        Some(class) => Err(ConfigError::RepeatedClass {
            path: config.path.clone(),
            name: class.name.to_string(),
        }),
    }
}
