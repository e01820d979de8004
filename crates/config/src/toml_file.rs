//! TOML settings files, and the error that locates a fault in one.

use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Reason why a settings file cannot be used. The process then fails to start; it assumes no
/// values.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read, or is not UTF-8.
    #[error("cannot read {}: {error}", .path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The file is not TOML, or has an unknown key or an invalid value.
    #[error("{} line {line}: {reason}", .path.display())]
    Malformed {
        /// Path of the file.
        path: PathBuf,
        /// Line number, counted from 1.
        line: usize,
        /// Value read and value expected.
        reason: String,
    },
}

/// Reads a file as text.
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
    // Joined, because an error is logged as one line.
    let reason = error.message().lines().collect::<Vec<_>>().join(" ");
    SettingsError::Malformed {
        path: path.to_owned(),
        line: before.matches('\n').count() + 1,
        reason,
    }
}
