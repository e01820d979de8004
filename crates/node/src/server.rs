//! The HTTP server for clients.
//!
//! Connections are accepted ([`accept`], [`descriptors`]) and served until they end
//! ([`connection`]). A request is read and checked ([`request`], [`parameters`]) and passed to the
//! driver, which provides the final response ([`submit`]). The server makes no routing decision: it
//! answers unusable requests and health checks itself, and passes all other requests to the driver.

mod accept;
mod connection;
mod descriptors;
mod error;
mod parameters;
mod request;
mod response;
mod submit;

pub use accept::serve;
pub use connection::ClientConnection;
pub use descriptors::DescriptorSource;
pub use error::RequestError;
pub use parameters::{parse_parameters, RequestParameters};
pub use request::key_number;
pub use response::{text_response, HttpResponse};
pub use submit::submit_request;

use crate::body::BodyMemory;
use crate::classes::ClassTable;
use crate::driver::DriverEvent;
use crate::shutdown::ShutdownStage;
use crate::upstream::OpenRequestIds;
use slatelink_policy::{Name, Settings};
use slatelink_telemetry::Log;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Largest head of a request that is read; a larger head is answered with 431. Together with the
/// largest body, it bounds the request data that the node holds for a connection.
pub const MAX_HEAD_BYTES: usize = 16 << 10;

/// State shared by all client connections.
pub struct ServerContext {
    /// Request classes that clients may name in `Req-Kind`.
    pub classes: RefCell<ClassTable>,
    /// Tenants that a request may name as its owner; empty if requests have none.
    pub tenants: RefCell<Vec<Name>>,
    /// Whether the health check succeeds while the node is serving.
    pub ready: Rc<Cell<bool>>,
    /// Stage of the node's shutdown.
    pub stage: watch::Receiver<ShutdownStage>,
    /// Channel to the driver.
    pub events: UnboundedSender<DriverEvent>,
    /// Source of the descriptors of the client port's connections.
    pub descriptors: Rc<DescriptorSource>,
    /// Memory for the bodies of responses.
    pub response_memory: BodyMemory,
    /// The node's log.
    pub log: Log,
    /// Ids of the requests that have no final response yet, or an attempt in flight.
    pub open_ids: OpenRequestIds,
    /// Number of the next request, counted from 0.
    next_request_number: Cell<u64>,
}

impl ServerContext {
    /// Creates a context with the classes and tenants of `settings`.
    pub fn new(
        settings: &Settings,
        ready: Rc<Cell<bool>>,
        stage: watch::Receiver<ShutdownStage>,
        events: UnboundedSender<DriverEvent>,
        log: Log,
        descriptors: DescriptorSource,
        response_memory: BodyMemory,
    ) -> Self {
        Self {
            classes: RefCell::new(ClassTable::new(&settings.classes)),
            tenants: RefCell::new(settings.tenants.clone()),
            ready,
            stage,
            events,
            descriptors: Rc::new(descriptors),
            response_memory,
            log,
            open_ids: OpenRequestIds::default(),
            next_request_number: Cell::new(0),
        }
    }

    /// Returns the current stage of the node's shutdown.
    fn stage(&self) -> ShutdownStage {
        *self.stage.borrow()
    }

    /// Returns a number that no other request of this process has.
    fn take_request_number(&self) -> u64 {
        let number = self.next_request_number.get();
        self.next_request_number.set(number + 1);
        number
    }
}

#[cfg(test)]
mod tests;
