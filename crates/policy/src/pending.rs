//! State of a request from its arrival to its end, with its attempts.

use crate::api::{ClassTerms, Endpoint, Outcome, Request, Status, Timestamp};

/// Epochs of the breakers that guard an attempt, at the time of its sending.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BreakerEpochs {
    /// Epoch of the endpoint's breaker.
    pub(crate) endpoint: u32,
    /// Epoch of the breaker of the request's class at the endpoint.
    pub(crate) class: u32,
    /// Epoch of the origin's breaker; `None` if the attempt's result does not count there.
    pub(crate) origin: Option<u32>,
    /// Epoch of the breaker of the endpoint's zone; 0 if the zone has no breaker.
    pub(crate) zone: u32,
}

/// One attempt of a request at one endpoint.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The endpoint, as listed when the attempt was sent.
    pub(crate) endpoint: Endpoint,
    /// The endpoint's [incarnation](crate::endpoint_table::EndpointState::incarnation) when the
    /// attempt was sent.
    pub(crate) incarnation: u64,
    /// Time of sending.
    pub(crate) sent: Timestamp,
    /// Breaker epochs in which the attempt's outcome counts.
    pub(crate) epochs: BreakerEpochs,
    /// Whether the value was expected to be fetched from the origin.
    pub(crate) likely_miss: bool,
    /// Result of the attempt; `None` while it is in flight.
    pub(crate) status: Option<Status>,
}

/// A request that has no final response yet, or has an attempt in flight.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    /// The request as sent by the client.
    pub(crate) request: Request,
    /// Terms of the request's class at its arrival.
    pub(crate) terms: ClassTerms,
    /// Maximum number of attempts at its arrival.
    pub(crate) max_attempts: u32,
    /// Attempts in the order of sending; only the last can be in flight.
    pub(crate) attempts: Vec<Attempt>,
    /// Random number, uniform between 0 and 1, drawn once per request; rounds fractional limits up
    /// or down at random (dithering) and decides whether load shedding affects the request.
    pub(crate) dither: f64,
    /// Time of arrival at this node.
    pub(crate) arrived: Timestamp,
    /// Whether no response is due: the final response has been sent or the client disconnected.
    pub(crate) finished: bool,
}

impl PendingRequest {
    /// Returns a request that arrives at `now`.
    pub(crate) fn new(
        request: Request,
        terms: ClassTerms,
        max_attempts: u32,
        dither: f64,
        now: Timestamp,
    ) -> Self {
        Self {
            request,
            terms,
            max_attempts,
            attempts: Vec::new(),
            dither,
            arrived: now,
            finished: false,
        }
    }

    /// Records the end of an attempt and returns the attempt's position; `None` if the attempt is
    /// not in flight.
    pub(crate) fn end_attempt(&mut self, outcome: &Outcome) -> Option<usize> {
        let index = outcome.attempt as usize;
        let attempt = self.attempts.get_mut(index)?;
        if attempt.status.is_some() {
            return None;
        }
        attempt.status = Some(outcome.status);
        Some(index)
    }

    /// Checks whether an attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.status.is_none())
    }

    /// Checks whether the next attempt is a retry. A send to the origin after a cache miss is not a
    /// retry.
    pub(crate) fn next_is_retry(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.status != Some(Status::Miss))
    }

    /// Checks whether the last attempt was a likely miss and failed.
    pub(crate) fn likely_miss_failed(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.likely_miss && attempt.status == Some(Status::Failed))
    }

    /// Checks whether an endpoint rejected the last attempt.
    pub(crate) fn last_attempt_was_rejected(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|attempt| attempt.status == Some(Status::Rejected))
    }

    /// Checks whether a cache server reported a miss.
    pub(crate) fn has_missed(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.status == Some(Status::Miss))
    }

    /// Checks whether an attempt has been made at this endpoint.
    pub(crate) fn was_attempted_at(&self, endpoint: &Endpoint) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.endpoint.id == endpoint.id)
    }

    /// Iterates over the attempts that may have run the request.
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| !attempt.status.is_some_and(Status::never_ran))
    }
}
