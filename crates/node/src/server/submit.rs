//! Submission of client requests to the driver.

use super::{RequestParameters, ServerContext};
use crate::driver::{ClientRequest, DriverEvent, FinalResponse};
use crate::upstream::ForwardedRequest;
use hyper::Method;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Passes a request to the driver and waits for its final response. If this future is dropped
/// earlier, the client counts as disconnected.
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
        response_received: false,
    };
    // The driver ends only when the node does. If the driver sends no response nevertheless, the
    // request fails.
    let _ = context
        .events
        .send(DriverEvent::RequestReceived(Box::new(request)));
    let final_response = response.await.unwrap_or(FinalResponse::Failed);
    disconnect.response_received = true;
    final_response
}

/// Notifies the driver that the client has disconnected: hyper drops the future of the response
/// when the connection ends.
struct DisconnectGuard<'a> {
    /// Number of the request.
    number: u64,
    /// Channel to the driver.
    events: &'a UnboundedSender<DriverEvent>,
    /// Whether the final response has arrived, after which a disconnect no longer cancels the
    /// request.
    response_received: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.response_received {
            // Fails only after the driver has ended, and with it the node.
            let _ = self
                .events
                .send(DriverEvent::ClientDisconnected(self.number));
        }
    }
}
