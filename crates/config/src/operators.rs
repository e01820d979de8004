//! The operators' settings of the features: one TOML file, named on the command line and read at the start only.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Keys in one call of many unless settings or command say otherwise.
pub const DEFAULT_MAX_ITEMS: usize = 32;

/// Why the file cannot be used. A node does not guess: it fails to start.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("cannot read {}: {error}", .path.display())]
    Unreadable {
        path: PathBuf,
        error: std::io::Error,
    },
    #[error("{} line {line}: {what}", .path.display())]
    Malformed {
        path: PathBuf,
        line: usize,
        what: String,
    },
}

/// What the file says. A feature is on when its section stands there.
#[derive(Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    #[serde(rename = "figures")]
    pub metrics: Option<MetricsSettings>,
    pub audit: Option<AuditSettings>,
    pub hotlist: Option<HotListSettings>,
    pub multiget: Option<MultiGetSettings>,
    #[serde(default, rename = "front")]
    pub admission: AdmissionSettings,
    #[serde(skip)]
    pub source: Option<SettingsFile>,
}

/// The file that the settings are from.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsFile {
    pub path: PathBuf,
    pub sha256: String,
}

impl Settings {
    /// The hot list's settings, where it is on.
    pub fn enabled_hotlist(&self) -> Option<&HotListSettings> {
        self.hotlist.as_ref().filter(|hot| hot.capacity > 0)
    }

    /// The port for many keys at once, where there is to be one.
    pub fn multiget_port(&self) -> Option<u16> {
        self.multiget.as_ref().and_then(|settings| settings.port)
    }
}

/// Section `figures`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    pub format: MetricsFormat,
    pub target: MetricsTarget,
    flush_ms: BoundedInteger<10, 3_600_000>,
    max_batch_bytes: BoundedInteger<512, 65_507>,
}

impl MetricsSettings {
    pub fn flush_interval(&self) -> Duration {
        Duration::from_millis(self.flush_ms.get() as u64)
    }

    pub fn max_batch_bytes(&self) -> usize {
        self.max_batch_bytes.get()
    }
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            format: MetricsFormat::Statsd,
            target: MetricsTarget::Stderr,
            flush_ms: BoundedInteger(1000),
            max_batch_bytes: BoundedInteger(1400),
        }
    }
}

/// Section `audit`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditSettings {
    /// `None` for standard error.
    pub path: Option<PathBuf>,
}

/// Section `hotlist`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HotListSettings {
    /// Entries for each class; none turns it off.
    pub capacity: usize,
    window_s: BoundedInteger<1, 86_400>,
}

impl HotListSettings {
    pub fn window(&self) -> Duration {
        Duration::from_secs(self.window_s.get() as u64)
    }
}

impl Default for HotListSettings {
    fn default() -> Self {
        Self {
            capacity: 256,
            window_s: BoundedInteger(60),
        }
    }
}

/// Section `multiget`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MultiGetSettings {
    /// `None` turns it off.
    port: Option<u16>,
    parallel: Option<BoundedInteger<1, 64>>,
    max_items: Option<BoundedInteger<1, 1024>>,
}

impl MultiGetSettings {
    pub fn parallel_requests(&self) -> usize {
        self.parallel.map_or(8, |parallel| parallel.get())
    }

    pub fn max_items(&self) -> usize {
        self.max_items
            .map_or(DEFAULT_MAX_ITEMS, |items| items.get())
    }
}

/// Section `front`: who may hold how much of the node. All of it has a default.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    clients_percent: Option<BoundedInteger<1, 100>>,
    servers_floor: Option<BoundedInteger<1, 1_000_000>>,
    idle_s: Option<BoundedInteger<2, 86_400>>,
    per_address: Option<BoundedInteger<1, 1_000_000>>,
    /// Percent of the clients' places that open requests of a class may take, by its name.
    #[serde(rename = "per_class")]
    pub percent_per_class: BTreeMap<String, BoundedInteger<1, 100>>,
}

