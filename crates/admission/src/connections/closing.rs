//! How a connection closes: for which cause, and what its owner has to do.

use super::{ConnectionId, ConnectionTable, Phase};

/// Why a connection was closed or refused, or a request shed.
///
/// The discriminants are the positions of [`ConnectionStats::closed`](super::ConnectionStats::closed) and
/// [`ConnectionStats::refused`](super::ConnectionStats::refused).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseCause {
    /// The client closed it or violated HTTP.
    ClosedByClient,
    /// No byte arrived in time after the accept.
    FirstByteTimeout,
    /// A request was not complete in time after its first byte.
    RequestTimeout,
    /// The client did not read its response in time.
    ResponseWriteTimeout,
    /// It was idle for [`ConnectionLimits::idle_timeout`](super::ConnectionLimits::idle_timeout).
    IdleTimeout,
    /// It was evicted so that another connection gets its descriptor.
    Evicted,
    /// Its response closed it, since [`ConnectionLimits::keep_alive_limit`](super::ConnectionLimits::keep_alive_limit)
    /// or more connections were in use or connections waited for a descriptor.
    KeepAliveLimit,
    /// Its address has reached its connection quota.
    AddressQuota,
    /// There was no memory to read what it sent.
    MemoryLimit,
    /// The node shuts down.
    Shutdown,
    /// The class of a request has reached its quota of requests in flight: the request is shed, the connection stays open.
    ClassQuota,
}

impl CloseCause {
    /// All causes, each at the position of its discriminant.
    pub const ALL: [Self; 11] = [
        Self::ClosedByClient,
        Self::FirstByteTimeout,
        Self::RequestTimeout,
        Self::ResponseWriteTimeout,
        Self::IdleTimeout,
        Self::Evicted,
        Self::KeepAliveLimit,
        Self::AddressQuota,
        Self::MemoryLimit,
        Self::Shutdown,
        Self::ClassQuota,
    ];

    /// Value of the metrics' `cause` tag: stored names, which differ from those of the variants.
    pub const fn label(self) -> &'static str {
        match self {
            Self::ClosedByClient => "client",
            Self::FirstByteTimeout => "silent",
            Self::RequestTimeout => "slow",
            Self::ResponseWriteTimeout => "untaken",
            Self::IdleTimeout => "idle",
            Self::Evicted => "room",
            Self::KeepAliveLimit => "crowd",
            Self::AddressQuota => "address",
            Self::MemoryLimit => "bytes",
            Self::Shutdown => "stop",
            Self::ClassQuota => "class",
        }
    }
}

/// What the owner of a connection has to do with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Directive {
    /// Go on.
    Continue,
    /// Release everything but the socket, then call [`ConnectionTable::on_parked`].
    Park,
    /// Answer the request that the node has read, if any, and close.
    Finish,
    /// Close at once.
    Abort,
}

/// The close that was decided for a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Closing {
    /// The first cause that was given.
    pub(super) cause: CloseCause,
    /// The last directive given. [`Directive::Abort`] takes precedence over later ones, but becomes [`Directive::Finish`] if
    /// a request is read to its end first.
    pub(super) directive: Directive,
}

impl ConnectionTable {
    /// What the owner of a connection has to do now. [`Directive::Park`] is returned once for each request to park.
    pub fn directive(&mut self, id: ConnectionId) -> Directive {
        let phase = self.phase(id);
        let Some(entry) = self.entry_mut(id) else {
            return Directive::Abort;
        };
        if let Some(closing) = entry.closing {
            return closing.directive;
        }
        // Out of date where a request has arrived since parking was requested.
        let park_requested = std::mem::take(&mut entry.park_requested);
        if park_requested && phase == Phase::Idle {
            Directive::Park
        } else {
            Directive::Continue
        }
    }

    /// Whether the descriptor of a closed connection may be held for a moment, for a client that still reads: not where
    /// it closed so that another connection gets the descriptor.
    pub fn may_linger(&self, id: ConnectionId) -> bool {
        let closing = self.entry(id).and_then(|entry| entry.closing.as_ref());
        closing.is_none_or(|closing| {
            !matches!(
                closing.cause,
                CloseCause::Evicted | CloseCause::AddressQuota
            )
        })
    }

    /// Closes a connection for this cause: at once while it reads a request or writes a response, else after the
    /// response to its request. At shutdown, requests and responses in progress are completed too.
    pub fn close(&mut self, id: ConnectionId, cause: CloseCause) {
        let in_progress = matches!(
            self.phase(id),
            Phase::ReadingRequest | Phase::WritingResponse
        );
        let directive = if in_progress && cause != CloseCause::Shutdown {
            Directive::Abort
        } else {
            Directive::Finish
        };
        self.set_closing(id, cause, directive);
    }

    /// Records that a connection closes. The first cause is kept, and no other directive takes the place of an abort.
    pub(super) fn set_closing(
        &mut self,
        id: ConnectionId,
        cause: CloseCause,
        directive: Directive,
    ) {
        if let Some(entry) = self.entry_mut(id) {
            let closing = entry.closing.get_or_insert(Closing { cause, directive });
            if closing.directive != Directive::Abort {
                closing.directive = directive;
            }
        }
    }
}
