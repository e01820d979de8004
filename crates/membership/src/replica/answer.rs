//! Answers to clients.

use super::{Replica, Unavailable};
use crate::message::{ListUpdate, Version};
use std::time::Duration;

/// A client's query for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListQuery {
    /// The version that the client has; `None` if it requests a snapshot.
    pub after: Option<Version>,
    /// When the query was received.
    pub received_at: Duration,
    /// Whether the client's wait is over, so that it is answered even if nothing is newer.
    pub wait_expired: bool,
}

/// The answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// A snapshot.
    Snapshot,
    /// A delta from this version; without records if it is the one held.
    DeltaSince(Version),
    /// None yet: there is nothing newer.
    Wait,
    /// None yet: the client has a version that this replica has not, and a call upstream has to confirm it first.
    Confirm,
}

impl Replica {
    /// Decides how a query is answered at `now`. If the answer is [`Answer::Confirm`], the version is remembered and
    /// [`Replica::next_call`] calls upstream for it.
    ///
    /// # Errors
    ///
    /// If there is no list or its lease has expired.
    pub fn answer(&mut self, query: ListQuery, now: Duration) -> Result<Answer, Unavailable> {
        let held = self.version.ok_or(Unavailable::NoList)?;
        self.lease.check(now)?;
        let Some(after) = query.after else {
            return Ok(Answer::Snapshot);
        };
        if self.epochs.is_ambiguous(after, now) {
            return Ok(self.answer_ambiguous(after, held, query));
        }
        if after > held {
            return Ok(self.answer_newer(after, query.received_at));
        }
        if after == held && !query.wait_expired {
            return Ok(Answer::Wait);
        }
        Ok(if self.history.holds(after) {
            Answer::DeltaSince(after)
        } else {
            Answer::Snapshot
        })
    }

    /// Answers a client whose version may be of an earlier epoch by a snapshot. A client that named the version held after
    /// the present epoch began waits: it would call without end otherwise.
    fn answer_ambiguous(&self, after: Version, held: Version, query: ListQuery) -> Answer {
        let is_of_present_epoch = self.epochs.follows_change(query.received_at);
        if after == held && is_of_present_epoch && !query.wait_expired {
            return Answer::Wait;
        }
        Answer::Snapshot
    }

    /// Answers a client whose version is newer than the one held. Either this replica is behind or upstream does not know
    /// the version any more; only upstream can tell which.
    fn answer_newer(&mut self, after: Version, received_at: Duration) -> Answer {
        let is_unknown_upstream = self
            .unknown
            .is_some_and(|unknown| after <= unknown.version && received_at <= unknown.call_sent_at);
        if is_unknown_upstream {
            return Answer::Snapshot;
        }
        self.unconfirmed = self.unconfirmed.max(Some(after));
        Answer::Confirm
    }

    /// The message of an answer; `None` if it has none, or the delta is not known any more.
    pub fn message(&self, answer: Answer) -> Option<ListUpdate> {
        let version = self.version?;
        match answer {
            Answer::Snapshot => Some(ListUpdate {
                version,
                complete: true,
                records: self.endpoints.values().cloned().collect(),
            }),
            Answer::DeltaSince(after) => Some(ListUpdate {
                version,
                complete: false,
                records: self.history.changes_since(after)?,
            }),
            Answer::Wait | Answer::Confirm => None,
        }
    }
}
