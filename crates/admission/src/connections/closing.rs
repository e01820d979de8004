//! Closing of connections: the cause, and the directive to the owner.

use super::{ConnectionId, ConnectionTable, Phase};

/// Cause of a closed or refused connection, or of a shed request.
///
/// The discriminants are the positions in
/// [`ConnectionStats::closed`](super::ConnectionStats::closed) and
/// [`ConnectionStats::refused`](super::ConnectionStats::refused).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseCause {
    /// The client closed the connection or violated HTTP.
    ClosedByClient,
    /// No byte arrived within the timeout after the accept.
    FirstByteTimeout,
    /// A request was not complete within the timeout after its first byte.
    RequestTimeout,
    /// The client did not read its response within the timeout.
    ResponseWriteTimeout,
    /// The connection was idle for
    /// [`ConnectionLimits::idle_timeout`](super::ConnectionLimits::idle_timeout).
    IdleTimeout,
    /// The connection was evicted to free its descriptor or its memory for another connection.
    Evicted,
    /// The connection closed with its response, because the number of connections in use had
    /// reached [`ConnectionLimits::keep_alive_limit`](super::ConnectionLimits::keep_alive_limit) or
    /// connections waited for a descriptor.
    KeepAliveLimit,
    /// The client address has reached its connection quota.
    AddressQuota,
    /// No memory was available to read the bytes that the client sent.
    MemoryLimit,
    /// The node is shutting down.
    Shutdown,
    /// The class of a request has reached its quota of requests in flight: the request is shed, and
    /// the connection stays open.
    ClassQuota,
    /// The client has sent many bytes behind a request: the request is shed, and the connection
    /// closes with the response.
    TrailingBytes,
}

impl CloseCause {
    /// All causes, each at the position of its discriminant.
    pub const ALL: [Self; 12] = [
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
        Self::TrailingBytes,
    ];

    /// Returns the value of the `cause` tag in metrics. The tag values are stored names and differ
    /// from the variant names.
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
            Self::TrailingBytes => "trailing",
        }
    }
}

/// Instruction to the owner of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Directive {
    /// Continue without change.
    Continue,
    /// Release everything except the socket, then call [`ConnectionTable::on_parked`].
    Park,
    /// Answer the request that the node has read, if any, then close.
    Finish,
    /// Close immediately.
    Abort,
}

/// Cause and directive of a connection that is to close.
#[derive(Clone, Copy, Debug)]
pub(super) struct Closing {
    /// First cause that was recorded.
    pub(super) cause: CloseCause,
    /// Last directive that was recorded. [`Directive::Abort`] takes precedence over later
    /// directives, but becomes [`Directive::Finish`] if a request is read completely first.
    pub(super) directive: Directive,
}

impl ConnectionTable {
    /// Returns the current directive for the owner of a connection. [`Directive::Park`] is returned
    /// once for each request to park.
    pub fn directive(&mut self, id: ConnectionId) -> Directive {
        let phase = self.phase(id);
        let Some(entry) = self.entry_mut(id) else {
            return Directive::Abort;
        };
        if let Some(closing) = entry.closing {
            return closing.directive;
        }
        // The request to park is obsolete if a request has arrived in the meantime.
        let park_requested = std::mem::take(&mut entry.park_requested);
        if park_requested && phase == Phase::Idle {
            Directive::Park
        } else {
            Directive::Continue
        }
    }

    /// Checks whether a closed connection may briefly keep its descriptor while its client still
    /// reads. `false` if the connection was closed to free the descriptor.
    pub fn may_linger(&self, id: ConnectionId) -> bool {
        let closing = self.entry(id).and_then(|entry| entry.closing.as_ref());
        closing.is_none_or(|closing| {
            !matches!(
                closing.cause,
                CloseCause::Evicted | CloseCause::AddressQuota
            )
        })
    }

    /// Closes a connection for this cause: immediately while it waits for memory, reads a request
    /// or writes a response, otherwise after the response to its request. On shutdown, requests and
    /// responses in progress are also completed.
    pub fn close(&mut self, id: ConnectionId, cause: CloseCause) {
        let in_progress = matches!(
            self.phase(id),
            Phase::AwaitingMemory | Phase::ReadingRequest | Phase::WritingResponse
        );
        let directive = if in_progress && cause != CloseCause::Shutdown {
            Directive::Abort
        } else {
            Directive::Finish
        };
        self.set_closing(id, cause, directive);
    }

    /// Records that a connection closes. The first cause is kept, and an abort is not replaced by
    /// another directive.
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
