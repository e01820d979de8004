//! The operators' settings of the features: one TOML file, named on the command line and read at the start only.

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

/// Keys in one call of many unless settings or command say otherwise.
pub const DEFAULT_MAX_ITEMS: usize = 32;
/// Requests of one such call that run at a time unless the settings say otherwise.
const DEFAULT_PARALLEL_REQUESTS: usize = 8;
/// Keys of each class in the hot list unless the settings say otherwise.
const DEFAULT_HOTLIST_CAPACITY: usize = 256;
/// Seconds that the hot list's rates are averaged over unless the settings say otherwise.
const DEFAULT_HOTLIST_WINDOW_S: HotListWindowS = HotListWindowS::from_constant(60);

/// Seconds that the hot list's rates are averaged over.
type HotListWindowS = BoundedInteger<1, 86_400>;

/// What the file says. A feature is on when its section is there.
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
    /// Where the settings are from; `None` for the defaults.
    #[serde(skip)]
    pub file: Option<SettingsFile>,
}

/// The file that the settings are from.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsFile {
    /// Where it was read.
    pub path: PathBuf,
    /// SHA-256 of what was read, in lower-case hexadecimal.
    pub sha256: String,
}

impl Settings {
    /// The hot list's settings, where it is on.
    pub fn enabled_hotlist(&self) -> Option<&HotListSettings> {
        self.hotlist
            .as_ref()
            .filter(|settings| settings.capacity > 0)
    }

    /// The port for calls of many keys, where there is to be one.
    pub fn multiget_port(&self) -> Option<u16> {
        self.multiget.as_ref().and_then(|settings| settings.port)
    }
}

/// Section `audit`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditSettings {
    /// The trail's file; `None` for standard error.
    pub path: Option<PathBuf>,
}

/// Section `hotlist`. All of it has a default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HotListSettings {
    /// Keys for each class; 0 turns the list off.
    pub capacity: usize,
    /// In seconds.
    window_s: HotListWindowS,
}

impl HotListSettings {
    /// Rates are averaged over this.
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

/// Section `multiget`: calls of many keys at once. All of it has a default.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MultiGetSettings {
    /// Where such calls are accepted; `None` turns them off.
    port: Option<u16>,
    /// Requests of one call that run at a time.
    parallel: Option<BoundedInteger<1, 64>>,
    /// Keys of one call.
    max_items: Option<BoundedInteger<1, 1024>>,
}

impl MultiGetSettings {
    /// Requests of one call that run at a time, at most.
    pub fn parallel_requests(&self) -> usize {
        self.parallel
            .map_or(DEFAULT_PARALLEL_REQUESTS, BoundedInteger::get)
    }

    /// Keys of one call, at most.
    pub fn max_items(&self) -> usize {
        self.max_items
            .map_or(DEFAULT_MAX_ITEMS, BoundedInteger::get)
    }
}

/// Reads the file at `path`.
pub fn load(path: PathBuf) -> Result<Settings, SettingsError> {
    let text = toml_file::read(&path)?;
    let settings: Settings = toml_file::parse(&path, &text)?;
    let sha256 = crate::sha256_hex(text.as_bytes());
    Ok(Settings {
        file: Some(SettingsFile { path, sha256 }),
        ..settings
    })
}
