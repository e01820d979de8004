//! The interface of a [`Balancer`](crate::Balancer): settings and [`Event`]s go in, [`Action`]s
//! come out.

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
pub use settings::{CacheMode, Class, ClassId, DeduplicationScope, Idempotency, Settings};
