//! Requests, and how attempts at them end.

use super::{ClassId, EndpointId, RequestId, Timestamp};
use std::time::Duration;

/// A request from a client. It gets exactly one final response.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Its class; `None` for one the settings do not name.
    pub class: Option<ClassId>,
    /// Hash of the object it reads or writes; requests of one key go to one endpoint.
    pub key: Option<u64>,
    /// When the client gives it up.
    pub deadline: Timestamp,
    /// Rough forecast of its work, as time on a core of standard speed.
    pub expected_work: Option<Duration>,
    /// Whether it changes the object.
    pub write: bool,
    /// Whether its class is over its quota of open requests, or there is no memory for it: it is
    /// shed.
    pub over_quota: bool,
}

impl Request {
    /// A read of no named class, to be answered before `deadline`.
    pub fn new(id: &str, deadline: Timestamp) -> Self {
        Self {
            id: id.into(),
            class: None,
            key: None,
            deadline,
            expected_work: None,
            write: false,
            over_quota: false,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The endpoint answered with an error; the request may have run.
    Failed,
    /// The endpoint rejected it for want of capacity; it never ran.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    ConnectError,
    /// The connection broke; it may have run.
    Reset,
    /// This node cancelled it; it may have run.
    Canceled,
    /// Nothing of it was sent.
    NotSent,
    /// The cache server lacks the value (cache-aside); it never ran.
    Miss,
}

impl Status {
    /// Whether it proves that the request never ran.
    pub const fn never_ran(self) -> bool {
        matches!(
            self,
            Self::Rejected | Self::ConnectError | Self::NotSent | Self::Miss
        )
    }
}

/// What an endpoint reports of its load with an answer; `None` where it reports nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Recent service time, without time in its queue.
    pub service_time: Option<Duration>,
    /// Utilization of its cores, from 0 to 1.
    pub utilization: Option<f64>,
    /// Mean number of requests that wait for a core.
    pub queue_length: Option<f64>,
}

/// What a read-through cache server reports of how it came by an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheResult {
    /// The value was cached.
    Hit,
    /// It had to be fetched from the origin.
    Miss,
}

/// The end of one attempt; every [`Action::Send`](crate::Action::Send) gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0 on in the order of sending.
    pub attempt: u32,
    /// The endpoint it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub status: Status,
    /// Whether the answer came from the endpoint's cache, where it tells.
    pub cache_result: Option<CacheResult>,
    /// Time from its send to its end.
    pub latency: Duration,
    /// Whether the request has its final response.
    pub answered: bool,
    /// The endpoint's load.
    pub load: LoadReport,
}
