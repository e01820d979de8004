//! The operators' settings of the features: one TOML file, given on the command line and read only
//! at start-up.

mod admission;
mod bounded;
mod metrics;

pub use crate::toml_file::SettingsError;
pub use admission::AdmissionSettings;
pub use bounded::{BoundedInteger, OutOfBounds};
pub use metrics::{InvalidTarget, MetricsFormat, MetricsSettings, MetricsTarget};

use crate::toml_file;
use serde::Deserialize;
use std::path::PathBuf;
use std::time::Duration;

/// Default limit on the keys of one multi-get request.
pub const DEFAULT_MAX_ITEMS: usize = 32;
/// Default limit on the concurrent requests of one multi-get request.
const DEFAULT_PARALLEL_REQUESTS: usize = 8;
/// Default number of keys of each class in the hot list.
const DEFAULT_HOTLIST_CAPACITY: usize = 256;
/// Default averaging window of the hot list's rates, in seconds.
const DEFAULT_HOTLIST_WINDOW_S: HotListWindowS = HotListWindowS::from_constant(60);

/// Averaging window of the hot list's rates, in seconds.
type HotListWindowS = BoundedInteger<1, 86_400>;

/// The operators' settings. A feature is on if its section is present.
#[derive(Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Section `figures`.
    #[serde(rename = "figures")]
    pub metrics: Option<MetricsSettings>,
    /// Section `audit`.
    pub audit: Option<AuditSettings>,
    /// Section `hotlist`; see also [`Settings::enabled_hotlist`].
    pub hotlist: Option<HotListSettings>,
    /// Section `multiget`; see also [`Settings::multiget_port`].
    pub multiget: Option<MultiGetSettings>,
    /// Section `front`. Admission is always on.
    #[serde(default, rename = "front")]
    pub admission: AdmissionSettings,
    /// Source of the settings; `None` for the defaults.
    #[serde(skip)]
    pub file: Option<SettingsFile>,
}

/// The file that the settings were read from.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsFile {
    /// Path of the file.
    pub path: PathBuf,
    /// SHA-256 of the file's contents, in lower-case hexadecimal.
    pub sha256: String,
}

impl Settings {
    /// Returns the hot list's settings if the hot list is on.
    pub fn enabled_hotlist(&self) -> Option<&HotListSettings> {
        self.hotlist
            .as_ref()
            .filter(|settings| settings.capacity > 0)
    }

    /// Returns the multi-get port if one is configured.
    pub fn multiget_port(&self) -> Option<u16> {
        self.multiget.as_ref().and_then(|settings| settings.port)
    }
}

/// Section `audit`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditSettings {
    /// Path of the audit trail's file; `None` for standard error.
    pub path: Option<PathBuf>,
}

/// Section `hotlist`. Every key has a default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HotListSettings {
    /// Number of keys of each class; 0 turns the list off.
    pub capacity: usize,
    /// Averaging window of the rates, in seconds.
    window_s: HotListWindowS,
}

impl HotListSettings {
    /// Returns the averaging window of the rates.
    pub fn window(&self) -> Duration {
        Duration::from_secs(self.window_s.get() as u64)
    }
}

impl Default for HotListSettings {
    fn default() -> Self {
        Self {
            capacity: DEFAULT_HOTLIST_CAPACITY,
            window_s: DEFAULT_HOTLIST_WINDOW_S,
        }
    }
}

/// Section `multiget`: requests for many keys at once. Every key has a default.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MultiGetSettings {
    /// Port that accepts multi-get requests; `None` turns the feature off.
    port: Option<u16>,
    /// Limit on the concurrent requests of one multi-get request.
    parallel: Option<BoundedInteger<1, 64>>,
    /// Limit on the keys of one multi-get request.
    max_items: Option<BoundedInteger<1, 1024>>,
}

impl MultiGetSettings {
    /// Returns the maximum number of concurrent requests of one multi-get request.
    pub fn parallel_requests(&self) -> usize {
        self.parallel
            .map_or(DEFAULT_PARALLEL_REQUESTS, BoundedInteger::get)
    }

    /// Returns the maximum number of keys of one multi-get request.
    pub fn max_items(&self) -> usize {
        self.max_items
            .map_or(DEFAULT_MAX_ITEMS, BoundedInteger::get)
    }
}

/// Reads the settings file at `path`.
pub fn load(path: PathBuf) -> Result<Settings, SettingsError> {
    let text = toml_file::read(&path)?;
    let settings: Settings = toml_file::parse(&path, &text)?;
    let sha256 = crate::sha256_hex(text.as_bytes());
    Ok(Settings {
        file: Some(SettingsFile { path, sha256 }),
        ..settings
    })
}
