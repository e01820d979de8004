//! How a connection closes: for which cause, and what its owner is to do.

use super::{ConnectionId, ConnectionTable, Phase};

/// Why a connection was closed, or not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseCause {
    /// Its client closed it, or broke HTTP.
    Client,
    /// No byte came in 2 s.
    Silent,
    /// No whole request came in 2 s from its first byte.
    Slow,
    /// Its answer was not taken in 4 s.
    Untaken,
    /// Nobody used it for the idle time.
    Idle,
    /// It gave its place to another one.
    Room,
    /// Its answer closed it, since few places were left.
    Crowd,
    /// Its address holds all that one may.
    Address,
    /// No memory was left to read what it said.
    Bytes,
    /// The node stops.
    Stop,
    /// Its class holds all that it may: a request refused, not a connection closed.
    Class,
}

impl CloseCause {
    /// All of them, in the order of their numbers.
    pub const ALL: [Self; 11] = [
        Self::Client,
        Self::Silent,
        Self::Slow,
        Self::Untaken,
        Self::Idle,
        Self::Room,
        Self::Crowd,
        Self::Address,
        Self::Bytes,
        Self::Stop,
        Self::Class,
    ];

    /// Its label in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Client => "client",
            Self::Silent => "silent",
            Self::Slow => "slow",
            Self::Untaken => "untaken",
            Self::Idle => "idle",
            Self::Room => "room",
            Self::Crowd => "crowd",
            Self::Address => "address",
            Self::Bytes => "bytes",
            Self::Stop => "stop",
            Self::Class => "class",
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
        ending.is_none_or(|ending| !matches!(ending.cause, CloseCause::Room | CloseCause::Address))
    }

    /// It closes for this cause: at once where it keeps the node waiting, else when what it has asked is answered. A
    /// request that is being read as the node stops is read to its end.
    pub fn close(&mut self, id: ConnectionId, cause: CloseCause) {
        let aborts =
            matches!(self.phase(id), Phase::Asking | Phase::Answering) && cause != CloseCause::Stop;
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
