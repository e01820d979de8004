//! A request from its arrival to its end, with its attempts.

use crate::api::{Endpoint, Outcome, Request, Status, Timestamp};

/// Epochs of the breakers that guarded an attempt, when it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BreakerEpochs {
    /// Of the endpoint's breaker.
    pub(crate) endpoint: u32,
    /// Of the breaker of the request's class at the endpoint.
    pub(crate) class: u32,
    /// `None` for an attempt whose result does not count at the origin's breaker.
    pub(crate) origin: Option<u32>,
    /// Of the breaker of the endpoint's zone; 0 where none is kept.
    pub(crate) zone: u32,
}

/// One try of a request at one endpoint.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// As it was listed when the attempt was sent.
    pub(crate) endpoint: Endpoint,
    /// The endpoint's [incarnation](crate::endpoint_table::EndpointState::incarnation) then.
    pub(crate) incarnation: u64,
    /// When it was sent.
    pub(crate) sent: Timestamp,
    /// Which states of the breakers its end tells of.
    pub(crate) epochs: BreakerEpochs,
    /// Whether it was expected to be fetched from the origin.
    pub(crate) likely_miss: bool,
    /// How it ended; `None` while it is in flight.
    pub(crate) status: Option<Status>,
}

/// A request that has no final response yet, or has an attempt in flight.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// As the client sent it.
    pub(crate) request: Request,
    /// In the order of sending; one at most, the last, is in flight.
    pub(crate) attempts: Vec<Attempt>,
    /// Uniform between 0 and 1, drawn once: rounds the fractional limits that the request meets up
    /// or down at random (dithering) and decides whether it is among those that are shed.
    pub(crate) dither: f64,
    /// When it arrived at this node.
    pub(crate) arrived: Timestamp,
    /// Whether no response is due any more: it has its final response, or its client disconnected.
    pub(crate) finished: bool,
}

impl PendingRequest {
    /// A request that arrives now.
    pub(crate) fn new(request: Request, dither: f64, now: Timestamp) -> Self {
        Self {
            request,
            attempts: Vec::new(),
            dither,
            arrived: now,
            finished: false,
        }
    }

    /// Notes the end of an attempt and returns where it stands; `None` for one that is not in
    /// flight.
    pub(crate) fn end_attempt(&mut self, outcome: &Outcome) -> Option<usize> {
        let index = outcome.attempt as usize;
        let attempt = self.attempts.get_mut(index)?;
        if attempt.status.is_some() {
            return None;
        }
        attempt.status = Some(outcome.status);
        Some(index)
    }

    /// Whether an attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.status.is_none())
    }

    /// Whether its next attempt is a retry. A send to the origin after a cache miss is the
    /// ordinary next step.
    pub(crate) fn next_is_retry(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.status != Some(Status::Miss))
    }

    /// Whether its last attempt was expected to be fetched from the origin and failed.
    pub(crate) fn likely_miss_failed(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.likely_miss && attempt.status == Some(Status::Failed))
    }

    /// Whether an endpoint rejected its last attempt.
    pub(crate) fn was_rejected(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.status == Some(Status::Rejected))
    }

    /// Whether a cache server reported that it lacks the value.
    pub(crate) fn has_missed(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.status == Some(Status::Miss))
    }

    /// Whether an attempt has been made at this endpoint.
    pub(crate) fn was_attempted_at(&self, endpoint: &Endpoint) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.endpoint.id == endpoint.id)
    }

    /// The attempts that may have run the request.
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| !attempt.status.is_some_and(Status::never_ran))
    }
}
