//! Phases of a client connection.

/// Phase of a client connection.
///
/// The discriminants are the positions in
/// [`ConnectionStats::phases`](super::ConnectionStats::phases), and the indexes of the table's
/// lists of connections by phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The connection was accepted, and no byte has been read from it.
    AwaitingFirstByte,
    /// Bytes of a request have arrived, but no memory is available to read them.
    AwaitingMemory,
    /// Part of a request has been read, or memory is reserved for bytes that have arrived.
    ReadingRequest,
    /// A complete request has been read and its response is not ready.
    Processing,
    /// The response is being written.
    WritingResponse,
    /// All requests have been answered and the responses written; buffers and parser are kept for
    /// the next request.
    Idle,
    /// Idle, with buffers and parser released: only the socket is held.
    Parked,
    /// The node has shut down its side; the client may still be reading the last response.
    Lingering,
}

impl Phase {
    /// All phases, each at the position of its discriminant.
    pub const ALL: [Self; 8] = [
        Self::AwaitingFirstByte,
        Self::AwaitingMemory,
        Self::ReadingRequest,
        Self::Processing,
        Self::WritingResponse,
        Self::Idle,
        Self::Parked,
        Self::Lingering,
    ];

    /// Returns the value of the `phase` tag in metrics. The tag values are stored names and differ
    /// from the variant names.
    pub const fn label(self) -> &'static str {
        match self {
            Self::AwaitingFirstByte => "silent",
            Self::AwaitingMemory => "memory",
            Self::ReadingRequest => "asking",
            Self::Processing => "open",
            Self::WritingResponse => "answering",
            Self::Idle => "idle",
            Self::Parked => "parked",
            Self::Lingering => "lingering",
        }
    }

    /// Checks whether the next request has not been read completely. The request timeout applies
    /// to these phases together.
    pub(super) const fn precedes_request(self) -> bool {
        matches!(
            self,
            Self::AwaitingFirstByte | Self::AwaitingMemory | Self::ReadingRequest
        )
    }

    /// Checks whether no request is in progress and at least one was answered.
    pub(super) const fn is_idle(self) -> bool {
        matches!(self, Self::Idle | Self::Parked)
    }
}
