//! The platform's configuration: the JSON file named by `LB_CONFIG` and environment variables, read
//! into typed values.

mod key_tree;
mod reload;

pub use reload::ReloadBaseline;

use crate::EndpointList;
use reload::MAX_CLASSES;
use serde::Deserialize;
use serde_json::Value;
use slatelink_policy::Settings;
use slatelink_wire::{read_settings, WireError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Reason why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `LB_CONFIG`, the variable with the file's path, is not set.
    #[error("LB_CONFIG is not set")]
    NoPath,
    /// The file cannot be read.
    #[error("cannot read {path}: {error}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The file is not JSON of the expected format.
    #[error("{path} is not a valid configuration: {error}")]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Value read, its place and the value expected.
        error: serde_json::Error,
    },
    /// The decision module's settings in the file are not valid.
    #[error("invalid settings in the configuration: {0}")]
    Settings(#[from] WireError),
    /// An address from the file, or from the variable that overrides it, cannot be parsed.
    #[error("{variable} is not an address and port: {text}")]
    Address {
        /// Variable that overrides the file's key.
        variable: &'static str,
        /// Text of the address.
        text: String,
    },
    /// The seed cannot be parsed.
    #[error("the configuration's seed is not a hexadecimal number: {0}")]
    Seed(String),
    /// The limit on descriptors is below the minimum for a node.
    #[error("a limit of {0} sockets is too low: a node needs at least {MIN_DESCRIPTORS}")]
    DescriptorLimit(usize),
    /// A changed file lacks a key that the file in force has.
    #[error("{path} lacks the key {key}")]
    MissingKey {
        /// Path of the file.
        path: PathBuf,
        /// Path of the key, joined by dots.
        key: String,
    },
    /// A number of a changed file is not above 0.
    #[error("{path}: {key} is {value}, expected a number above 0")]
    NotPositive {
        /// Path of the file.
        path: PathBuf,
        /// Path of the key, joined by dots.
        key: String,
        /// The value, as JSON.
        value: String,
    },
    /// Two classes of a changed file have the same name.
    #[error("{path} has two classes named {name:?}")]
    RepeatedClass {
        /// Path of the file.
        path: PathBuf,
        /// Name of the classes.
        name: String,
    },
    /// A changed file has no class, or too many.
    #[error("{path} has {count} classes, expected 1 to {MAX_CLASSES}")]
    ClassCount {
        /// Path of the file.
        path: PathBuf,
        /// Number of classes.
        count: usize,
    },
    /// A changed file changes a setting that is fixed while a node runs.
    #[error("{path} changes {key}, which needs a restart of the node")]
    FixedSetting {
        /// Path of the file.
        path: PathBuf,
        /// Path of the key, joined by dots.
        key: &'static str,
    },
}

/// The platform's configuration of a node.
#[derive(Debug)]
pub struct Config {
    /// Name of the node.
    pub name: String,
    /// Address on which the node accepts clients.
    pub listen: SocketAddr,
    /// Address that serves the endpoint list.
    pub discovery: SocketAddr,
    /// Seed of the node's random choices.
    pub seed: u64,
    /// Number of descriptors that the process may hold.
    pub descriptor_limit: usize,
    /// Bytes of memory that the node may use; `None` if unlimited.
    pub memory_bytes: Option<u64>,
    /// The last endpoint list known to this node.
    pub known_endpoints: EndpointList,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Path of the file that the configuration was read from.
    pub path: PathBuf,
    /// Contents of the file.
    pub contents: Vec<u8>,
}

/// Format of the file.
#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: String,
    discovery: String,
    /// Hexadecimal number.
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    /// Number of descriptors that the process may hold.
    sockets: usize,
    /// Memory limit, in units of 2^20 bytes.
    memory_mb: Option<u32>,
}

/// Smallest accepted limit on descriptors: enough for the runtime, one connection to a client and
/// one to an endpoint.
const MIN_DESCRIPTORS: usize = 32;

/// Holds the path of the file. A process keeps its environment, so a reload reads the same path.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// Overrides the file's `name`.
const NAME_VARIABLE: &str = "LB_NAME";
/// Overrides the file's `listen`.
const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// Overrides the file's `discovery` at start-up. A reload ignores the variable and uses the file's
/// value, because a process keeps the environment that it started with.
pub const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";

/// Reads the file named by `LB_CONFIG`; other variables override its values. `variable` looks up an
/// environment variable.
pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let (path, contents) = read_file(&variable)?;
    from_contents(variable, path, contents)
}

/// Reads the file named by `LB_CONFIG`. Returns its path and contents.
fn read_file(variable: impl Fn(&str) -> Option<String>) -> Result<(PathBuf, Vec<u8>), ConfigError> {
    let path = PathBuf::from(variable(CONFIG_VARIABLE).ok_or(ConfigError::NoPath)?);
    match std::fs::read(&path) {
        Ok(contents) => Ok((path, contents)),
        Err(error) => Err(ConfigError::Unreadable { path, error }),
    }
}

/// Parses the contents of the file.
fn from_contents(
    variable: impl Fn(&str) -> Option<String>,
    path: PathBuf,
    contents: Vec<u8>,
) -> Result<Config, ConfigError> {
    let file: ConfigFile = parse(&path, &contents)?;
    let address = |name: &'static str, from_file: String| {
        let text = variable(name).unwrap_or(from_file);
        text.parse().map_err(|_| ConfigError::Address {
            variable: name,
            text,
        })
    };
    let descriptor_limit = file.limits.sockets;
    if descriptor_limit < MIN_DESCRIPTORS {
        return Err(ConfigError::DescriptorLimit(descriptor_limit));
    }
    let mut pairs = Vec::new();
    flatten(String::new(), &file.settings, &mut pairs);
    Ok(Config {
        name: variable(NAME_VARIABLE).unwrap_or(file.name),
        listen: address(LISTEN_VARIABLE, file.listen)?,
        discovery: address(DISCOVERY_VARIABLE, file.discovery)?,
        seed: u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed))?,
        descriptor_limit,
        memory_bytes: file.limits.memory_mb.map(|mb| u64::from(mb) << 20),
        known_endpoints: file.known,
        settings: read_settings(&pairs)?,
        path,
        contents,
    })
}

fn parse<'a, T: Deserialize<'a>>(path: &Path, contents: &'a [u8]) -> Result<T, ConfigError> {
    serde_json::from_slice(contents).map_err(|error| ConfigError::Malformed {
        path: path.to_owned(),
        error,
    })
}

/// Appends nested JSON to `pairs` as pairs of path and value, the format of the simulator's wire.
///
/// The parts of a path are joined by dots. A list of objects has a pair for its `count`, and its
/// items are numbered from 0. Any other list is one value, joined by commas. A null has no pair.
fn flatten(path: String, value: &Value, pairs: &mut Vec<(String, String)>) {
    let child = |name: &str| {
        if path.is_empty() {
            name.to_owned()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(child(name), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((child("count"), items.len().to_string()));
            for (index, item) in items.iter().enumerate() {
                flatten(child(&index.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<_> = items.iter().map(scalar_text).collect();
            pairs.push((path, items.join(",")));
        }
        scalar => pairs.push((path, scalar_text(scalar))),
    }
}

/// Returns a string without its quotes, and any other value as JSON.
fn scalar_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
