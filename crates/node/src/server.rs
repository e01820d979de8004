//! The client side of HTTP.
//!
//! Connections are accepted ([`accept`], [`descriptors`]) and served until they end ([`connection`]); a request is read and checked
//! ([`request`], [`parameters`]) and handed to the driver, which gives the final response ([`submit`]). Nothing is decided
//! here: what cannot be used is answered at once, and everything else goes to the driver.

mod accept;
mod connection;
mod descriptors;
mod error;
mod parameters;
mod request;
mod response;
mod submit;

pub use crate::upstream::read_body;
pub use accept::serve;
pub use connection::ClientConnection;
pub use descriptors::DescriptorSource;
pub use error::RequestError;
pub use parameters::{parse_parameters, RequestParameters};
pub use request::key_number;
pub use response::{text_response, HttpResponse};
pub use submit::submit_request;

use crate::driver::DriverEvent;
use crate::shutdown::ShutdownStage;
use crate::upstream::OpenRequestIds;
use slatelink_policy::{Name, Settings};
use slatelink_telemetry::Log;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// The longest head of a request that is read; a longer one is answered 431. Together with a body it is the most that a
/// connection can make the node hold.
pub const MAX_HEAD_BYTES: usize = 16 << 10;

/// A class of requests, as clients may ask for it.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// What `Req-Kind` says of its requests.
    pub name: Name,
    /// The longest time for which a client of the class waits; a longer `Req-Deadline-Ms` counts as this.
    pub max_timeout: Duration,
}

/// What all client connections share.
pub struct ServerContext {
    /// Every request class, by [`ClassId`](slatelink_policy::ClassId).
    pub classes: Vec<RequestClass>,
    /// The tenants that a request may name as its owner; empty where requests have none.
    pub tenants: Vec<Name>,
    /// Whether the health check succeeds while the node is serving.
    pub ready: Rc<Cell<bool>>,
    /// The stage of the node's shutdown.
    pub stage: watch::Receiver<ShutdownStage>,
    /// Where the driver takes requests.
    pub events: UnboundedSender<DriverEvent>,
    /// Where the client port takes its descriptors from.
    pub descriptors: Rc<DescriptorSource>,
    /// The node's log.
    pub log: Log,
    /// Ids of the requests that are open, or have an attempt in flight.
    pub open_ids: OpenRequestIds,
    /// Counts up from 0.
    next_request_number: Cell<u64>,
}

impl ServerContext {
    /// The classes and tenants are those of `settings`.
    pub fn new(
        settings: &Settings,
        ready: Rc<Cell<bool>>,
        stage: watch::Receiver<ShutdownStage>,
        events: UnboundedSender<DriverEvent>,
        log: Log,
        descriptors: DescriptorSource,
    ) -> Self {
        let classes = settings.classes.iter().map(|class| RequestClass {
            name: class.name.clone(),
            max_timeout: class.deadline,
        });
        Self {
            classes: classes.collect(),
            tenants: settings.tenants.clone(),
            ready,
            stage,
            events,
            descriptors: Rc::new(descriptors),
            log,
            open_ids: OpenRequestIds::default(),
            next_request_number: Cell::new(0),
        }
    }

    /// The present stage of the node's shutdown.
    fn stage(&self) -> ShutdownStage {
        *self.stage.borrow()
    }

    /// A number that no other request of this process has.
    fn take_request_number(&self) -> u64 {
        let number = self.next_request_number.get();
        self.next_request_number.set(number + 1);
        number
    }
}

#[cfg(test)]
mod tests;
