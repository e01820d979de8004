//! One HTTP request to an endpoint, and its response.

use super::request_ids::OpenRequestId;
use crate::body::{discard, read_reserved, BodyError, BodyMemory};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri};
use slatelink_admission::ByteReservation;
use slatelink_policy::{CacheResult, LoadReport, Status};
use slatelink_wire::read_load;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Id of a request, chosen by the client.
pub const REQ_ID: HeaderName = HeaderName::from_static("req-id");
/// Time in milliseconds for which the sender of a request waits for the response.
pub const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline-ms");
/// Key by which endpoints recognise a repeat of a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// In a response: `1` if the endpoint rejected the request and did nothing for it.
const SRV_DECLINED: HeaderName = HeaderName::from_static("srv-declined");
/// In a response: the endpoint's load report.
const SRV_LOAD: HeaderName = HeaderName::from_static("srv-load");
/// In a response: `hit` or `miss`.
const SRV_CACHE: HeaderName = HeaderName::from_static("srv-cache");
/// Separator between the name and the value of each entry of a load report.
const LOAD_SEPARATOR: char = '=';

/// The part of a client's request that is forwarded to an endpoint.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// GET or PUT.
    pub method: Method,
    /// The path and query as the client sent them.
    pub target: PathAndQuery,
    /// The client's id for the request.
    pub id: OpenRequestId,
    /// The client's idempotency key, if it sent one.
    pub idempotency_key: Option<HeaderValue>,
    /// The complete body.
    pub body: Bytes,
    /// Memory of the body, until the last attempt has ended.
    pub _body_reservation: Option<ByteReservation>,
}

impl ForwardedRequest {
    /// Builds the HTTP request to the endpoint at `address`. Its deadline header is the time left
    /// until `deadline`.
    pub(super) fn to_http(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(Uri::from(self.target.clone()))
            .header(HOST, address.to_string())
            .header(REQ_ID, self.id.value.clone())
            .header(REQ_DEADLINE, time_left.as_millis() as u64);
        if let Some(key) = &self.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY, key.clone());
        }
        request.body(Full::new(self.body.clone()))
    }
}

/// Result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// Status of the attempt.
    pub status: Status,
    /// Whether the endpoint had the key cached, if it reports that.
    pub cache_result: Option<CacheResult>,
    /// The endpoint's load report; empty if it sent none.
    pub load: LoadReport,
    /// The complete body of a 200 response.
    pub body: Option<Bytes>,
}

impl AttemptResult {
    /// Returns the result of an attempt without a response.
    pub fn without_response(status: Status) -> Self {
        Self {
            status,
            cache_result: None,
            load: LoadReport::default(),
            body: None,
        }
    }

    /// Reads the result from the head of a response; the body is not read.
    fn from_head(response: &Response<Incoming>) -> Self {
        let header = |name: &HeaderName| {
            response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let cache_result = match header(&SRV_CACHE) {
            Some("hit") => Some(CacheResult::Hit),
            Some("miss") => Some(CacheResult::Miss),
            _ => None,
        };
        Self {
            status: response_status(response),
            cache_result,
            load: header(&SRV_LOAD)
                .map(|text| read_load(text, LOAD_SEPARATOR))
                .unwrap_or_default(),
            body: None,
        }
    }
}

/// A request and its response.
pub(super) struct Exchange {
    /// Result of the attempt.
    pub(super) result: AttemptResult,
    /// Whether the connection may carry another request, because the response was read to its end.
    pub(super) reusable: bool,
}

/// Sends a request and reads its response. Only the body of a 200 response is kept, in memory
/// reserved for it.
pub(super) async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    response_memory: &BodyMemory,
) -> Result<Exchange, hyper::Error> {
    let response = sender.send_request(request).await?;
    let mut result = AttemptResult::from_head(&response);
    let body = response.into_body();
    let read = if result.status == Status::Ok {
        read_reserved(body, response_memory).await.map(Some)
    } else {
        discard(body).await.map(|()| None)
    };
    match read {
        Ok(body) => {
            result.body = body;
            Ok(Exchange {
                result,
                reusable: true,
            })
        }
        // The endpoint has executed the request, but its response cannot be used.
        Err(BodyError::TooLarge) => {
            result.status = Status::Failed;
            Ok(Exchange {
                result,
                reusable: false,
            })
        }
        Err(BodyError::Incomplete(error)) => Err(error),
    }
}

/// Returns the status of the attempt according to the head of a response.
fn response_status(response: &Response<Incoming>) -> Status {
    let declined = response
        .headers()
        .get(SRV_DECLINED)
        .is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => Status::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
            Status::Rejected
        }
        _ => Status::Failed,
    }
}
