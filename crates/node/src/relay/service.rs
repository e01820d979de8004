//! The requests that clients may make, and the responses to them.

use super::byte_counter::{ConnectionByteCounter, DownstreamCounters};
use super::connection_limit::ConnectionLimit;
use super::encoded_answers::EncodedUpdate;
use super::publisher::{PublishError, ReplicaPublisher};
use super::request::{ListParameters, RelayRequest, RequestError};
use super::response::{closing, json, plain_text, RelayResponse};
use super::status::{RelayStatus, UpstreamCounts};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Answers clients from the published replica.
pub struct RelayService {
    /// The replica.
    pub publisher: Rc<ReplicaPublisher>,
    /// Messages exchanged with clients.
    pub counters: Rc<DownstreamCounters>,
    /// Messages exchanged with upstream, for the status.
    pub upstream_counts: Rc<Cell<UpstreamCounts>>,
}

impl RelayService {
    /// Answers a request that was read on a connection with this byte counter. `connections` is stated in the status.
    pub async fn respond(
        &self,
        request: Request<Incoming>,
        byte_counter: &ConnectionByteCounter,
        connections: &ConnectionLimit,
    ) -> RelayResponse {
        let request = RelayRequest::parse(request.method(), request.uri());
        byte_counter.begin_request(matches!(request, Ok(RelayRequest::List(_))));
        match request {
            Ok(RelayRequest::List(request)) => self.list(request).await,
            Ok(RelayRequest::Health) => self.health(),
            Ok(RelayRequest::Status) => self.status(connections),
            Err(error) => invalid_request(&error),
        }
    }

    async fn list(&self, request: ListParameters) -> RelayResponse {
        self.counters.add(|counts| match request.after {
            Some(_) => counts.watch_calls += 1,
            None => counts.snapshot_calls += 1,
        });
        match self.publisher.answer(request).await {
            Ok(update) => self.updated(update),
            Err(error) => self.unavailable(&error),
        }
    }

    fn updated(&self, update: EncodedUpdate) -> RelayResponse {
        self.counters.add(|counts| {
            match (update.complete, update.record_count) {
                (true, _) => counts.snapshot_answers += 1,
                (false, 0) => counts.unchanged_answers += 1,
                (false, _) => counts.delta_answers += 1,
            }
            counts.answer_records += update.record_count as u64;
        });
        json(update.body)
    }

    fn unavailable(&self, error: &PublishError) -> RelayResponse {
        self.counters.add(|counts| counts.rejected_calls += 1);
        let response = plain_text(StatusCode::SERVICE_UNAVAILABLE, error.to_string());
        match error {
            PublishError::ShuttingDown => closing(response),
            _ => response,
        }
    }

    fn health(&self) -> RelayResponse {
        match self.publisher.unavailable() {
            None => plain_text(StatusCode::OK, "ready".to_owned()),
            Some(reason) => plain_text(StatusCode::SERVICE_UNAVAILABLE, reason.to_string()),
        }
    }

    fn status(&self, connections: &ConnectionLimit) -> RelayResponse {
        let now = self.publisher.now();
        let milliseconds_until = |expires_at: Duration| {
            u64::try_from(expires_at.saturating_sub(now).as_millis()).unwrap_or(u64::MAX)
        };
        let status = self.publisher.with_replica(|replica| RelayStatus {
            version: replica.version().map(|version| version.0),
            endpoints: replica.endpoint_count(),
            epochs: replica.epochs(),
            history_bytes: replica.history_bytes(),
            lease_remaining_ms: replica.lease_expires_at().map(milliseconds_until),
            open_connections: connections.open(),
            max_connections: connections.max(),
            waiting_watches: self.publisher.waiting_watches(),
            downstream: self.counters.get(),
            upstream: self.upstream_counts.get(),
        });
        match serde_json::to_vec(&status) {
            Ok(body) => json(body.into()),
            Err(error) => plain_text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

/// The response to a request that cannot be answered. It closes the connection: a body that nobody reads would stand
/// before the next request.
fn invalid_request(error: &RequestError) -> RelayResponse {
    let status = match error {
        RequestError::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
        RequestError::Path(_) => StatusCode::NOT_FOUND,
        RequestError::Number { .. } | RequestError::Wait(_) => StatusCode::BAD_REQUEST,
    };
    closing(plain_text(status, error.to_string()))
}
