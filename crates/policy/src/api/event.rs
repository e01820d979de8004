//! What goes into a balancer.

use super::{Endpoint, EndpointUpdate, Outcome, Request, RequestId};
use std::sync::Arc;

/// Something that happened, as the node tells the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node starts with the list that an earlier process knew last, possibly stale.
    LastKnownEndpoints(Arc<[Endpoint]>),
    /// Discovery answered.
    Endpoints(EndpointUpdate),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(Outcome),
    /// The client left: the request needs no answer any more.
    RequestCanceled(RequestId),
    /// The time of an [`Action::Wake`](crate::Action::Wake) has come.
    Timer,
}
