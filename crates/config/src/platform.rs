//! The platform's configuration: the JSON file that `LB_CONFIG` names, and the environment, read into typed values.

use crate::EndpointList;
use serde::Deserialize;
use serde_json::Value;
use slatelink_policy::Settings;
use slatelink_wire::{read_settings, WireError};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable that names the file is missing.
    #[error("LB_CONFIG is not set")]
    NoPath,
    /// The file cannot be read.
    #[error("cannot read {path}: {error}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file is not JSON of the expected form.
    #[error("{path} is not a configuration: {error}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What was read, where, and what was expected.
        error: serde_json::Error,
    },
    /// The policy's settings in the file are not accepted.
    #[error("the configuration's settings: {0}")]
    Settings(#[from] WireError),
    /// An address of the file, or of the variable that goes before it, cannot be parsed.
    #[error("{variable} is not an address and port: {text}")]
    Address {
        /// The variable that goes before the file's key.
        variable: &'static str,
        /// What was read.
        text: String,
    },
    /// The seed cannot be parsed.
    #[error("the configuration's seed is not a hexadecimal number: {0}")]
    Seed(String),
    /// The limit on descriptors is less than a node needs.
    #[error("a limit of {0} sockets leaves no room to work")]
    DescriptorLimit(usize),
}

/// The platform's configuration of a node.
#[derive(Debug)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where the node accepts clients.
    pub listen: SocketAddr,
    /// Where the endpoint list is served.
    pub discovery: SocketAddr,
    /// Seed of the node's random choices.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub descriptor_limit: usize,
    /// Bytes of memory that the node may use; `None` for all there is.
    pub memory_bytes: Option<u64>,
    /// The endpoint list as this node last had it.
    pub known_endpoints: EndpointList,
    /// The policy's settings.
    pub settings: Settings,
    /// The file that all this was read from.
    pub path: PathBuf,
    /// The file's bytes.
    pub contents: Vec<u8>,
}

/// The file's form.
#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: String,
    discovery: String,
    /// In hexadecimal.
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    /// Descriptors of the process.
    sockets: usize,
    /// In units of 2^20 bytes.
    memory_mb: Option<u32>,
}

/// Fewer descriptors than this do not hold the runtime's own and one connection each way.
const MIN_DESCRIPTORS: usize = 32;

/// Names the file. A process keeps its environment, so a reload reads the same name.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// Goes before the file's `name`.
const NAME_VARIABLE: &str = "LB_NAME";
/// Goes before the file's `listen`.
const LISTEN_VARIABLE: &str = "LB_LISTEN";
/// Goes before the file's `discovery` at the start. At a reload it is out of date, since a process keeps the environment that it
/// started with: the file's value holds then.
pub const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";

/// Reads the file that `LB_CONFIG` names; the other variables go before what it says. `variable` looks one up.
pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let path = PathBuf::from(variable(CONFIG_VARIABLE).ok_or(ConfigError::NoPath)?);
    let contents = read(&path)?;
    let file = parse(&path, &contents)?;
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

fn read(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|error| ConfigError::Unreadable {
        path: path.to_owned(),
        error,
    })
}

fn parse(path: &Path, contents: &[u8]) -> Result<ConfigFile, ConfigError> {
    serde_json::from_slice(contents).map_err(|error| ConfigError::Malformed {
        path: path.to_owned(),
        error,
    })
}

/// Appends nested JSON as the simulator's wire has it, pairs of path and value. The parts of a path are joined by dots. A list of
/// objects has a pair for its `count`, and its items are numbered from 0; another list is one value, joined by commas. A null has
/// no pair.
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

/// A string without its quotes; another value as JSON writes it.
fn scalar_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
