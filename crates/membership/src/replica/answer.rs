//! Answers to clients.

use super::{Replica, Unavailable};
use crate::message::{ListUpdate, Version};
use std::time::Duration;

/// A client's query for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListQuery {
    /// Version that the client holds; `None` to request a snapshot.
    pub after: Option<Version>,
    /// Time at which the query was received.
    pub received_at: Duration,
    /// Whether the client's wait has expired, so that the query is answered even without a newer
    /// version.
    pub wait_expired: bool,
}

/// The answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// A snapshot.
    Snapshot,
    /// A delta from this version; without records if this is the held version.
    DeltaSince(Version),
    /// No answer yet: there is no newer version.
    Wait,
    /// No answer yet: the client's version is newer than the held version, and a call to upstream
    /// has to confirm it first.
    Confirm,
}

impl Replica {
    /// Determines the answer to a query at `now`. If the answer is [`Answer::Confirm`], the version
    /// is stored and [`Replica::next_call`] returns a call that confirms it.
    ///
    /// # Errors
    ///
    /// If there is no list or the lease has expired.
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

    /// Answers a client whose version may belong to an earlier epoch with a snapshot. A client that
    /// named the held version after the start of the current epoch waits instead. Otherwise the
    /// client would call again without a pause.
    fn answer_ambiguous(&self, after: Version, held: Version, query: ListQuery) -> Answer {
        let received_in_current_epoch = self.epochs.is_in_current_epoch(query.received_at);
        if after == held && received_in_current_epoch && !query.wait_expired {
            return Answer::Wait;
        }
        Answer::Snapshot
    }

    /// Answers a client whose version is newer than the held version. Either this replica is
    /// behind, or upstream no longer knows the version. Only a call to upstream can determine
    /// which.
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

    /// Returns the message of an answer; `None` if the answer has no message, or the delta is no
    /// longer known.
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
