//! Events of a node that an observer can receive.

use slatelink_admission::ConnectionStats;
use slatelink_config::EndpointList;
use slatelink_policy::{BreakerScope, ClassId, EndpointId, Status};
use std::time::Duration;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An endpoint's response was returned.
    Served,
    /// Not executed, or safe to repeat.
    Shed,
    /// Not executed, or with an unknown result.
    Failed,
    /// The client disconnected before the response.
    ClientDisconnected,
}

impl RequestOutcome {
    /// Returns the value of the metric tag `status`.
    pub(crate) const fn status_tag(self) -> &'static str {
        match self {
            Self::Served => "200",
            Self::Shed => "503",
            Self::Failed => "502",
            Self::ClientDisconnected => "left",
        }
    }
}

/// Receives the events of a node in order. The default implementation of each method does nothing.
pub trait Observer {
    /// A request of this class and path was received.
    fn request_received(&self, _class: ClassId, _path: &str) {}

    /// A request has its final response, or its client has disconnected. `endpoint` is the endpoint
    /// that served the request or that was attempted last; `None` if no endpoint was chosen.
    /// `latency` is measured from the receipt of the request.
    fn request_completed(
        &self,
        _class: ClassId,
        _endpoint: Option<&EndpointId>,
        _latency: Duration,
        _outcome: RequestOutcome,
    ) {
    }

    /// An attempt at this endpoint has started.
    fn attempt_started(&self, _endpoint: &EndpointId) {}

    /// An attempt at this endpoint, for a request of this class, has ended.
    fn attempt_ended(&self, _class: ClassId, _endpoint: &EndpointId, _status: Status) {}

    /// An endpoint list from discovery is in force. The list holds all endpoints or only the
    /// changed ones.
    fn endpoints_updated(&self, _list: &EndpointList) {}

    /// The counts of the client connection table, reported each second.
    fn connections_sampled(&self, _stats: &ConnectionStats) {}

    /// A circuit breaker of the decision module has opened.
    fn breaker_opened(&self, _scope: &BreakerScope) {}
}
