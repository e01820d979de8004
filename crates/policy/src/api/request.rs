//! Requests and the outcomes of their attempts.

use super::{ClassId, ClassTerms, EndpointId, RequestId, Timestamp};
use std::time::Duration;

/// A request from a client. Each request gets exactly one final response.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifier.
    pub id: RequestId,
    /// Class; `None` if the settings do not define the request's class.
    pub class: Option<ClassId>,
    /// Terms of the class when the client's request was read; `None` for those of the settings in
    /// force when the event is handled.
    pub class_terms: Option<ClassTerms>,
    /// Hash of the object that is read or written; requests with the same key prefer the same
    /// endpoint.
    pub key: Option<u64>,
    /// Time after which the client no longer waits for the response.
    pub deadline: Timestamp,
    /// Rough estimate of the request's work, as time on a core of standard speed.
    pub expected_work: Option<Duration>,
    /// Whether the request changes the object.
    pub write: bool,
    /// Whether the class exceeds its quota of requests in flight, or no memory is available for the
    /// request; such a request is shed.
    pub over_quota: bool,
}

impl Request {
    /// Returns a read request without a class, due before `deadline`.
    pub fn new(id: &str, deadline: Timestamp) -> Self {
        Self {
            id: id.into(),
            class: None,
            class_terms: None,
            key: None,
            deadline,
            expected_work: None,
            write: false,
            over_quota: false,
        }
    }
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The endpoint responded with an error; the request may have run.
    Failed,
    /// The endpoint rejected the request for lack of capacity; the request never ran.
    Rejected,
    /// No response in time; the request may have run or may still be running.
    TimedOut,
    /// No connection was established; the request never ran.
    ConnectError,
    /// The connection was lost; the request may have run.
    Reset,
    /// This node cancelled the attempt; the request may have run.
    Canceled,
    /// No byte of the request was sent.
    NotSent,
    /// The cache server lacks the value (cache-aside); the request never ran.
    Miss,
}

impl Status {
    /// Checks whether the status proves that the request never ran.
    pub const fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Rejected | Self::ConnectError | Self::NotSent | Self::Miss
        )
    }
}

/// Load that an endpoint reports with a response; unreported figures are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Recent service time, excluding time in the endpoint's queue.
    pub service_time: Option<Duration>,
    /// Utilization of the endpoint's cores, from 0 to 1.
    pub utilization: Option<f64>,
    /// Mean number of requests waiting for a core.
    pub queue_length: Option<f64>,
}

/// Cache result that a read-through cache server reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheResult {
    /// The value was cached.
    Hit,
    /// The value had to be fetched from the origin.
    Miss,
}

/// Outcome of one attempt; every [`Action::Send`](crate::Action::Send) gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, counted from 0 in the order of sending.
    pub attempt: u32,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Result of the attempt.
    pub status: Status,
    /// Whether the response came from the endpoint's cache; `None` if not reported.
    pub cache_result: Option<CacheResult>,
    /// Time from the start to the end of the attempt.
    pub latency: Duration,
    /// Whether the request has its final response.
    pub answered: bool,
    /// Load reported by the endpoint.
    pub load: LoadReport,
}
