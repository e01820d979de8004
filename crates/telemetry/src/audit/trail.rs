//! The file of an audit trail: opening it and appending records.

use super::record::{parse, ChainPosition, Event, FIRST_RECORD_START, MAX_LINE_BYTES};
use crate::error::TrailError;
use crate::writer::{has_vanished, write_part};
use slatelink_config::sha256_hex;
use std::fs::{File, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// Number of bytes read from the end of a file to find the last complete line and an incomplete
/// line after it.
const MAX_END_BYTES: u64 = 2 * MAX_LINE_BYTES as u64;
/// Maximum number of bytes of a torn line quoted in its record. A byte takes up to 6 bytes when
/// escaped in JSON, and the quote must fit in a line.
const MAX_TORN_TEXT_BYTES: usize = MAX_LINE_BYTES / 16;

/// An open trail: its destination and the end of its hash chain.
#[derive(Default)]
pub(super) struct Trail {
    pub(super) destination: Destination,
    /// Whether a write failed and the part of the record that it may have written is not yet
    /// removed.
    pub(super) write_failed: bool,
    /// Number of records that could not be written and are not yet reported in the trail.
    pub(super) lost: u64,
    position: ChainPosition,
}

/// Result of opening a trail.
pub(super) struct OpenedTrail {
    pub(super) trail: Trail,
    /// Event for an incomplete last line that was removed; it must be the first event recorded.
    pub(super) torn: Option<Event>,
}

/// Destination of the records.
#[derive(Default)]
pub(super) enum Destination {
    /// Standard error, owned by the writer's thread.
    #[default]
    StandardError,
    /// A regular file, which can be truncated and synced.
    Regular {
        /// The file, locked by this process.
        file: File,
        /// Path used to open the file; the file may since have been moved or removed.
        path: PathBuf,
        /// Length of the complete records in bytes.
        len: u64,
    },
    /// A FIFO or a device.
    Stream {
        /// The file, opened for non-blocking writes.
        file: File,
        /// Unwritten part of a record that was partly written; it is written before the next
        /// record.
        unwritten: Vec<u8>,
    },
}

impl Trail {
    /// Opens the trail at the end of the file, or starts a new trail in an empty file. An
    /// incomplete last line is removed.
    pub(super) fn open(path: &Path) -> Result<OpenedTrail, TrailError> {
        let mut file = open_or_create(path)?;
        // A FIFO or device needs no lock: it stores no chain that a second writer could break.
        if !file.metadata()?.is_file() {
            let unwritten = Vec::new();
            let trail = Self {
                destination: Destination::Stream { file, unwritten },
                ..Self::default()
            };
            return Ok(OpenedTrail { trail, torn: None });
        }
        file.try_lock().map_err(|error| match error {
            TryLockError::WouldBlock => TrailError::Locked,
            TryLockError::Error(error) => TrailError::Io(error),
        })?;
        let end = TrailEnd::read(&mut file)?;
        let mut trail = Self {
            destination: Destination::Regular {
                file,
                path: path.to_owned(),
                len: end.len,
            },
            position: end.position,
            ..Self::default()
        };
        if end.torn.is_empty() {
            return Ok(OpenedTrail { trail, torn: None });
        }
        trail.truncate_to_last_record()?;
        let torn = Some(torn_event(&end.torn));
        Ok(OpenedTrail { trail, torn })
    }

    /// Writes a record, preceded by records about a vanished file and about lost records if there
    /// are any.
    pub(super) fn record(
        &mut self,
        stderr: &mut File,
        at_ms: u64,
        event: &Event,
    ) -> io::Result<()> {
        if let Some(path) = self.vanished_path() {
            self.reopen(&path, stderr, at_ms)?;
        }
        if self.lost > 0 {
            self.append(stderr, at_ms, &Event::Lost { records: self.lost })?;
            self.lost = 0;
        }
        self.append(stderr, at_ms, event)
    }

    /// Returns the path of the trail's file if the file at that path is no longer the open one.
    fn vanished_path(&self) -> Option<PathBuf> {
        match &self.destination {
            Destination::Regular { file, path, .. } => has_vanished(file, path)
                .unwrap_or(false)
                .then(|| path.clone()),
            Destination::StandardError | Destination::Stream { .. } => None,
        }
    }

    /// Switches to the file that is at the path now, and records there that the previous file has
    /// vanished.
    fn reopen(&mut self, path: &Path, stderr: &mut File, at_ms: u64) -> io::Result<()> {
        let OpenedTrail { mut trail, torn } = Self::open(path).map_err(io::Error::other)?;
        trail.lost = self.lost;
        let vanished = Event::Vanished {
            records: self.position.seq,
            last: self.position.hash.clone(),
        };
        *self = trail;
        for event in torn.iter().chain([&vanished]) {
            self.append(stderr, at_ms, event)?;
        }
        Ok(())
    }

    /// Appends a record and syncs it to disk before returning, if the destination can be synced.
    pub(super) fn append(
        &mut self,
        stderr: &mut File,
        at_ms: u64,
        event: &Event,
    ) -> io::Result<()> {
        if self.write_failed {
            self.truncate_to_last_record()?;
        }
        let record = self.position.next_record(at_ms, event)?;
        if let Err(error) = self.destination.write(stderr, record.line.as_bytes()) {
            self.write_failed = true;
            // Truncates at once if possible, so that readers see a partial record as briefly as
            // possible.
            let _ = self.truncate_to_last_record();
            return Err(error);
        }
        self.position = record.position;
        Ok(())
    }

    /// Removes bytes after the last complete record.
    fn truncate_to_last_record(&mut self) -> io::Result<()> {
        if let Destination::Regular { file, len, .. } = &self.destination {
            file.set_len(*len)?;
            file.sync_all()?;
        }
        self.write_failed = false;
        Ok(())
    }
}

impl Destination {
    /// Writes a complete line, and syncs it if the destination is a regular file.
    fn write(&mut self, stderr: &mut File, line: &[u8]) -> io::Result<()> {
        match self {
            Self::StandardError => stderr.write_all(line),
            Self::Regular { file, len, .. } => {
                file.write_all(line)?;
                file.sync_all()?;
                *len += line.len() as u64;
                Ok(())
            }
            Self::Stream { file, unwritten } => write_to_stream(file, unwritten, line),
        }
    }
}

/// Writes the unwritten bytes of the previous record and then the line. A partly written line is a
/// record of the trail: the remaining bytes are written before the next record.
fn write_to_stream(file: &mut File, unwritten: &mut Vec<u8>, line: &[u8]) -> io::Result<()> {
    let progress = write_part(file, unwritten);
    unwritten.drain(..progress.written);
    progress.result?;
    let progress = write_part(file, line);
    if progress.written == 0 {
        return progress.result;
    }
    unwritten.extend_from_slice(&line[progress.written..]);
    Ok(())
}

/// Opens the file for reading its end and for appending.
fn open_or_create(path: &Path) -> io::Result<File> {
    let is_new = !path.exists();
    let file = File::options()
        .read(true)
        .append(true)
        .create(true)
        // Neither opening nor writing waits for a reader of a FIFO.
        .custom_flags(libc::O_NONBLOCK)
        .open(path)?;
    if is_new {
        // The directory entry must survive a crash as well. If the directory cannot be synced, the
        // file itself is still synced.
        let _ = sync_parent(path);
    }
    Ok(file)
}

/// Syncs the file's parent directory, and with it the file's directory entry.
fn sync_parent(path: &Path) -> io::Result<()> {
    let directory = path
        .parent()
        .filter(|directory| !directory.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()
}

/// Parsed end of a trail's regular file.
struct TrailEnd {
    /// End of the hash chain after the last complete record.
    position: ChainPosition,
    /// Length of the complete records in bytes.
    len: u64,
    /// Incomplete line after the complete records.
    torn: Vec<u8>,
}

impl TrailEnd {
    /// Reads the end of the file. The lock must be held: without the lock another node may write to
    /// the file.
    fn read(file: &mut File) -> Result<Self, TrailError> {
        let file_len = file.metadata()?.len();
        let start = file_len.saturating_sub(MAX_END_BYTES);
        let mut end = Vec::new();
        if file_len > 0 {
            file.seek(SeekFrom::Start(start))?;
            file.take(file_len - start).read_to_end(&mut end)?;
        }
        let complete_bytes = end
            .iter()
            .rposition(|&byte| byte == b'\n')
            .map_or(0, |last| last + 1);
        let torn = end.split_off(complete_bytes);
        let position = match end.strip_suffix(b"\n") {
            Some(lines) => last_position(lines).ok_or(TrailError::InvalidLastRecord)?,
            None if start == 0 && may_begin_trail(&torn) => ChainPosition::default(),
            None => return Err(TrailError::NotATrail),
        };
        Ok(Self {
            position,
            len: start + complete_bytes as u64,
            torn,
        })
    }
}

/// Returns the end of the hash chain after the last of these lines; `None` if that line is not a
/// record.
fn last_position(lines: &[u8]) -> Option<ChainPosition> {
    let last = lines
        .rsplit(|&byte| byte == b'\n')
        .next()
        .unwrap_or_default();
    let record = parse(last)?;
    Some(ChainPosition {
        seq: record.seq?,
        hash: record.hash,
    })
}

/// Checks whether a file with this content and no complete line may be a trail whose first record
/// is incomplete.
fn may_begin_trail(start: &[u8]) -> bool {
    start.starts_with(FIRST_RECORD_START) || FIRST_RECORD_START.starts_with(start)
}

/// Returns the event for an incomplete line.
fn torn_event(torn: &[u8]) -> Event {
    let quoted = &torn[..torn.len().min(MAX_TORN_TEXT_BYTES)];
    Event::Torn {
        bytes: torn.len(),
        sha256: sha256_hex(torn),
        text: String::from_utf8_lossy(quoted).into_owned(),
    }
}
