//! The check of a trail: whether each line's hash holds and names the line before it.

use super::record::{parse, FIRST_PREVIOUS_HASH, MAX_LINE_BYTES};
use std::fmt;
use std::io::{self, BufRead, Read};

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

/// Checks a trail from its first line on. Fails where the trail cannot be read.
pub fn verify(mut trail: impl BufRead) -> io::Result<Verification> {
    let mut previous_hash = FIRST_PREVIOUS_HASH.to_owned();
    let mut line = Vec::new();
    let mut line_number = 0;
    loop {
        line_number += 1;
        line.clear();
        (&mut trail)
            .take(MAX_LINE_BYTES as u64 + 1)
            .read_until(b'\n', &mut line)?;
        if line.is_empty() {
            return Ok(Verification::Intact {
                records: line_number - 1,
            });
        }
        let Some(record) = line.strip_suffix(b"\n") else {
            return Ok(if contains_line_feed(&mut trail)? {
                Verification::Broken { line: line_number }
            } else {
                Verification::Torn { line: line_number }
            });
        };
        match parse(record).filter(|record| record.previous_hash == previous_hash) {
            Some(record) => previous_hash = record.hash,
            None => return Ok(Verification::Broken { line: line_number }),
        }
    }
}

/// Whether a line that is longer than any record ends somewhere before the file does.
fn contains_line_feed(rest: &mut impl BufRead) -> io::Result<bool> {
    let line_feed_or_error = rest
        .bytes()
        .find(|byte| !matches!(byte, Ok(byte) if *byte != b'\n'));
    Ok(line_feed_or_error.transpose()?.is_some())
}
