//! Verification of a trail: checks that each line's hash is valid and that each line names the hash
//! of the previous line.

use super::record::{parse, FIRST_PREVIOUS_HASH, MAX_LINE_BYTES};
use std::fmt;
use std::io::{self, BufRead, Read};

/// Result of verifying a whole trail. Lines count from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verification {
    /// Every record's hash is valid, and every record names the hash of the previous record.
    Intact {
        /// Number of records.
        records: u64,
    },
    /// This line was changed, or the previous line was changed or removed.
    Broken {
        /// Number of the first such line.
        line: u64,
    },
    /// The file ends with an incomplete line, for example after a crash during a write.
    Torn {
        /// Number of the last line.
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

/// Verifies a trail from its first line. Fails if the trail cannot be read.
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

/// Checks whether an overlong line ends before the end of the file.
fn contains_line_feed(remaining: &mut impl BufRead) -> io::Result<bool> {
    let line_feed_or_error = remaining
        .bytes()
        .find(|byte| !matches!(byte, Ok(byte) if *byte != b'\n'));
    Ok(line_feed_or_error.transpose()?.is_some())
}
