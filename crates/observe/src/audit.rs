//! The audit trail: who started, stopped and reconfigured the node, and what discovery said of hosts. Each record is
//! a line that names the hash of the one before it, so that no line can be changed or taken out unseen.

use crate::writer::{has_vanished, write_part, Lane, Writer};
use serde::{Deserialize, Serialize};
use slatelink_config::{digest, Listing};
use slatelink_decide::ServerId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::fs::{File, TryLockError};
use std::io::{self, BufRead, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// The first line's `prev`.
const NONE_BEFORE: &str = "0000000000000000000000000000000000000000000000000000000000000000";
/// Records that may wait for the disk.
const RECORDS: usize = 768;
/// A line is longer than this in no trail, and at a start no more is read to find the last ones.
const LONGEST: usize = 64 << 10;
/// Longer names in discovery's words are cut.
const LONGEST_NAME: usize = 256;
/// What a host is before discovery names it and once its whole list lacks it.
const ABSENT: &str = "absent";

/// What a record tells.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "lowercase")]
enum Event {
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

/// A signal that ended the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    pub signal: &'static str,
    pub number: u8,
}

impl Stop {
    /// The platform's own way: it drains the node.
    pub const TERMINATE: Self = Self { signal: "SIGTERM", number: libc::SIGTERM as u8 };
}

/// Signals that end a process which does nothing about them, and that can be caught without harm.
const STOPS: [(&str, i32); 12] = [
    ("SIGINT", libc::SIGINT),
    ("SIGQUIT", libc::SIGQUIT),
    ("SIGABRT", libc::SIGABRT),
    ("SIGUSR1", libc::SIGUSR1),
    ("SIGUSR2", libc::SIGUSR2),
    ("SIGALRM", libc::SIGALRM),
    ("SIGVTALRM", libc::SIGVTALRM),
    ("SIGPROF", libc::SIGPROF),
    ("SIGXCPU", libc::SIGXCPU),
    ("SIGIO", libc::SIGIO),
    ("SIGPWR", libc::SIGPWR),
    ("SIGSTKFLT", libc::SIGSTKFLT),
];

/// Catches them from now on, but for those in `but`, which have another use.
pub fn catch(but: &[i32]) -> io::Result<UnboundedReceiver<Stop>> {
    let (caught, stops) = unbounded_channel();
    for (name, number) in STOPS.iter().filter(|(_, number)| !but.contains(number)) {
        let mut signals = signal(SignalKind::from_raw(*number))?;
        let (caught, stop) = (caught.clone(), Stop { signal: name, number: *number as u8 });
        tokio::task::spawn_local(async move {
            if signals.recv().await.is_some() {
                // The first of them ends the node.
                let _ = caught.send(stop);
            }
        });
    }
    Ok(stops)
}

/// The node's side of the trail. Records are made here and written by the writer's thread.
pub struct Audit {
    lane: Lane,
    trail: Arc<Mutex<Trail>>,
    /// Records that found no place in the queue since the last one that did.
    lost: Cell<u64>,
    /// The stop is the last record.
    stopped: Cell<bool>,
    health: RefCell<BTreeMap<ServerId, String>>,
}

impl Audit {
    /// Descriptors that it holds.
    pub const DESCRIPTORS: usize = 1;

    /// Opens the trail for this node alone; without a path it goes to standard error.
    pub fn open(path: Option<&Path>, writer: &Writer) -> Result<Self, String> {
        let (trail, torn) = match path {
            None => (Trail::default(), None),
            Some(path) => Trail::open(path).map_err(|error| format!("audit: {}: {error}", path.display()))?,
        };
        let audit = Self {
            lane: writer.lane(RECORDS),
            trail: Arc::new(Mutex::new(trail)),
            lost: Cell::default(),
            stopped: Cell::default(),
            health: RefCell::default(),
        };
        torn.into_iter().for_each(|torn| audit.record(torn));
        Ok(audit)
    }

    pub fn start(&self, node: &str) {
        let (pid, version) = (std::process::id(), env!("CARGO_PKG_VERSION"));
        self.record(Event::Start { node: cut(node), pid, version });
    }

    pub fn stop(&self, stop: Stop) {
        self.record(Event::Stop { signal: stop.signal });
        self.stopped.set(true);
    }

    /// A configuration is in force.
    pub fn loaded(&self, file: &'static str, path: &Path, sha256: String) {
        self.record(Event::Config { file, path: path.display().to_string(), sha256 });
    }

    /// Discovery's word of hosts.
    pub fn learned(&self, listing: &Listing) {
        let mut health = self.health.borrow_mut();
        let mut before = if listing.whole { std::mem::take(&mut *health) } else { BTreeMap::new() };
        for host in &listing.hosts {
            let (id, to) = (host.entry().id, cut(host.health()));
            let from = health.remove(&id).or_else(|| before.remove(&id));
            let known = from.is_some();
            let from = from.unwrap_or_else(|| ABSENT.to_owned());
            let gone = to == "gone";
            if from != to && (known || !gone) {
                self.record(Event::Health { host: cut(id.as_str()), from, to: to.clone() });
            }
            if !gone {
                health.insert(id, to);
            }
        }
        for (id, from) in before {
            self.record(Event::Health { host: cut(id.as_str()), from, to: ABSENT.to_owned() });
        }
    }

    fn record(&self, event: Event) {
        if self.stopped.get() {
            return;
        }
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let at_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        let (trail, missing) = (self.trail.clone(), self.lost.get());
        let put = self.lane.put(move |stderr| {
            let mut trail = trail.lock().unwrap_or_else(PoisonError::into_inner);
            trail.lost += missing;
            if let Err(error) = trail.take(stderr, at_ms, &event) {
                trail.lost += 1;
                // There is nowhere else to report it to.
                let _ = writeln!(stderr, "audit: a record is not written: {error}");
            }
        });
        self.lost.set(if put { 0 } else { missing + 1 });
    }
}

fn cut(text: &str) -> String {
    text[..text.floor_char_boundary(LONGEST_NAME)].to_owned()
}

/// Where a trail stands, and the file it is in.
struct Trail {
    /// `None` for standard error.
    file: Option<File>,
    path: PathBuf,
    /// Whether the file can be cut and synced: a device or a FIFO cannot.
    regular: bool,
    /// Bytes of whole records.
    len: u64,
    /// A write broke off: what it left must go before the next one.
    spoiled: bool,
    /// What a FIFO or device did not take of a record that it has begun: this goes first.
    rest: Vec<u8>,
    /// Records that the trail lacks and does not tell of yet.
    lost: u64,
    seq: u64,
    prev: String,
}

impl Default for Trail {
    fn default() -> Self {
        let prev = NONE_BEFORE.to_owned();
        let (path, rest) = (PathBuf::new(), Vec::new());
        Self { file: None, path, regular: false, len: 0, spoiled: false, rest, lost: 0, seq: 0, prev }
    }
}

impl Trail {
    /// Goes on where the file ends. A last line that broke off is cut, and the event tells of it.
    fn open(path: &Path) -> Result<(Self, Option<Event>), String> {
        let text = |error: io::Error| error.to_string();
        let new = !path.exists();
        let mut options = File::options();
        // Neither opening nor writing waits for a FIFO's reader.
        options.read(true).append(true).create(true).custom_flags(libc::O_NONBLOCK);
        let mut file = options.open(path).map_err(text)?;
        if new {
            // The name must outlive a crash as well. Where the folder cannot be synced the file still is.
            let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
            let _ = File::open(folder.unwrap_or(Path::new("."))).and_then(|folder| folder.sync_all());
        }
        let state = file.metadata().map_err(text)?;
        // A device holds no trail that two could break.
        if state.is_file() {
            file.try_lock().map_err(|error| match error {
                TryLockError::WouldBlock => "another node writes there".to_owned(),
                TryLockError::Error(error) => text(error),
            })?;
        }
        // Its length only once no other node writes.
        let state = file.metadata().map_err(text)?;
        let (regular, len) = (state.is_file(), if state.is_file() { state.len() } else { 0 });
        let from = len.saturating_sub(2 * LONGEST as u64);
        let mut end = Vec::new();
        if len > 0 {
            file.seek(SeekFrom::Start(from)).map_err(text)?;
            (&mut file).take(len - from).read_to_end(&mut end).map_err(text)?;
        }
        let whole = end.iter().rposition(|&byte| byte == b'\n').map_or(0, |last| last + 1);
        let (lines, tail) = end.split_at(whole);
        let (file, path) = (Some(file), path.to_owned());
        let mut trail = Self { file, path, regular, len: from + whole as u64, ..Self::default() };
        if let Some(lines) = lines.strip_suffix(b"\n") {
            let last = lines.rsplit(|&byte| byte == b'\n').next().unwrap_or_default();
            let found = check(last).and_then(|record| Some((record.seq?, record.hash)));
            (trail.seq, trail.prev) = found.ok_or("its last whole line is no record of an audit trail")?;
        } else if from > 0 || !(tail.starts_with(BEGIN) || BEGIN.starts_with(tail)) {
            return Err("it is no audit trail".to_owned());
        }
        if tail.is_empty() {
            return Ok((trail, None));
        }
        let torn = String::from_utf8_lossy(&tail[..tail.len().min(LONGEST / 16)]).into_owned();
        let torn = Event::Torn { bytes: tail.len(), sha256: digest(tail), text: torn };
        trail.cut().map_err(text)?;
        Ok((trail, Some(torn)))
    }

    /// Cuts off what is no whole record.
    fn cut(&mut self) -> io::Result<()> {
        if let Some(file) = self.file.as_ref().filter(|_| self.regular) {
            file.set_len(self.len)?;
            file.sync_all()?;
        }
        self.spoiled = false;
        Ok(())
    }

    /// Writes a record, and before it one of those that are missing there.
    fn take(&mut self, stderr: &mut File, at_ms: u64, event: &Event) -> io::Result<()> {
        if self.file.as_ref().is_some_and(|file| has_vanished(file, &self.path).unwrap_or(false)) {
            let (mut new, torn) = Self::open(&self.path).map_err(io::Error::other)?;
            new.lost = self.lost;
            let vanished = Event::Vanished { records: self.seq, last: self.prev.clone() };
            *self = new;
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
    fn append(&mut self, stderr: &mut File, at_ms: u64, event: &Event) -> io::Result<()> {
        if self.spoiled {
            self.cut()?;
        }
        let seq = self.seq + 1;
        let mut line = serde_json::to_string(&Record { seq, at_ms, event, prev: &self.prev })?;
        let hash = digest(line.as_bytes());
        line.pop();
        line.push_str(&format!(",\"hash\":\"{hash}\"}}\n"));
        let written = match &mut self.file {
            None => stderr.write_all(line.as_bytes()),
            Some(file) if self.regular => file.write_all(line.as_bytes()).and_then(|()| file.sync_all()),
            Some(file) => {
                let (taken, written) = write_part(file, &self.rest);
                self.rest.drain(..taken);
                written?;
                let (taken, written) = write_part(file, line.as_bytes());
                match written {
                    // Once begun it is a record of the trail: its reader gets the rest of it with the next one.
                    Err(_) if taken > 0 => {
                        self.rest.extend_from_slice(&line.as_bytes()[taken..]);
                        Ok(())
                    }
                    written => written,
                }
            }
        };
        if let Err(error) = written {
            self.spoiled = true;
            // At once, if that can be: a reader must not see half a record longer than need be.
            let _ = self.cut();
            return Err(error);
        }
        self.len += line.len() as u64;
        (self.seq, self.prev) = (seq, hash);
        Ok(())
    }
}

/// How the first record of a trail begins.
const BEGIN: &[u8] = b"{\"seq\":1,";

struct Checked {
    seq: Option<u64>,
    prev: String,
    hash: String,
}

/// A line, less its line feed, whose hash holds.
fn check(line: &[u8]) -> Option<Checked> {
    #[derive(Deserialize)]
    struct Fields {
        seq: Option<u64>,
        prev: String,
    }
    // The hash is the last field: what stands before it, and the closing brace, is what it covers.
    const FIELD: usize = ",\"hash\":\"\"}".len() + 64;
    let covered = line.len().checked_sub(FIELD)?;
    let mut rest = line[..covered].to_vec();
    rest.push(b'}');
    let hash = digest(&rest);
    if line[covered..] != *format!(",\"hash\":\"{hash}\"}}").as_bytes() {
        return None;
    }
    let Fields { seq, prev } = serde_json::from_str(std::str::from_utf8(line).ok()?).ok()?;
    Some(Checked { seq, prev, hash })
}

/// What a check of a whole trail comes to. Lines count from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Ok(u64),
    Broken(u64),
    Torn(u64),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ok(count) => write!(f, "ok {count}"),
            Self::Broken(line) => write!(f, "broken at line {line}"),
            Self::Torn(line) => write!(f, "torn at line {line}"),
        }
    }
}

/// Checks a trail from its first line on.
pub fn verify(mut trail: impl BufRead) -> io::Result<Verdict> {
    let (mut prev, mut line, mut count) = (NONE_BEFORE.to_owned(), Vec::new(), 0);
    loop {
        count += 1;
        line.clear();
        (&mut trail).take(LONGEST as u64 + 1).read_until(b'\n', &mut line)?;
        if line.is_empty() {
            return Ok(Verdict::Ok(count - 1));
        }
        let Some(whole) = line.strip_suffix(b"\n") else {
            // The file's end, or a line longer than any record, which may end somewhere all the same.
            let ended = trail.by_ref().bytes().find(|byte| !matches!(byte, Ok(byte) if *byte != b'\n'));
            return match ended.transpose()? {
                None => Ok(Verdict::Torn(count)),
                Some(_) => Ok(Verdict::Broken(count)),
            };
        };
        match check(whole).filter(|record| record.prev == prev) {
            Some(record) => prev = record.hash,
            None => return Ok(Verdict::Broken(count)),
        }
    }
}

#[cfg(test)]
mod tests;
