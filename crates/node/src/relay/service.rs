//! Handling of client requests.

use super::byte_counter::{ConnectionByteCounter, DownstreamCounters};
use super::connection_limit::ConnectionLimit;
use super::encoded_answers::EncodedUpdate;
use super::publisher::{PublishError, ReplicaPublisher};
use super::request::{ListParameters, RelayRequest, RequestError};
use super::response::{json, plain_text, with_connection_close, RelayResponse};
use super::status::{RelayStatus, UpstreamCounts};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Answers clients from the published replica.
pub struct RelayService {
    /// Publisher of the replica.
    pub publisher: Rc<ReplicaPublisher>,
    /// Counters of the messages exchanged with clients.
    pub counters: Rc<DownstreamCounters>,
    /// Counts of the messages exchanged with upstream, for the status.
    pub upstream_counts: Rc<Cell<UpstreamCounts>>,
}

impl RelayService {
    /// Answers a request on the connection of `byte_counter`. The status reports the counts of
    /// `connections`.
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
            Ok(update) => self.update_response(update),
            Err(error) => self.unavailable(&error),
        }
    }

    fn update_response(&self, update: EncodedUpdate) -> RelayResponse {
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
            PublishError::ShuttingDown => with_connection_close(response),
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

/// Returns the response to an invalid request. The response closes the connection, because an
/// unread request body would precede the next request.
fn invalid_request(error: &RequestError) -> RelayResponse {
    let status = match error {
        RequestError::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
        RequestError::Path(_) => StatusCode::NOT_FOUND,
        RequestError::Number { .. } | RequestError::Wait(_) => StatusCode::BAD_REQUEST,
    };
    with_connection_close(plain_text(status, error.to_string()))
}
