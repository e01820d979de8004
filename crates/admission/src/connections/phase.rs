//! The phases of a connection.

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Nothing has come yet.
    Silent,
    /// A request is coming.
    Asking,
    /// A request is with the driver.
    Open,
    /// An answer is being written.
    Answering,
    /// All that came is answered.
    Idle,
    /// So for a while: it holds nothing but its socket.
    Parked,
}

impl Phase {
    /// All of them, in the order of their numbers.
    pub const ALL: [Self; 6] = [
        Self::Silent,
        Self::Asking,
        Self::Open,
        Self::Answering,
        Self::Idle,
        Self::Parked,
    ];

    /// Its label in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Asking => "asking",
            Self::Open => "open",
            Self::Answering => "answering",
            Self::Idle => "idle",
            Self::Parked => "parked",
        }
    }

    /// Whether no request is in progress on it.
    pub(super) const fn is_idle(self) -> bool {
        matches!(self, Self::Idle | Self::Parked)
    }
}
