//! The format of an audit trail: the contents of a record, and the hash chain that links each
//! record to the previous one.
//!
//! A record is one line that holds a JSON object. Its last two fields are `prev`, the hash of the
//! previous record, and `hash`, the SHA-256 of the line without the `hash` field.

use serde::{Deserialize, Serialize};
use slatelink_config::sha256_hex;

/// Maximum length of a line of the trail. It bounds the number of bytes read from the end of a file
/// to find the last record.
pub(super) const MAX_LINE_BYTES: usize = 64 << 10;
/// Value of `prev` in the first record, which has no previous record.
pub(super) const FIRST_PREVIOUS_HASH: &str =
    "0000000000000000000000000000000000000000000000000000000000000000";
/// Leading bytes of the first record of a trail.
pub(super) const FIRST_RECORD_START: &[u8] = b"{\"seq\":1,";
/// Length of the last field and the closing brace: `,"hash":"`, 64 digits and `"}`.
const HASH_FIELD_BYTES: usize = ",\"hash\":\"\"}".len() + FIRST_PREVIOUS_HASH.len();

/// The event of a record. The variant names are stored in lower case as the field `event`.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "lowercase")]
pub(super) enum Event {
    /// The node listens for connections.
    Start {
        /// The node's name.
        node: String,
        /// The node's process id.
        pid: u32,
        /// Version of the program.
        version: &'static str,
    },
    /// The node stops.
    Stop {
        /// Name of the signal that ended the node.
        signal: &'static str,
    },
    /// A configuration is in force.
    Config {
        /// Which configuration file: `platform` or `features`.
        file: &'static str,
        /// Path of the file.
        path: String,
        /// SHA-256 of the file's contents.
        sha256: String,
    },
    /// An endpoint's state in the discovery list has changed.
    Health {
        /// Name of the endpoint.
        #[serde(rename = "host")]
        endpoint: String,
        /// Previous state.
        from: String,
        /// New state.
        to: String,
    },
    /// The file ended with an incomplete line, which was removed.
    Torn {
        /// Length of the incomplete line.
        bytes: usize,
        /// SHA-256 of the incomplete line.
        sha256: String,
        /// First bytes of the incomplete line.
        text: String,
    },
    /// Records before this one could not be written.
    Lost {
        /// Number of lost records.
        records: u64,
    },
    /// The trail's file was moved or removed, and the trail continues in the file that is at the
    /// same path now.
    Vanished {
        /// Number of records in the previous file.
        records: u64,
        /// Hash of the last record of the previous file.
        last: String,
    },
}

/// The fields of a line in their written order, without `hash`.
#[derive(Serialize)]
struct Record<'a> {
    seq: u64,
    at_ms: u64,
    #[serde(flatten)]
    event: &'a Event,
    prev: &'a str,
}

/// The end of a trail's hash chain, which the next record continues.
#[derive(Debug)]
pub(super) struct ChainPosition {
    /// Sequence number of the last record; 0 before the first record.
    pub(super) seq: u64,
    /// Hash of the last record.
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

/// A record in its written form.
pub(super) struct EncodedRecord {
    /// The line, including its line feed.
    pub(super) line: String,
    /// End of the chain after the line is written.
    pub(super) position: ChainPosition,
}

impl ChainPosition {
    /// Encodes `event` as the next record of the trail. `at_ms` is in milliseconds of Unix time.
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

/// A record read from a trail, with a valid hash.
pub(super) struct ParsedRecord {
    /// Sequence number. `None` if the line has none: the hash chain does not need it.
    pub(super) seq: Option<u64>,
    /// Hash of the previous record.
    pub(super) previous_hash: String,
    /// Hash of this record.
    pub(super) hash: String,
}

/// Parses a line without its line feed; returns `None` if the line is not a record or its hash does
/// not match.
pub(super) fn parse(line: &[u8]) -> Option<ParsedRecord> {
    #[derive(Deserialize)]
    struct Fields {
        seq: Option<u64>,
        prev: String,
    }
    // The hash covers the bytes before the `hash` field, and the closing brace.
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

/// Returns the end of a line that holds this hash, without the line feed.
fn hash_field(hash: &str) -> String {
    format!(",\"hash\":\"{hash}\"}}")
}