impl AdmissionSettings {
    /// Of so many descriptors, those that clients use at most: a third, where nothing else is said.
    pub fn client_limit(&self, descriptors: usize) -> usize {
        self.clients_percent
            .map_or(descriptors / 3, |percent| descriptors * percent.get() / 100)
    }

    /// Of so many descriptors, those that are kept for connections to servers.
    pub fn upstream_reservation(&self, descriptors: usize) -> usize {
        self.servers_floor
            .map_or(descriptors / 3, |floor| floor.get())
    }

    /// An idle connection is closed after this.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_secs(self.idle_s.map_or(10, |idle| idle.get() as u64))
    }

    /// Connections of one client address, at most.
    pub fn connections_per_address(&self) -> Option<usize> {
        self.per_address.map(|most| most.get())
    }
}

/// How a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MetricsFormat {
    Statsd,
    Influx,
}

/// Where batches go.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "String")]
pub enum MetricsTarget {
    Stderr,
    File(PathBuf),
    Udp(SocketAddr),
}

/// Why a text names no target of metrics.
#[derive(Debug, Error)]
pub enum InvalidTarget {
    /// What follows `udp:` is no address with a port.
    #[error("target udp:{0:?} is not an address and port")]
    Address(String),
    /// It begins as no target does.
    #[error("target {0:?} is not stderr, file:<path> or udp:<addr:port>")]
    Form(String),
}

impl TryFrom<String> for MetricsTarget {
    type Error = InvalidTarget;

    fn try_from(text: String) -> Result<Self, InvalidTarget> {
        match text.split_once(':') {
            None if text == "stderr" => Ok(Self::Stderr),
            Some(("file", path)) if !path.is_empty() => Ok(Self::File(path.into())),
            Some(("udp", address)) => match address.parse::<SocketAddr>() {
                Ok(address) if address.port() > 0 => Ok(Self::Udp(address)),
                _ => Err(InvalidTarget::Address(address.to_owned())),
            },
            _ => Err(InvalidTarget::Form(text)),
        }
    }
}

/// A whole number from `MIN` to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(try_from = "i64")]
pub struct BoundedInteger<const MIN: usize, const MAX: usize>(usize);

impl<const MIN: usize, const MAX: usize> BoundedInteger<MIN, MAX> {
    /// The number.
    pub const fn get(self) -> usize {
        self.0
    }
}

impl<const MIN: usize, const MAX: usize> TryFrom<i64> for BoundedInteger<MIN, MAX> {
    type Error = OutOfBounds;

    fn try_from(value: i64) -> Result<Self, OutOfBounds> {
        usize::try_from(value)
            .ok()
            .filter(|value| (MIN..=MAX).contains(value))
            .map(Self)
            .ok_or(OutOfBounds {
                value,
                min: MIN,
                max: MAX,
            })
    }
}

/// A number that its key does not take.
#[derive(Debug, Error)]
#[error("{value} is not from {min} to {max}")]
pub struct OutOfBounds {
    value: i64,
    min: usize,
    max: usize,
}

/// Reads the file at `path`.
pub fn load(path: PathBuf) -> Result<Settings, SettingsError> {
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return Err(SettingsError::Unreadable { path, error }),
    };
    let parsed = toml::from_str(&text);
    let read = |settings| {
        let source = SettingsFile {
            path: path.clone(),
            sha256: crate::digest(text.as_bytes()),
        };
        Settings {
            source: Some(source),
            ..settings
        }
    };
    parsed
        .map(read)
        .map_err(|error| SettingsError::malformed(&path, &text, &error))
}

impl SettingsError {
    /// What TOML says of a file with this text, with its line.
    pub(crate) fn malformed(path: &Path, text: &str, error: &toml::de::Error) -> Self {
        let before = error
            .span()
            .and_then(|span| text.get(..span.start))
            .unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        // The log has a line for each error.
        let what = error.message().lines().collect::<Vec<_>>().join(" ");
        Self::Malformed {
            path: path.to_owned(),
            line,
            what,
        }
    }
}
