//! Input of a balancer: events at the node.

use super::{Endpoint, EndpointUpdate, Outcome, Request, RequestId, Settings};
use std::sync::Arc;

/// An event that the node reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node starts with the last list known to an earlier process; possibly stale.
    LastKnownEndpoints(Arc<[Endpoint]>),
    /// Discovery sent an update, or a call to discovery or the watch failed.
    Endpoints(EndpointUpdate),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(Outcome),
    /// The client disconnected; the request needs no response.
    RequestCanceled(RequestId),
    /// The settings have changed. Requests that have arrived keep the terms of their class, and no
    /// more attempts than both the previous and the changed settings allow.
    ///
    /// A class has the same position as in the previous settings. A position may name another class
    /// only if no request of the earlier class is left; state of the earlier class is discarded.
    SettingsChanged(Box<Settings>),
    /// The delay of an [`Action::Wake`](crate::Action::Wake) has elapsed.
    Timer,
}
