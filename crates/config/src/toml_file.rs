//! TOML files of settings, and the error that says where one is wrong.

use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a file of settings cannot be used. A process does not guess: it fails to start.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read, or is not UTF-8.
    #[error("cannot read {}: {error}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file is not TOML, or has a key or value that is not taken.
    #[error("{} line {line}: {reason}", .path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// What was read there and what was expected.
        reason: String,
    },
}

/// A file's text.
pub(crate) fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        path: path.to_owned(),
        error,
    })
}

/// Parses the text of the file at `path`.
pub(crate) fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, SettingsError> {
    toml::from_str(text).map_err(|error| malformed(path, text, &error))
}

fn malformed(path: &Path, text: &str, error: &toml::de::Error) -> SettingsError {
    let before = error
        .span()
        .and_then(|span| text.get(..span.start))
        .unwrap_or_default();
    // The log has a line for each error.
    let reason = error.message().lines().collect::<Vec<_>>().join(" ");
    SettingsError::Malformed {
        path: path.to_owned(),
        line: before.matches('\n').count() + 1,
        reason,
    }
}
