//! Parameters of a request, read from its headers.

use super::ServerContext;
use crate::classes::RequestClass;
use crate::upstream::{IDEMPOTENCY_KEY, REQ_DEADLINE, REQ_ID};
use hyper::header::{HeaderName, HeaderValue};
use hyper::HeaderMap;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Name of the request's class.
const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
/// Name of the request's tenant.
const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
/// Work that the client expects the request to cost, in microseconds.
const REQ_COST: HeaderName = HeaderName::from_static("req-cost");

/// Why the headers of a request cannot be used. The client receives the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParameterError {
    /// A header that may occur only once occurs again.
    #[error("a header stands twice")]
    DuplicateHeader,
    /// A header value is not visible ASCII.
    #[error("unreadable header")]
    UnreadableHeader,
    /// The request has no id, or an empty one.
    #[error("no Req-Id")]
    MissingId,
    /// The request names no class.
    #[error("no Req-Kind")]
    MissingKind,
    /// No class has this name.
    #[error("unknown Req-Kind")]
    UnknownKind,
    /// Tenants are configured, but the request names none.
    #[error("no Req-Owner")]
    MissingOwner,
    /// Tenants are configured, but none has this name.
    #[error("unknown Req-Owner")]
    UnknownOwner,
    /// The request states no deadline.
    #[error("no Req-Deadline-Ms")]
    MissingDeadline,
    /// The deadline is not a whole number of milliseconds in 32 bits.
    #[error("unreadable Req-Deadline-Ms")]
    UnreadableDeadline,
    /// The cost is not a whole number of microseconds in 32 bits.
    #[error("unreadable Req-Cost")]
    UnreadableCost,
}

/// Parsed headers of a request.
pub(super) struct RequestHeaders {
    /// `Req-Id`, not empty.
    pub(super) id: HeaderValue,
    /// `Idempotency-Key`, if the client sent one.
    pub(super) idempotency_key: Option<HeaderValue>,
    /// Parameters for the decision module.
    pub(super) parameters: RequestParameters,
}

impl RequestHeaders {
    /// Parses the headers of a request to the client port.
    pub(super) fn parse(
        context: &ServerContext,
        headers: &HeaderMap,
    ) -> Result<Self, ParameterError> {
        Ok(Self {
            id: single_value(headers, &REQ_ID)?
                .filter(|id| !id.is_empty())
                .ok_or(ParameterError::MissingId)?
                .clone(),
            idempotency_key: single_value(headers, &IDEMPOTENCY_KEY)?.cloned(),
            parameters: parse_parameters(context, headers)?,
        })
    }
}

/// Parameters of a request for the decision module, apart from its key.
#[derive(Clone)]
pub struct RequestParameters {
    /// Time for which the client waits for the response.
    pub timeout: Duration,
    /// Class of the request, as it was when the headers were read.
    pub class: Rc<RequestClass>,
    /// Work at an endpoint that the client expects the request to cost.
    pub expected_work: Option<Duration>,
    /// Whether the class exceeds its quota of open requests, or no memory is left for the body.
    pub over_quota: bool,
}

/// Parses the parameters of a request. `over_quota` is `false`, because the headers do not
/// determine it.
pub fn parse_parameters(
    context: &ServerContext,
    headers: &HeaderMap,
) -> Result<RequestParameters, ParameterError> {
    let class = parse_class(context, headers)?;
    check_owner(context, headers)?;
    let timeout = parse_number(headers, &REQ_DEADLINE, ParameterError::UnreadableDeadline)?
        .ok_or(ParameterError::MissingDeadline)?;
    let cost = parse_number(headers, &REQ_COST, ParameterError::UnreadableCost)?;
    // No client waits longer than the timeout of its class, and a longer timeout would keep the
    // request's resources in use for as long.
    let max_timeout = class.definition.deadline;
    Ok(RequestParameters {
        timeout: Duration::from_millis(timeout.into()).min(max_timeout),
        class,
        expected_work: cost.map(|micros| Duration::from_micros(micros.into())),
        over_quota: false,
    })
}

/// Parses the class that the request names.
fn parse_class(
    context: &ServerContext,
    headers: &HeaderMap,
) -> Result<Rc<RequestClass>, ParameterError> {
    let kind = text_value(headers, &REQ_KIND)?.ok_or(ParameterError::MissingKind)?;
    context
        .classes
        .borrow()
        .find(kind)
        .ok_or(ParameterError::UnknownKind)
}

/// Checks that the owner is a tenant. Without tenants, the owner has no meaning and any value is
/// accepted.
fn check_owner(context: &ServerContext, headers: &HeaderMap) -> Result<(), ParameterError> {
    let owner = text_value(headers, &REQ_OWNER)?;
    let tenants = context.tenants.borrow();
    if tenants.is_empty() {
        return Ok(());
    }
    let owner = owner.ok_or(ParameterError::MissingOwner)?;
    if tenants.iter().any(|name| name.as_str() == owner) {
        Ok(())
    } else {
        Err(ParameterError::UnknownOwner)
    }
}

/// Returns the value of a header that must not occur twice: the parsers at the client and at the
/// endpoint could choose different values (request smuggling).
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a HeaderValue>, ParameterError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    match values.next() {
        None => Ok(first),
        Some(_) => Err(ParameterError::DuplicateHeader),
    }
}

/// Returns the value of a header as text.
fn text_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, ParameterError> {
    single_value(headers, name)?
        .map(|value| value.to_str().map_err(|_| ParameterError::UnreadableHeader))
        .transpose()
}

/// Parses a 32-bit number: in milliseconds it is less than 50 days, which is safe to add to a
/// clock.
fn parse_number(
    headers: &HeaderMap,
    name: &HeaderName,
    unreadable: ParameterError,
) -> Result<Option<u32>, ParameterError> {
    text_value(headers, name)?
        .map(|text| text.parse().map_err(|_| unreadable))
        .transpose()
}
