//! Program that is started as a node.

use super::NodeError;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Program under test.
#[derive(Clone)]
pub enum Program {
    /// A binary with its arguments, started as the platform does.
    Binary(PathBuf, Vec<String>),
    /// A function that starts a node inside this process from its configuration and returns the
    /// listening address, for tests of the checker. Such a node cannot be killed or signalled.
    InProcess(Arc<dyn Fn(Value) -> io::Result<SocketAddr> + Send + Sync>),
    /// No node: clients connect to the cache servers directly, to measure the lab itself.
    NoNode,
}

impl Program {
    /// Adds an operators' file with the section `front`, written into `folder`, to the arguments of
    /// a binary.
    pub fn with_front(self, front: &toml::Table, folder: &Path) -> Result<Self, NodeError> {
        let Self::Binary(path, mut arguments) = self else {
            return Ok(self);
        };
        if front.is_empty() {
            return Ok(Self::Binary(path, arguments));
        }
        if arguments.iter().any(|argument| argument == "--features") {
            return Err(NodeError::ConflictingOperatorsFiles);
        }
        let file = folder.join("features.toml");
        let operators_file =
            toml::Table::from_iter([("front".to_owned(), toml::Value::Table(front.clone()))]);
        std::fs::write(&file, operators_file.to_string()).map_err(|error| {
            NodeError::WriteFile {
                path: file.clone(),
                error,
            }
        })?;
        arguments.extend(["--features".to_owned(), file.display().to_string()]);
        Ok(Self::Binary(path, arguments))
    }
}
