//! The phases of a client connection.

/// What a client connection is doing.
///
/// The discriminants are the positions of [`ConnectionStats::phases`](super::ConnectionStats::phases), and the indexes
/// of the table's lists of connections by phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It was accepted, and no byte has been read from it.
    AwaitingFirstByte,
    /// Part of a request has been read.
    ReadingRequest,
    /// A complete request has been read and its response is not ready.
    Processing,
    /// Its response is being written.
    WritingResponse,
    /// Every request has been answered and written; buffers and parser are kept for the next one.
    Idle,
    /// Idle, with its buffers and parser released: only the socket is held.
    Parked,
}

impl Phase {
    /// All phases, each at the position of its discriminant.
    pub const ALL: [Self; 6] = [
        Self::AwaitingFirstByte,
        Self::ReadingRequest,
        Self::Processing,
        Self::WritingResponse,
        Self::Idle,
        Self::Parked,
    ];

    /// Value of the metrics' `phase` tag: stored names, which differ from those of the variants.
    pub const fn label(self) -> &'static str {
        match self {
            Self::AwaitingFirstByte => "silent",
            Self::ReadingRequest => "asking",
            Self::Processing => "open",
            Self::WritingResponse => "answering",
            Self::Idle => "idle",
            Self::Parked => "parked",
        }
    }

    /// Whether no request is in progress and at least one was answered.
    pub(super) const fn is_idle(self) -> bool {
        matches!(self, Self::Idle | Self::Parked)
    }
}
