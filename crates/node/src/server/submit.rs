//! Requests on their way to the driver and back.

use super::{RequestParameters, ServerContext};
use crate::driver::{ClientRequest, DriverEvent, FinalResponse};
use crate::upstream::ForwardedRequest;
use hyper::Method;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Hands a request to the driver and waits for its final response. Dropped before that, its client has disconnected.
pub async fn submit_request(
    context: &ServerContext,
    received_at: Instant,
    key: u64,
    parameters: RequestParameters,
    message: ForwardedRequest,
) -> FinalResponse {
    let number = context.take_request_number();
    let (response_sender, response) = oneshot::channel();
    let request = ClientRequest {
        number,
        received_at,
        timeout: parameters.timeout,
        class: parameters.class,
        key: Some(key),
        expected_work: parameters.expected_work,
        write: message.method == Method::PUT,
        over_quota: parameters.over_quota,
        message,
        response_sender,
    };
    let mut disconnect = DisconnectGuard {
        number,
        events: &context.events,
        answered: false,
    };
    // The driver only ends when the node does; its silence is a failure all the same.
    let _ = context
        .events
        .send(DriverEvent::RequestReceived(Box::new(request)));
    let answer = response.await.unwrap_or(FinalResponse::Failed);
    disconnect.answered = true;
    answer
}

/// Notifies the driver of a client that disconnected: hyper drops the future of the response with its connection.
struct DisconnectGuard<'a> {
    /// Of the request.
    number: u64,
    /// Where the driver takes its events.
    events: &'a UnboundedSender<DriverEvent>,
    /// Its final response has come: a disconnect does not cancel it any more.
    answered: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            // The driver only ends when the node does.
            let _ = self
                .events
                .send(DriverEvent::ClientDisconnected(self.number));
        }
    }
}
