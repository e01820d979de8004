//! The events of a node that can be observed.

use slatelink_admission::ConnectionStats;
use slatelink_config::EndpointList;
use slatelink_policy::{BreakerScope, ClassId, EndpointId, Status};
use std::time::Duration;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With the answer of an endpoint.
    Served,
    /// Not done, and safe to send again.
    Shed,
    /// Not done, or not known to be done.
    Failed,
    /// Its client disconnected first.
    ClientDisconnected,
}

impl RequestOutcome {
    /// The value of a metric's tag `status`.
    pub(crate) const fn status_tag(self) -> &'static str {
        match self {
            Self::Served => "200",
            Self::Shed => "503",
            Self::Failed => "502",
            Self::ClientDisconnected => "left",
        }
    }
}

/// Is called with each event of a node, in the order of the events. Each method does nothing unless it is implemented.
pub trait Observer {
    /// A request of this class, for this path, has come in.
    fn request_received(&self, _class: ClassId, _path: &str) {}

    /// A request has its final response, or its client has disconnected. `endpoint` served it or was attempted last; `None`
    /// where none was picked. `latency` counts from the request's receipt.
    fn request_completed(
        &self,
        _class: ClassId,
        _endpoint: Option<&EndpointId>,
        _latency: Duration,
        _outcome: RequestOutcome,
    ) {
    }

    /// An attempt at this endpoint begins.
    fn attempt_started(&self, _endpoint: &EndpointId) {}

    /// An attempt at this endpoint, for a request of this class, has ended.
    fn attempt_ended(&self, _class: ClassId, _endpoint: &EndpointId, _status: Status) {}

    /// An endpoint list of discovery is in force: all endpoints, or those that changed.
    fn endpoints_updated(&self, _list: &EndpointList) {}

    /// The counts of the client connections' table; each second.
    fn connections_sampled(&self, _stats: &ConnectionStats) {}

    /// A circuit breaker of the policy has opened.
    fn breaker_opened(&self, _scope: &BreakerScope) {}
}
