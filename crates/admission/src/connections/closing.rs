//! How a connection closes: for which cause, and what its owner is to do.

use super::{ConnectionId, ConnectionTable, Phase};

/// Why a connection was closed or refused, or a request refused.
///
/// The discriminants number the positions of [`ConnectionStats::closed`](super::ConnectionStats::closed) and
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
    /// Its address has as many connections as one address may.
    AddressQuota,
    /// There was no memory to read what it sent.
    MemoryLimit,
    /// The node shuts down.
    Shutdown,
    /// The class of a request has as many in flight as it may: the request is refused, the connection stays open.
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

/// What the owner of a connection is to do with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Directive {
    /// Go on.
    Continue,
    /// Release everything but the socket.
    Park,
    /// Finish the request that the node has taken, if any, and close.
    Finish,
    /// Close at once: what is in progress will not end in time.
    Abort,
}

/// The end that was decided for a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ending {
    pub(super) cause: CloseCause,
    pub(super) directive: Directive,
}

impl ConnectionTable {
    /// What a connection is to do now.
    pub fn directive(&mut self, id: ConnectionId) -> Directive {
        let phase = self.phase(id);
        let Some(entry) = self.entry_mut(id) else {
            return Directive::Abort;
        };
        match entry.ending {
            Some(ending) => ending.directive,
            // The order to park may be out of date: another request may have come since.
            None if std::mem::take(&mut entry.parking) && phase == Phase::Idle => Directive::Park,
            None => Directive::Continue,
        }
    }

    /// Whether its descriptor may be held for a moment past its end, for a client that still reads: not where it was closed
    /// so that another one can have its place.
    pub fn may_linger(&self, id: ConnectionId) -> bool {
        let ending = self.entry(id).and_then(|entry| entry.ending.as_ref());
        ending.is_none_or(|ending| {
            !matches!(ending.cause, CloseCause::Evicted | CloseCause::AddressQuota)
        })
    }

    /// It closes for this cause: at once where it keeps the node waiting, else when what it has asked is answered. A
    /// request that is being read as the node stops is read to its end.
    pub fn close(&mut self, id: ConnectionId, cause: CloseCause) {
        let aborts = matches!(
            self.phase(id),
            Phase::ReadingRequest | Phase::WritingResponse
        ) && cause != CloseCause::Shutdown;
        self.set_ending(
            id,
            cause,
            if aborts {
                Directive::Abort
            } else {
                Directive::Finish
            },
        );
    }

    pub(super) fn set_ending(&mut self, id: ConnectionId, cause: CloseCause, directive: Directive) {
        if let Some(entry) = self.entry_mut(id) {
            // The first cause is the cause; what is to close at once does so whatever was said before.
            let ending = entry.ending.get_or_insert(Ending { cause, directive });
            if ending.directive != Directive::Abort {
                ending.directive = directive;
            }
        }
    }
}
