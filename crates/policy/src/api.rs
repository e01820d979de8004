//! Interface of a [`Balancer`](crate::Balancer): [`Settings`] and [`Event`]s are the input,
//! [`Action`]s are the output.

mod action;
mod endpoint;
mod event;
mod identifiers;
mod request;
mod settings;

pub use action::{Action, BreakerScope};
pub use endpoint::{Availability, Endpoint, EndpointUpdate};
pub use event::Event;
pub use identifiers::{EndpointId, Name, RequestId, Timestamp};
pub use request::{CacheResult, LoadReport, Outcome, Request, Status};
pub use settings::{
    CacheMode, Class, ClassId, ClassTerms, DeduplicationScope, Idempotency, Settings,
};
