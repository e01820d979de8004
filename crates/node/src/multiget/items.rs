//! Items of a multi-get request, run as requests of this node.

use super::request::Item;
use super::response::FinishedItem;
use crate::driver::FinalResponse;
use crate::server::{submit_request, RequestParameters, ServerContext};
use crate::upstream::ForwardedRequest;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use slatelink_admission::ByteReservation;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc::Sender;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// State shared by the items of one request.
#[derive(Clone)]
pub(super) struct Items {
    /// Context shared with the client port.
    pub context: Rc<ServerContext>,
    /// Memory of the request's body, from which the items were read.
    pub _body_reservation: Rc<ByteReservation>,
    /// One permit for each item of all requests that may hold a response at once.
    pub permits: Arc<Semaphore>,
    /// Parameters of each item, except its timeout.
    pub parameters: RequestParameters,
    /// Time at which the client stops waiting.
    pub deadline: Instant,
    /// Maximum number of items in flight.
    pub max_in_flight: usize,
}

impl Items {
    /// Runs the items, and sends each item when it ends. The items in flight are canceled if this
    /// future is dropped, or if the receiver is dropped because the client disconnected.
    pub async fn run(self, items: Vec<Item>, finished: Sender<FinishedItem>) {
        let mut pending = items.into_iter().enumerate();
        let mut in_flight = JoinSet::new();
        loop {
            while in_flight.len() < self.max_in_flight {
                let Some((index, item)) = pending.next() else {
                    break;
                };
                in_flight.spawn_local(self.clone().run_item(index, item));
            }
            let Some(join_result) = in_flight.join_next().await else {
                return;
            };
            let Ok(Some(item)) = join_result else {
                continue;
            };
            if finished.send(item).await.is_err() {
                return;
            }
        }
    }

    /// Runs one item. An item is a client's request without a connection of its own. It still leases
    /// a descriptor of the client connections, so that items and clients share one limit.
    async fn run_item(self, index: usize, item: Item) -> Option<FinishedItem> {
        // Fails only if the semaphore is closed, which it never is.
        let permit = self.permits.acquire_owned().await.ok()?;
        let key_number = item.key_number();
        let mut finished = FinishedItem {
            index,
            key: item.key,
            status: StatusCode::CONFLICT,
            body: None,
            _permit: permit,
        };
        let Some(id) = self.context.open_ids.register(item.id) else {
            return Some(finished);
        };
        let _lease = self.context.descriptors.lease().await;
        let started_at = Instant::now();
        let parameters = RequestParameters {
            timeout: self.deadline.saturating_duration_since(started_at),
            ..self.parameters.clone()
        };
        let message = ForwardedRequest {
            method: Method::GET,
            target: item.target,
            id,
            idempotency_key: None,
            body: Bytes::new(),
            _body_reservation: None,
        };
        let response =
            submit_request(&self.context, started_at, key_number, parameters, message).await;
        finished.status = response.status();
        if let FinalResponse::Served(body) = response {
            finished.body = Some(body);
        }
        Some(finished)
    }
}
