//! Handling of received endpoint lists: decides whether a list replaces the held list, and which of
//! its records are forwarded to the driver.

use super::call::CallOutcome;
use super::client::DiscoveryClient;
use super::in_flight::{AddressGeneration, CompletedCall};
use super::stale_lists::ANNOUNCEMENT_LIFETIME;
use crate::driver::DriverEvent;
use slatelink_config::EndpointList;
use slatelink_policy::Availability;
use thiserror::Error;
use tokio::time::Instant;

/// The driver has stopped and no longer receives lists.
#[derive(Debug, Error)]
#[error("the driver has stopped")]
pub(super) struct DriverStopped;

/// Comparison of a received list with the held list.
pub(super) enum ListStatus {
    /// The received list is now the held list.
    Current,
    /// The received list is older. Discovery may have lost its versions, so the complete list is
    /// needed.
    Outdated,
}

impl DiscoveryClient {
    /// Accepts a list from the current address unless it is older than the held list.
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

    /// Accepts the answer to a superseded call, because the node is notified of its content.
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
            // A stopped driver is detected with the next list that `receive_lists` accepts.
            let _ = self.accept_list(list);
        }
    }

    /// Forwards only the draining and removed endpoints of a list that isn't accepted. These states
    /// are valid whatever the version of the list is.
    fn forward_unready_endpoints(&mut self, mut list: EndpointList, generation: AddressGeneration) {
        list.complete = false;
        list.endpoints
            .retain(|endpoint| endpoint.availability() != Availability::Ready);
        // A stopped driver is detected with the next list that `receive_lists` accepts.
        let _ = self.forward(list, generation);
    }

    /// Forwards a list to the driver. Endpoints that the list contains as ready, from before their
    /// drain or removal, are marked as draining.
    fn forward(
        &mut self,
        mut list: EndpointList,
        generation: AddressGeneration,
    ) -> Result<(), DriverStopped> {
        let now = Instant::now();
        if self.stale_lists.apply(&mut list, generation, now) {
            let text = "discovery: a draining or removed endpoint is ready in a list that is not newer: marked as draining";
            self.log.rate_limited("discovery", text);
            self.complete_list_due = Some(now + ANNOUNCEMENT_LIFETIME);
        }
        self.events
            .send(DriverEvent::EndpointListReceived(list))
            .map_err(|_| DriverStopped)
    }
}
