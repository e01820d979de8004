//! Open requests: requests that have no final response yet, or an attempt in flight.

use super::messages::{ClientRequest, FinalResponse, NETWORK_MARGIN};
use crate::classes::RequestClass;
use crate::upstream::{AttemptLimits, ForwardedRequest};
use bytes::Bytes;
use slatelink_policy::{ClassId, EndpointId, Status};
use slatelink_telemetry::{Observer, RequestOutcome};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time after a request's deadline in which the decision module may still choose the response.
/// Shorter than `NETWORK_MARGIN`, so that the driver's own response still arrives before the client
/// stops waiting.
const RESPONSE_GRACE: Duration = Duration::from_millis(4);
const _: () = assert!(RESPONSE_GRACE.as_micros() < NETWORK_MARGIN.as_micros());

/// A request that is not finished yet.
pub struct OpenRequest {
    message: Rc<ForwardedRequest>,
    /// `None` once the final response was sent or the client has disconnected.
    response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// Shared with the attempts, and set when `response_sender` becomes `None`. An attempt that has
    /// not written its first byte by then never writes it.
    canceled: Rc<Cell<bool>>,
    class: Rc<RequestClass>,
    received_at: Instant,
    /// Latest deadline of an attempt.
    deadline: Instant,
    /// Indexed by attempt number.
    attempts: Vec<Attempt>,
}

/// An attempt at one endpoint.
struct Attempt {
    endpoint: EndpointId,
    started_at: Instant,
    in_flight: bool,
}

/// An attempt to start.
pub struct NewAttempt {
    /// Its number within its request, from zero.
    pub number: u32,
    /// Message to send.
    pub message: Rc<ForwardedRequest>,
    /// Deadlines and cancellation of the attempt.
    pub limits: AttemptLimits,
}

/// An attempt that has ended.
pub struct EndedAttempt {
    /// Endpoint of the attempt.
    pub endpoint: EndpointId,
    /// Time from the start to the end of the attempt.
    pub latency: Duration,
}

impl OpenRequest {
    /// Opens a client's request, without attempts.
    pub fn new(request: ClientRequest) -> Self {
        let deadline = request.deadline();
        Self {
            message: Rc::new(request.message),
            response_sender: Some(request.response_sender),
            canceled: Rc::default(),
            class: request.class,
            received_at: request.received_at,
            deadline,
            attempts: Vec::new(),
        }
    }

    /// Returns the request's class.
    pub fn class(&self) -> ClassId {
        self.class.id
    }

    /// Returns the latest time at which the client is sent a response.
    pub fn response_deadline(&self) -> Instant {
        self.deadline + RESPONSE_GRACE
    }

    /// Returns the path of the client's request.
    pub fn path(&self) -> &str {
        self.message.target.path()
    }

    /// Checks whether a client still waits for the final response.
    pub const fn awaits_response(&self) -> bool {
        self.response_sender.is_some()
    }

    /// Checks whether the request is finished: no client waits, and no attempt is in flight.
    pub fn is_finished(&self) -> bool {
        !self.awaits_response() && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }

    /// Records an attempt that starts now. The decision module limits its duration (`timeout`) and
    /// the time until its first byte is written (`begin_within`).
    pub fn start_attempt(
        &mut self,
        endpoint: EndpointId,
        timeout: Duration,
        begin_within: Duration,
    ) -> NewAttempt {
        let now = Instant::now();
        let deadline = self.deadline.min(now + timeout);
        let number = self.attempts.len() as u32;
        self.attempts.push(Attempt {
            endpoint,
            started_at: now,
            in_flight: true,
        });
        NewAttempt {
            number,
            message: self.message.clone(),
            limits: AttemptLimits {
                start_deadline: deadline.min(now + begin_within),
                deadline,
                canceled: self.canceled.clone(),
            },
        }
    }

    /// Records the end of an attempt, and sends the client the response body if there is one.
    /// Returns `None` if there is no attempt with this number.
    pub fn end_attempt(
        &mut self,
        number: u32,
        status: Status,
        body: Option<Bytes>,
        observer: &dyn Observer,
    ) -> Option<EndedAttempt> {
        let attempt = self.attempts.get_mut(number as usize)?;
        attempt.in_flight = false;
        let ended = EndedAttempt {
            endpoint: attempt.endpoint.clone(),
            latency: attempt.started_at.elapsed(),
        };
        observer.attempt_ended(self.class.id, &ended.endpoint, status);
        if let Some(body) = body {
            let served = FinalResponse::Served(body);
            self.respond_from(Some(&ended.endpoint), served, observer);
        }
        Some(ended)
    }

    /// Sends the client its final response, unless the client has already received one or has
    /// disconnected.
    pub fn respond(&mut self, response: FinalResponse, observer: &dyn Observer) {
        let endpoint = self.last_endpoint().cloned();
        self.respond_from(endpoint.as_ref(), response, observer);
    }

    /// Sends the final response like `respond`, and reports `endpoint` to the observer as the
    /// endpoint that served the request or failed to.
    fn respond_from(
        &mut self,
        endpoint: Option<&EndpointId>,
        response: FinalResponse,
        observer: &dyn Observer,
    ) {
        let Some(sender) = self.close() else {
            return;
        };
        let outcome = match &response {
            FinalResponse::Served(_) => RequestOutcome::Served,
            FinalResponse::Shed { .. } => RequestOutcome::Shed,
            FinalResponse::Failed => RequestOutcome::Failed,
        };
        observer.request_completed(self.class.id, endpoint, self.received_at.elapsed(), outcome);
        // Fails if the client has disconnected and the event has not reached the driver yet.
        let _ = sender.send(response);
    }

    /// Records that the client has disconnected.
    pub fn disconnect(&mut self, observer: &dyn Observer) {
        drop(self.close());
        observer.request_completed(
            self.class.id,
            self.last_endpoint(),
            self.received_at.elapsed(),
            RequestOutcome::ClientDisconnected,
        );
    }

    /// Cancels the attempts that have not written their first byte, and returns the sender of the
    /// final response unless the request is closed already.
    fn close(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.canceled.set(true);
        self.response_sender.take()
    }

    /// Returns the endpoint of the latest attempt.
    fn last_endpoint(&self) -> Option<&EndpointId> {
        self.attempts.last().map(|attempt| &attempt.endpoint)
    }
}
