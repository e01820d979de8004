//! Errors of the parser.

use thiserror::Error;

/// A line that cannot be parsed. The adapter ends at such a line. Displays as one line of text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// A required field of the line is missing.
    #[error("malformed line, no {field}: {line}")]
    MissingField {
        /// Name of the field.
        field: String,
        /// Start of the line.
        line: String,
    },
    /// A field has a value that cannot be parsed.
    #[error("malformed line, unreadable {field}: {line}")]
    UnreadableField {
        /// Name of the field.
        field: String,
        /// Start of the line.
        line: String,
    },
    /// The line refers to an endpoint list that was never sent.
    #[error("malformed line, unknown bank: {line}")]
    UnknownList {
        /// Start of the line.
        line: String,
    },
    /// The line is an entry of an endpoint list, but no list is open.
    #[error("malformed line, an entry outside a roster: {line}")]
    EntryOutsideList {
        /// Start of the line.
        line: String,
    },
    /// An endpoint list ended before all of its entries were sent.
    #[error("malformed line, {missing} roster entries missing before: {word}")]
    IncompleteList {
        /// Number of missing entries.
        missing: usize,
        /// First word of the line found in place of an entry.
        word: String,
    },
}
