//! The file of an audit trail: its records, how it is opened and how a record is appended.

use super::verify::check;
use crate::error::TrailError;
use crate::writer::{has_vanished, write_part};
use serde::Serialize;
use slatelink_config::digest;
use std::fs::{File, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// The first line's `prev`.
pub(super) const FIRST_PREVIOUS_HASH: &str =
    "0000000000000000000000000000000000000000000000000000000000000000";
/// A line is longer than this in no trail, and at a start no more is read to find the last ones.
pub(super) const MAX_LINE_BYTES: usize = 64 << 10;
/// How the first record of a trail begins.
const FIRST_RECORD_START: &[u8] = b"{\"seq\":1,";

/// What a record tells.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "lowercase")]
pub(super) enum Event {
    Start {
        node: String,
        pid: u32,
        version: &'static str,
    },
    Stop {
        signal: &'static str,
    },
    Config {
        file: &'static str,
        path: String,
        sha256: String,
    },
    Health {
        host: String,
        from: String,
        to: String,
    },
    /// The file ended within a line, which was cut off.
    Torn {
        bytes: usize,
        sha256: String,
        text: String,
    },
    /// So many records before this one could not be written.
    Lost {
        records: u64,
    },
    /// The file that the trail was in has lost its name, by a move or removal, after so many records, the last of this
    /// hash. The trail begins anew here.
    Vanished {
        records: u64,
        last: String,
    },
}

#[derive(Serialize)]
struct Record<'a> {
    seq: u64,
    at_ms: u64,
    #[serde(flatten)]
    event: &'a Event,
    prev: &'a str,
}

/// Where a trail stands, and the file it is in.
pub(super) struct Trail {
    /// `None` for standard error.
    pub(super) file: Option<File>,
    path: PathBuf,
    /// Whether the file can be cut and synced: a device or a FIFO cannot.
    regular: bool,
    /// Bytes of whole records.
    len: u64,
    /// A write broke off: what it left must go before the next one.
    pub(super) write_failed: bool,
    /// What a FIFO or device did not take of a record that it has begun: this goes first.
    unwritten: Vec<u8>,
    /// Records that the trail lacks and does not tell of yet.
    pub(super) lost: u64,
    seq: u64,
    prev: String,
}

impl Default for Trail {
    fn default() -> Self {
        let prev = FIRST_PREVIOUS_HASH.to_owned();
        let (path, unwritten) = (PathBuf::new(), Vec::new());
        Self {
            file: None,
            path,
            regular: false,
            len: 0,
            write_failed: false,
            unwritten,
            lost: 0,
            seq: 0,
            prev,
        }
    }
}

