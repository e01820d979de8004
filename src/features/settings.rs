//! The operators' settings of the features: one TOML file, named on the command line and read at the start only.

use serde::Deserialize;
use std::path::PathBuf;
use thiserror::Error;

/// Why the file cannot be used. A node does not guess: it fails to start.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("cannot read {}: {error}", .path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{} line {line}: {what}", .path.display())]
    Malformed { path: PathBuf, line: usize, what: String },
}

/// What the file says. A feature is on when its section stands there.
#[derive(Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {}

/// Reads the file at `path`.
pub fn load(path: PathBuf) -> Result<Settings, SettingsError> {
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return Err(SettingsError::Unreadable { path, error }),
    };
    toml::from_str(&text).map_err(|error| {
        let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        // The log has a line for each error.
        let what = error.message().lines().collect::<Vec<_>>().join(" ");
        SettingsError::Malformed { path, line, what }
    })
}
