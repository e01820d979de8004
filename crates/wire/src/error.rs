//! Errors of reading the wire.

use thiserror::Error;

/// A line that cannot be read, and after which a host cannot go on. Displays itself as one line of text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// A field that the line needs is missing.
    #[error("malformed line, no {field}: {line}")]
    MissingField {
        /// Name of the field.
        field: String,
        /// Start of the line.
        line: String,
    },
    /// A field has a value that it cannot have.
    #[error("malformed line, unreadable {field}: {line}")]
    UnreadableField {
        /// Name of the field.
        field: String,
        /// Start of the line.
        line: String,
    },
    /// The line names an endpoint list that was never sent.
    #[error("malformed line, unknown bank: {line}")]
    UnknownList {
        /// Start of the line.
        line: String,
    },
    /// The line is an entry of an endpoint list, and no list is open.
    #[error("malformed line, an entry outside a roster: {line}")]
    EntryOutsideList {
        /// Start of the line.
        line: String,
    },
    /// An endpoint list ended before all of its entries were sent.
    #[error("malformed line, {missing} roster entries missing before: {word}")]
    IncompleteList {
        /// Entries that are missing.
        missing: usize,
        /// First word of the line that came in place of an entry.
        word: String,
    },
}