impl Trail {
    /// Goes on where the file ends. A last line that broke off is cut, and the event tells of it.
    pub(super) fn open(path: &Path) -> Result<(Self, Option<Event>), TrailError> {
        let is_new = !path.exists();
        let mut options = File::options();
        // Neither opening nor writing waits for a FIFO's reader.
        options
            .read(true)
            .append(true)
            .create(true)
            .custom_flags(libc::O_NONBLOCK);
        let mut file = options.open(path)?;
        if is_new {
            // The name must outlive a crash as well. Where the folder cannot be synced the file still is.
            let folder = path
                .parent()
                .filter(|folder| !folder.as_os_str().is_empty());
            let _ =
                File::open(folder.unwrap_or(Path::new("."))).and_then(|folder| folder.sync_all());
        }
        let state = file.metadata()?;
        // A device holds no trail that two could break.
        if state.is_file() {
            file.try_lock().map_err(|error| match error {
                TryLockError::WouldBlock => TrailError::Locked,
                TryLockError::Error(error) => TrailError::Io(error),
            })?;
        }
        // Its length only once no other node writes.
        let state = file.metadata()?;
        let (regular, len) = (
            state.is_file(),
            if state.is_file() { state.len() } else { 0 },
        );
        let from = len.saturating_sub(2 * MAX_LINE_BYTES as u64);
        let mut last_bytes = Vec::new();
        if len > 0 {
            file.seek(SeekFrom::Start(from))?;
            (&mut file).take(len - from).read_to_end(&mut last_bytes)?;
        }
        let whole_lines = last_bytes
            .iter()
            .rposition(|&byte| byte == b'\n')
            .map_or(0, |last| last + 1);
        let (lines, tail) = last_bytes.split_at(whole_lines);
        let (file, path) = (Some(file), path.to_owned());
        let mut trail = Self {
            file,
            path,
            regular,
            len: from + whole_lines as u64,
            ..Self::default()
        };
        if let Some(lines) = lines.strip_suffix(b"\n") {
            let last = lines
                .rsplit(|&byte| byte == b'\n')
                .next()
                .unwrap_or_default();
            let found = check(last).and_then(|record| Some((record.seq?, record.hash)));
            (trail.seq, trail.prev) = found.ok_or(TrailError::InvalidLastRecord)?;
        } else if from > 0
            || !(tail.starts_with(FIRST_RECORD_START) || FIRST_RECORD_START.starts_with(tail))
        {
            return Err(TrailError::NotATrail);
        }
        if tail.is_empty() {
            return Ok((trail, None));
        }
        let torn =
            String::from_utf8_lossy(&tail[..tail.len().min(MAX_LINE_BYTES / 16)]).into_owned();
        let torn = Event::Torn {
            bytes: tail.len(),
            sha256: digest(tail),
            text: torn,
        };
        trail.truncate_to_last_record()?;
        Ok((trail, Some(torn)))
    }

    /// Cuts off what is no whole record.
    fn truncate_to_last_record(&mut self) -> io::Result<()> {
        if let Some(file) = self.file.as_ref().filter(|_| self.regular) {
            file.set_len(self.len)?;
            file.sync_all()?;
        }
        self.write_failed = false;
        Ok(())
    }

    /// Writes a record, and before it one of those that are missing there.
    pub(super) fn write(&mut self, stderr: &mut File, at_ms: u64, event: &Event) -> io::Result<()> {
        if self
            .file
            .as_ref()
            .is_some_and(|file| has_vanished(file, &self.path).unwrap_or(false))
        {
            let (mut reopened, torn) = Self::open(&self.path).map_err(io::Error::other)?;
            reopened.lost = self.lost;
            let vanished = Event::Vanished {
                records: self.seq,
                last: self.prev.clone(),
            };
            *self = reopened;
            for event in torn.iter().chain([&vanished]) {
                self.append(stderr, at_ms, event)?;
            }
        }
        if self.lost > 0 {
            self.append(stderr, at_ms, &Event::Lost { records: self.lost })?;
            self.lost = 0;
        }
        self.append(stderr, at_ms, event)
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
        let seq = self.seq + 1;
        let mut line = serde_json::to_string(&Record {
            seq,
            at_ms,
            event,
            prev: &self.prev,
        })?;
        let hash = digest(line.as_bytes());
        line.pop();
        line.push_str(&format!(",\"hash\":\"{hash}\"}}\n"));
        let written = match &mut self.file {
            None => stderr.write_all(line.as_bytes()),
            Some(file) if self.regular => file
                .write_all(line.as_bytes())
                .and_then(|()| file.sync_all()),
            Some(file) => {
                let (taken, written) = write_part(file, &self.unwritten);
                self.unwritten.drain(..taken);
                written?;
                let (taken, written) = write_part(file, line.as_bytes());
                match written {
                    // Once begun it is a record of the trail: its reader gets the rest of it with the next one.
                    Err(_) if taken > 0 => {
                        self.unwritten.extend_from_slice(&line.as_bytes()[taken..]);
                        Ok(())
                    }
                    written => written,
                }
            }
        };
        if let Err(error) = written {
            self.write_failed = true;
            // At once, if that can be: a reader must not see half a record longer than need be.
            let _ = self.truncate_to_last_record();
            return Err(error);
        }
        self.len += line.len() as u64;
        (self.seq, self.prev) = (seq, hash);
        Ok(())
    }
}
