//! The check of a trail: whether each line's hash holds and names the line before it.

use super::trail::{FIRST_PREVIOUS_HASH, MAX_LINE_BYTES};
use serde::Deserialize;
use slatelink_config::digest;
use std::fmt;
use std::io::{self, BufRead, Read};

pub(super) struct Checked {
    pub(super) seq: Option<u64>,
    prev: String,
    pub(super) hash: String,
}

/// A line, less its line feed, whose hash holds.
pub(super) fn check(line: &[u8]) -> Option<Checked> {
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
pub enum Verification {
    /// Every record's hash holds and names the record before it.
    Intact {
        /// How many records there are.
        records: u64,
    },
    /// This line was changed, or the one before it was changed or removed.
    Broken {
        /// The first such line.
        line: u64,
    },
    /// The file ends within this line, as a crash in mid-write leaves it.
    Torn {
        /// The last line.
        line: u64,
    },
}

impl fmt::Display for Verification {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Intact { records } => write!(f, "ok {records}"),
            Self::Broken { line } => write!(f, "broken at line {line}"),
            Self::Torn { line } => write!(f, "torn at line {line}"),
        }
    }
}

/// Checks a trail from its first line on.
pub fn verify(mut trail: impl BufRead) -> io::Result<Verification> {
    let (mut prev, mut line, mut count) = (FIRST_PREVIOUS_HASH.to_owned(), Vec::new(), 0);
    loop {
        count += 1;
        line.clear();
        (&mut trail)
            .take(MAX_LINE_BYTES as u64 + 1)
            .read_until(b'\n', &mut line)?;
        if line.is_empty() {
            return Ok(Verification::Intact { records: count - 1 });
        }
        let Some(whole) = line.strip_suffix(b"\n") else {
            // The file's end, or a line longer than any record, which may end somewhere all the same.
            let ended = trail
                .by_ref()
                .bytes()
                .find(|byte| !matches!(byte, Ok(byte) if *byte != b'\n'));
            return match ended.transpose()? {
                None => Ok(Verification::Torn { line: count }),
                Some(_) => Ok(Verification::Broken { line: count }),
            };
        };
        match check(whole).filter(|record| record.prev == prev) {
            Some(record) => prev = record.hash,
            None => return Ok(Verification::Broken { line: count }),
        }
    }
}
