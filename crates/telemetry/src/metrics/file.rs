//! The file or FIFO that batches are appended to.

use crate::writer::{has_vanished, write_part};
use std::fs::File;
use std::io::{self, Write as _};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// A file that batches are appended to, under its name: one that was moved away is made anew.
pub(super) struct AppendedFile {
    path: PathBuf,
    /// `None` while it cannot be opened: a FIFO that nobody reads.
    file: Option<File>,
    /// The last write broke off within a line.
    pub(super) torn: bool,
}

impl AppendedFile {
    /// Opens the file, or makes it. A FIFO may have no reader yet: one may come.
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

    /// Appends whole lines. What broke off before gets its line feed first, so that it does not take the next line with it.
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
        // Neither opening nor writing waits for a FIFO's reader.
        .custom_flags(libc::O_NONBLOCK)
        .open(path)
}
