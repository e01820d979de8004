//! The format of an audit trail: what a record holds, and the chain of hashes that binds each record to the one before it.
//!
//! A record is one line, a JSON object. Its last two fields are `prev`, the hash of the record before it, and `hash`, the
//! SHA-256 of the line without that field.

use serde::{Deserialize, Serialize};
use slatelink_config::sha256_hex;

/// Longest line of a trail. It bounds what is read at the end of a file to find the last record.
pub(super) const MAX_LINE_BYTES: usize = 64 << 10;
/// What the first record names in place of the hash of one before it.
pub(super) const FIRST_PREVIOUS_HASH: &str =
    "0000000000000000000000000000000000000000000000000000000000000000";
/// How the first record of a trail begins.
pub(super) const FIRST_RECORD_START: &[u8] = b"{\"seq\":1,";
/// Length of the last field and the closing brace: `,"hash":"` and 64 digits, `"}`.
const HASH_FIELD_BYTES: usize = ",\"hash\":\"\"}".len() + FIRST_PREVIOUS_HASH.len();

/// What a record is about. The variants' names are stored, in lower case, as the field `event`.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "lowercase")]
pub(super) enum Event {
    /// The node listens.
    Start {
        /// The node's name.
        node: String,
        /// Its process.
        pid: u32,
        /// The program's version.
        version: &'static str,
    },
    /// The node stops.
    Stop {
        /// The name of the signal that ended it.
        signal: &'static str,
    },
    /// A configuration is in force.
    Config {
        /// Which of the two: `platform` or `features`.
        file: &'static str,
        /// Where it was read.
        path: String,
        /// SHA-256 of what was read.
        sha256: String,
    },
    /// An endpoint's state in discovery's list has changed.
    Health {
        /// The endpoint's name.
        #[serde(rename = "host")]
        endpoint: String,
        /// The state before.
        from: String,
        /// The state now.
        to: String,
    },
    /// The file ended within a line, which was cut off.
    Torn {
        /// How long the part of the line was.
        bytes: usize,
        /// SHA-256 of it.
        sha256: String,
        /// How it begins.
        text: String,
    },
    /// So many records before this one could not be written.
    Lost {
        /// How many.
        records: u64,
    },
    /// The file that the trail was in has lost its name, by a move or removal. The trail begins anew here.
    Vanished {
        /// Records in the file that has lost its name.
        records: u64,
        /// The hash of the last of them.
        last: String,
    },
}

/// The fields of a line, in their order, less the hash.
#[derive(Serialize)]
struct Record<'a> {
    seq: u64,
    at_ms: u64,
    #[serde(flatten)]
    event: &'a Event,
    prev: &'a str,
}

/// Where a trail ends: what the next record continues.
#[derive(Debug)]
pub(super) struct ChainPosition {
    /// The number of the last record; 0 before the first.
    pub(super) seq: u64,
    /// The hash of the last record.
    pub(super) hash: String,
}

impl Default for ChainPosition {
    fn default() -> Self {
        Self {
            seq: 0,
            hash: FIRST_PREVIOUS_HASH.to_owned(),
        }
    }
}

/// A record as it is written.
pub(super) struct EncodedRecord {
    /// The line, with its line feed.
    pub(super) line: String,
    /// Where the trail ends once the line is written.
    pub(super) position: ChainPosition,
}

impl ChainPosition {
    /// The record of `event`, as the next one of the trail. `at_ms` is milliseconds of Unix time.
    pub(super) fn next_record(
        &self,
        at_ms: u64,
        event: &Event,
    ) -> Result<EncodedRecord, serde_json::Error> {
        let seq = self.seq + 1;
        let mut line = serde_json::to_string(&Record {
            seq,
            at_ms,
            event,
            prev: &self.hash,
        })?;
        let hash = sha256_hex(line.as_bytes());
        line.pop();
        line.push_str(&hash_field(&hash));
        line.push('\n');
        Ok(EncodedRecord {
            line,
            position: Self { seq, hash },
        })
    }
}

/// A record that was read, and whose own hash holds.
pub(super) struct ParsedRecord {
    /// Its number. `None` where the line has none, which the chain of hashes does not need.
    pub(super) seq: Option<u64>,
    /// The hash of the record before it.
    pub(super) previous_hash: String,
    /// Its own hash.
    pub(super) hash: String,
}

/// Reads a line, less its line feed; `None` where it is no record or its hash does not hold.
pub(super) fn parse(line: &[u8]) -> Option<ParsedRecord> {
    #[derive(Deserialize)]
    struct Fields {
        seq: Option<u64>,
        prev: String,
    }
    // The hash covers what stands before its field, and the closing brace.
    let (covered, stored_hash) =
        line.split_at_checked(line.len().checked_sub(HASH_FIELD_BYTES)?)?;
    let hash = sha256_hex(&[covered, b"}"].concat());
    if stored_hash != hash_field(&hash).as_bytes() {
        return None;
    }
    let Fields { seq, prev } = serde_json::from_str(std::str::from_utf8(line).ok()?).ok()?;
    Some(ParsedRecord {
        seq,
        previous_hash: prev,
        hash,
    })
}

/// The end of a line with this hash, less the line feed.
fn hash_field(hash: &str) -> String {
    format!(",\"hash\":\"{hash}\"}}")
}
