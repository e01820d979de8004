//! The file or FIFO to which batches are appended.

use crate::writer::{has_vanished, write_part};
use std::fs::File;
use std::io::{self, Write as _};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// A file at a fixed path to which batches are appended; after a move or removal a new file is
/// created at the path.
pub(super) struct AppendedFile {
    path: PathBuf,
    /// `None` if the file cannot be opened: a FIFO without a reader.
    file: Option<File>,
    /// Whether the last write stopped within a line.
    pub(super) torn: bool,
}

impl AppendedFile {
    /// Opens the file, or creates it. A FIFO may get its first reader later.
    pub(super) fn open(path: &Path) -> io::Result<Self> {
        let file = match open_to_append(path) {
            Ok(file) => Some(file),
            Err(error) if error.raw_os_error() == Some(libc::ENXIO) => None,
            Err(error) => return Err(error),
        };
        Ok(Self {
            path: path.to_owned(),
            file,
            torn: false,
        })
    }

    /// Appends complete lines. An incomplete line of the previous write is ended with a line feed
    /// first, so that it does not merge with the next line.
    pub(super) fn write(&mut self, batch: &[u8]) -> io::Result<()> {
        if self.has_vanished() {
            self.file = None;
            self.torn = false;
        }
        let file = match &mut self.file {
            Some(file) => file,
            none => none.insert(open_to_append(&self.path)?),
        };
        if self.torn {
            file.write_all(b"\n")?;
            self.torn = false;
        }
        let progress = write_part(file, batch);
        self.torn = progress.written > 0 && progress.written < batch.len();
        progress.result
    }

    fn has_vanished(&self) -> bool {
        self.file
            .as_ref()
            .is_some_and(|file| has_vanished(file, &self.path).unwrap_or(false))
    }
}

fn open_to_append(path: &Path) -> io::Result<File> {
    File::options()
        .append(true)
        .create(true)
        // Neither opening nor writing waits for a reader of a FIFO.
        .custom_flags(libc::O_NONBLOCK)
        .open(path)
}
