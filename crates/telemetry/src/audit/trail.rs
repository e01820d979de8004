//! The file of an audit trail: how it is opened and how a record is appended.

use super::record::{parse, ChainPosition, Event, FIRST_RECORD_START, MAX_LINE_BYTES};
use crate::error::TrailError;
use crate::writer::{has_vanished, write_part};
use slatelink_config::sha256_hex;
use std::fs::{File, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// So much is read from a file's end to find the last whole line, and the part of one after it.
const MAX_END_BYTES: u64 = 2 * MAX_LINE_BYTES as u64;
/// Bytes of a torn line that the record of it quotes: escaped in JSON, where a byte takes up to 6, they fit a line.
const MAX_TORN_TEXT_BYTES: usize = MAX_LINE_BYTES / 16;

/// Where a trail stands, and where it is written.
#[derive(Default)]
pub(super) struct Trail {
    pub(super) destination: Destination,
    /// A write failed, and what it may have left of a record is not yet cut off.
    pub(super) write_failed: bool,
    /// Records that could not be written, and whose number is not in the trail yet.
    pub(super) lost: u64,
    position: ChainPosition,
}

/// A trail that was opened.
pub(super) struct OpenedTrail {
    pub(super) trail: Trail,
    /// The event of a line that broke off and was cut off: the first one to record.
    pub(super) torn: Option<Event>,
}

/// Where records go.
#[derive(Default)]
pub(super) enum Destination {
    /// Standard error, which the writer's thread owns.
    #[default]
    StandardError,
    /// A regular file, which can be cut and synced.
    Regular {
        /// Locked for this process.
        file: File,
        /// The name that it was opened by, which it may lose.
        path: PathBuf,
        /// Bytes of whole records.
        len: u64,
    },
    /// A FIFO or a device.
    Stream {
        /// Writing to it never waits.
        file: File,
        /// What it did not take of a record that it has begun: this goes first.
        unwritten: Vec<u8>,
    },
}

impl Trail {
    /// Continues where the file ends, or begins at its first line. A last line that broke off is cut off.
    pub(super) fn open(path: &Path) -> Result<OpenedTrail, TrailError> {
        let mut file = open_or_create(path)?;
        // A FIFO or device needs no lock: it holds no chain that a second writer could break.
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

    /// Writes a record, and before it those of records that were lost and of a file that has vanished.
    pub(super) fn record(
        &mut self,
        stderr: &mut File,
        at_ms: u64,
        event: &Event,
    ) -> io::Result<()> {
        if let Some(path) = self.vanished_path() {
            self.begin_anew(&path, stderr, at_ms)?;
        }
        if self.lost > 0 {
            self.append(stderr, at_ms, &Event::Lost { records: self.lost })?;
            self.lost = 0;
        }
        self.append(stderr, at_ms, event)
    }

    /// Where the trail's file was, if it has lost its name since.
    fn vanished_path(&self) -> Option<PathBuf> {
        match &self.destination {
            Destination::Regular { file, path, .. } => has_vanished(file, path)
                .unwrap_or(false)
                .then(|| path.clone()),
            Destination::StandardError | Destination::Stream { .. } => None,
        }
    }

    /// Changes to the file that has the name now, and records there that the one before has vanished.
    fn begin_anew(&mut self, path: &Path, stderr: &mut File, at_ms: u64) -> io::Result<()> {
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

    /// Writes a record and has it on disk before it returns.
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
            // At once, if that can be: a reader must not see half a record longer than need be.
            let _ = self.truncate_to_last_record();
            return Err(error);
        }
        self.position = record.position;
        Ok(())
    }

    /// Cuts off what is no whole record.
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
    /// Writes a whole line, and syncs it where that can be.
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

/// Writes what waits and then the line. Once a line is begun it is a record of the trail: its reader gets the rest of it with
/// the next one.
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

/// Opens the file to read its end and to append to it.
fn open_or_create(path: &Path) -> io::Result<File> {
    let is_new = !path.exists();
    let file = File::options()
        .read(true)
        .append(true)
        .create(true)
        // Neither opening nor writing waits for a FIFO's reader.
        .custom_flags(libc::O_NONBLOCK)
        .open(path)?;
    if is_new {
        // The name must outlive a crash as well. Where the folder cannot be synced the file still is.
        let _ = sync_parent(path);
    }
    Ok(file)
}

/// Syncs the folder that the file is in, and so the file's name.
fn sync_parent(path: &Path) -> io::Result<()> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

/// What the end of a trail's regular file says.
struct TrailEnd {
    /// Where the last whole record leaves the chain.
    position: ChainPosition,
    /// Bytes of whole records.
    len: u64,
    /// The part of a line that follows them.
    torn: Vec<u8>,
}

impl TrailEnd {
    /// Reads it, with the lock held: before, another node may write.
    fn read(file: &mut File) -> Result<Self, TrailError> {
        let file_len = file.metadata()?.len();
        let start = file_len.saturating_sub(MAX_END_BYTES);
        let mut end = Vec::new();
        if file_len > 0 {
            file.seek(SeekFrom::Start(start))?;
            file.take(file_len - start).read_to_end(&mut end)?;
        }
        let whole_bytes = end
            .iter()
            .rposition(|&byte| byte == b'\n')
            .map_or(0, |last| last + 1);
        let torn = end.split_off(whole_bytes);
        let position = match end.strip_suffix(b"\n") {
            Some(lines) => last_position(lines).ok_or(TrailError::InvalidLastRecord)?,
            None if start == 0 && may_begin_trail(&torn) => ChainPosition::default(),
            None => return Err(TrailError::NotATrail),
        };
        Ok(Self {
            position,
            len: start + whole_bytes as u64,
            torn,
        })
    }
}

/// Where the last of these lines leaves the chain; `None` where it is no record.
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

/// Whether a file that holds this and no whole line may be a trail whose first record broke off.
fn may_begin_trail(start: &[u8]) -> bool {
    start.starts_with(FIRST_RECORD_START) || FIRST_RECORD_START.starts_with(start)
}

/// The event of a line that broke off.
fn torn_event(torn: &[u8]) -> Event {
    let quoted = &torn[..torn.len().min(MAX_TORN_TEXT_BYTES)];
    Event::Torn {
        bytes: torn.len(),
        sha256: sha256_hex(torn),
        text: String::from_utf8_lossy(quoted).into_owned(),
    }
}
