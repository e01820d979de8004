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
    let (mut prev, mut line, mut count) = (FIRST_PREVIOUS_HASH.to_owned(), Vec::new(), 0);
    loop {
        count += 1;
        line.clear();
        (&mut trail)
            .take(MAX_LINE_BYTES as u64 + 1)
            .read_until(b'\n', &mut line)?;
        if line.is_empty() {
            return Ok(Verdict::Ok(count - 1));
        }
        let Some(whole) = line.strip_suffix(b"\n") else {
            // The file's end, or a line longer than any record, which may end somewhere all the same.
            let ended = trail
                .by_ref()
                .bytes()
                .find(|byte| !matches!(byte, Ok(byte) if *byte != b'\n'));
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
