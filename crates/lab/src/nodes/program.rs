//! What is started as a node.

use super::NodeError;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// What is under test.
#[derive(Clone)]
pub enum Program {
    /// A binary, started as the platform does, with these arguments.
    Binary(PathBuf, Vec<String>),
    /// Something inside this process, which is given a node's configuration and says where it listens: for tests of
    /// the checker. It cannot be killed or signalled.
    InProcess(Arc<dyn Fn(Value) -> io::Result<SocketAddr> + Send + Sync>),
    /// Nothing: clients ask the servers themselves, for what the rig can do without a node.
    Nothing,
}

impl Program {
    /// The same with this section `front` of the operators' file, which is written into `folder`.
    pub fn with_front(self, front: &toml::Table, folder: &Path) -> Result<Self, NodeError> {
        let Self::Binary(path, mut arguments) = self else {
            return Ok(self);
        };
        if front.is_empty() {
            return Ok(Self::Binary(path, arguments));
        }
        if arguments.iter().any(|argument| argument == "--features") {
            return Err(NodeError::TwoFiles);
        }
        let file = folder.join("features.toml");
        let whole =
            toml::Table::from_iter([("front".to_owned(), toml::Value::Table(front.clone()))]);
        std::fs::write(&file, whole.to_string()).map_err(|error| NodeError::Files {
            path: file.clone(),
            error,
        })?;
        arguments.extend(["--features".to_owned(), file.display().to_string()]);
        Ok(Self::Binary(path, arguments))
    }
}
