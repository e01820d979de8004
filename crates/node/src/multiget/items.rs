//! The items of a multi-get request, run as requests of this node.

use super::request::Item;
use super::response::ResponseLine;
use crate::driver::FinalResponse;
use crate::server::{submit_request, RequestParameters, ServerContext};
use crate::upstream::ForwardedRequest;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use std::rc::Rc;
use tokio::sync::mpsc::Sender;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// What the items of one request share.
#[derive(Clone)]
pub(super) struct Items {
    /// The context that the clients' port shares.
    pub context: Rc<ServerContext>,
    /// What holds for each item, but for its time.
    pub parameters: RequestParameters,
    /// Point in time at which the client gives up.
    pub deadline: Instant,
    /// Items that run at once, at most.
    pub max_in_flight: usize,
}

impl Items {
    /// Runs the items, and sends a line for each as it ends. Dropped, it cancels those in flight; so does a
    /// receiver that is dropped because its client disconnected.
    pub async fn run(self, items: Vec<Item>, lines: Sender<Bytes>) {
        let mut pending = items.into_iter().enumerate();
        let mut in_flight = JoinSet::new();
        loop {
            while in_flight.len() < self.max_in_flight {
                let Some((index, item)) = pending.next() else {
                    break;
                };
                in_flight.spawn_local(self.clone().run_item(index, item));
            }
            let Some(ended) = in_flight.join_next().await else {
                return;
            };
            let Ok(Some(line)) = ended else {
                continue;
            };
            if lines.send(line).await.is_err() {
                return;
            }
        }
    }

    /// Runs one item and returns its line. It is a client's request in all but its connection; for that it takes a
    /// descriptor of the clients' all the same, so that items and clients share one bound.
    async fn run_item(self, index: usize, item: Item) -> Option<Bytes> {
        let key_number = item.key_number();
        let Some(id) = self.context.open_ids.register(item.id) else {
            return ResponseLine::new(index, &item.key, StatusCode::CONFLICT).to_bytes();
        };
        let _lease = self.context.descriptors.lease().await;
        let started_at = Instant::now();
        let parameters = RequestParameters {
            timeout: self.deadline.saturating_duration_since(started_at),
            ..self.parameters
        };
        let message = ForwardedRequest {
            method: Method::GET,
            target: item.target,
            id,
            idempotency_key: None,
            body: Bytes::new(),
        };
        let response =
            submit_request(&self.context, started_at, key_number, parameters, message).await;
        let mut line = ResponseLine::new(index, &item.key, response.status());
        if let FinalResponse::Served(body) = &response {
            line.set_body(body);
        }
        line.to_bytes()
    }
}
