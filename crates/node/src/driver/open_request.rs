//! A request from its arrival until it has its final response and none of its attempts is in flight.

use super::messages::{ClientRequest, FinalResponse, NETWORK_MARGIN};
use crate::upstream::{AttemptLimits, ForwardedRequest};
use bytes::Bytes;
use slatelink_policy::{ClassId, EndpointId, Status};
use slatelink_telemetry::{Observer, RequestOutcome};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How long past a request's deadline the decision module's own response is waited for. Less than `NETWORK_MARGIN`, so
/// that the driver's response still comes before the client gives up.
const RESPONSE_GRACE: Duration = Duration::from_millis(4);
const _: () = assert!(RESPONSE_GRACE.as_micros() < NETWORK_MARGIN.as_micros());

/// A request that is not finished.
pub struct OpenRequest {
    message: Rc<ForwardedRequest>,
    /// `None` once the final response is given, or the client has disconnected.
    response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// Shared with its attempts, and set with `response_sender` to `None`: an attempt that has not written its first
    /// byte by then never does.
    canceled: Rc<Cell<bool>>,
    class: ClassId,
    received_at: Instant,
    /// No attempt is waited for beyond this.
    deadline: Instant,
    /// By number.
    attempts: Vec<Attempt>,
}

/// One try at one endpoint.
struct Attempt {
    endpoint: EndpointId,
    started_at: Instant,
    in_flight: bool,
}

/// An attempt to start.
pub struct NewAttempt {
    /// Its number within its request, from zero.
    pub number: u32,
    /// What it sends.
    pub message: Rc<ForwardedRequest>,
    /// Its deadlines.
    pub limits: AttemptLimits,
}

/// An attempt that has ended.
pub struct EndedAttempt {
    /// Where it was sent.
    pub endpoint: EndpointId,
    /// From its start to its end.
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

    /// The request's class.
    pub const fn class(&self) -> ClassId {
        self.class
    }

    /// Point in time by which its client must have been sent a response.
    pub fn response_deadline(&self) -> Instant {
        self.deadline + RESPONSE_GRACE
    }

    /// The path that the client asked for.
    pub fn path(&self) -> &str {
        self.message.target.path()
    }

    /// Whether a client waits for its final response.
    pub const fn awaits_response(&self) -> bool {
        self.response_sender.is_some()
    }

    /// Whether nothing more can happen to it: no client waits, and no attempt is in flight.
    pub fn is_finished(&self) -> bool {
        !self.awaits_response() && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }

    /// Records an attempt that starts now, with the decision module's bounds on how long it may take, and how long until
    /// its first byte is written.
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

    /// Records the end of an attempt, and sends its client the body if it brought one. `None` if there is no attempt of
    /// this number.
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
        observer.attempt_ended(self.class, &ended.endpoint, status);
        if let Some(body) = body {
            let served = FinalResponse::Served(body);
            self.respond_from(Some(&ended.endpoint), served, observer);
        }
        Some(ended)
    }

    /// Gives the client its final response, unless it has one or has disconnected.
    pub fn respond(&mut self, response: FinalResponse, observer: &dyn Observer) {
        let endpoint = self.last_endpoint().cloned();
        self.respond_from(endpoint.as_ref(), response, observer);
    }

    /// The same, with the endpoint that is reported as having served it or failed to.
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
        observer.request_completed(self.class, endpoint, self.received_at.elapsed(), outcome);
        // The client may have disconnected meanwhile: its message is on its way, and nobody is left to answer.
        let _ = sender.send(response);
    }

    /// Records that its client has disconnected.
    pub fn disconnect(&mut self, observer: &dyn Observer) {
        drop(self.close());
        observer.request_completed(
            self.class,
            self.last_endpoint(),
            self.received_at.elapsed(),
            RequestOutcome::ClientDisconnected,
        );
    }

    /// Cancels the attempts that have not begun, and returns where the final response goes if none was given.
    fn close(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.canceled.set(true);
        self.response_sender.take()
    }

    /// Where the latest attempt was sent.
    fn last_endpoint(&self) -> Option<&EndpointId> {
        self.attempts.last().map(|attempt| &attempt.endpoint)
    }
}
