//! What happens with an endpoint list that was received: whether it becomes the one that is held, and what of it reaches
//! the driver.

use super::call::CallOutcome;
use super::client::DiscoveryClient;
use super::in_flight::{AddressGeneration, CompletedCall};
use super::stale_lists::ANNOUNCEMENT_LIFETIME;
use crate::driver::DriverEvent;
use slatelink_config::EndpointList;
use slatelink_policy::Availability;
use thiserror::Error;
use tokio::time::Instant;

/// The driver has stopped, so that nobody receives lists any more.
#[derive(Debug, Error)]
#[error("the driver has stopped")]
pub(super) struct DriverStopped;

/// How a received list compares with the one that was held.
pub(super) enum ListStatus {
    /// It is the one that is held now.
    Current,
    /// It is older. Discovery may have lost its versions, so the complete list is needed.
    Outdated,
}

impl DiscoveryClient {
    /// Accepts a list of the current address, unless it is older than the one that is held.
    pub(super) fn accept_list(&mut self, list: EndpointList) -> Result<ListStatus, DriverStopped> {
        if let Some(held) = self.version.filter(|held| list.version < *held) {
            let text = format!(
                "discovery: list {} is older than {held}: polling for the complete list",
                list.version
            );
            self.log.rate_limited("discovery", &text);
            self.version = None;
            self.forward_unready_endpoints(list, self.generation);
            return Ok(ListStatus::Outdated);
        }
        self.version = Some(list.version);
        self.forward(list, self.generation)?;
        Ok(ListStatus::Current)
    }

    /// Accepts the answer to a superseded call: the node is notified of it.
    pub(super) fn accept_superseded(&mut self, completed: CompletedCall) {
        let CompletedCall {
            generation,
            outcome: CallOutcome {
                result: Ok(list), ..
            },
            ..
        } = completed
        else {
            return;
        };
        if generation != self.generation || self.version.is_none() {
            self.forward_unready_endpoints(list, generation);
        } else if self.version.is_some_and(|held| list.version > held) {
            // Whether the driver has stopped shows at the next list.
            let _ = self.accept_list(list);
        }
    }

    /// Forwards what a list that isn't accepted says of draining and removed endpoints: that holds whatever its version is.
    fn forward_unready_endpoints(&mut self, mut list: EndpointList, generation: AddressGeneration) {
        list.complete = false;
        list.endpoints
            .retain(|endpoint| endpoint.availability() != Availability::Ready);
        // Whether the driver has stopped shows at the next list.
        let _ = self.forward(list, generation);
    }

    /// Forwards a list to the driver, less what it knows from before an endpoint's drain or removal.
    fn forward(
        &mut self,
        mut list: EndpointList,
        generation: AddressGeneration,
    ) -> Result<(), DriverStopped> {
        let now = Instant::now();
        if self.stale_lists.apply(&mut list, generation, now) {
            let text = "discovery: an endpoint that drains is not taken for ready from a list that is not newer";
            self.log.rate_limited("discovery", text);
            self.complete_list_due = Some(now + ANNOUNCEMENT_LIFETIME);
        }
        self.events
            .send(DriverEvent::EndpointListReceived(list))
            .map_err(|_| DriverStopped)
    }
}
