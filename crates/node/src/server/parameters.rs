//! What the headers of a request say of it.

use super::ServerContext;
use crate::upstream::{IDEMPOTENCY_KEY, REQ_DEADLINE, REQ_ID};
use hyper::header::{HeaderName, HeaderValue};
use hyper::HeaderMap;
use slatelink_policy::ClassId;
use std::time::Duration;
use thiserror::Error;

/// The class of a request, by its name.
const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
/// The tenant of a request, by its name.
const REQ_OWNER: HeaderName = HeaderName::from_static("req-owner");
/// The work that the client expects of a request, in microseconds.
const REQ_COST: HeaderName = HeaderName::from_static("req-cost");

/// Why the headers of a request cannot be used. Its client reads the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParameterError {
    /// A header that may stand only once.
    #[error("a header stands twice")]
    DuplicateHeader,
    /// A value that is not visible ASCII.
    #[error("unreadable header")]
    UnreadableHeader,
    /// Also for an empty one.
    #[error("no Req-Id")]
    MissingId,
    /// The request names no class.
    #[error("no Req-Kind")]
    MissingKind,
    /// No class has this name.
    #[error("unknown Req-Kind")]
    UnknownKind,
    /// There are tenants, and the request names none.
    #[error("no Req-Owner")]
    MissingOwner,
    /// There are tenants, and none has this name.
    #[error("unknown Req-Owner")]
    UnknownOwner,
    /// The request states no deadline.
    #[error("no Req-Deadline-Ms")]
    MissingDeadline,
    /// Not a whole number of milliseconds in 32 bits.
    #[error("unreadable Req-Deadline-Ms")]
    UnreadableDeadline,
    /// Not a whole number of microseconds in 32 bits.
    #[error("unreadable Req-Cost")]
    UnreadableCost,
}

/// The headers of a request.
pub(super) struct RequestHeaders {
    /// `Req-Id`, not empty.
    pub(super) id: HeaderValue,
    /// `Idempotency-Key`, if the client sent one.
    pub(super) idempotency_key: Option<HeaderValue>,
    /// Everything that is passed to the decision module.
    pub(super) parameters: RequestParameters,
}

impl RequestHeaders {
    /// Reads the headers of a request to the client port.
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

/// What is passed to the decision module about a request, beside its key.
#[derive(Clone, Copy)]
pub struct RequestParameters {
    /// How long the client waits for the response.
    pub timeout: Duration,
    /// Its class.
    pub class: ClassId,
    /// How long an endpoint will work on it, as the client expects.
    pub expected_work: Option<Duration>,
    /// Its class, or all requests, use all of their quota already.
    pub over_quota: bool,
}

/// Reads the parameters of a request, within its quota as far as the headers show.
pub fn parse_parameters(
    context: &ServerContext,
    headers: &HeaderMap,
) -> Result<RequestParameters, ParameterError> {
    let class = parse_class(context, headers)?;
    check_owner(context, headers)?;
    let timeout = parse_number(headers, &REQ_DEADLINE, ParameterError::UnreadableDeadline)?
        .ok_or(ParameterError::MissingDeadline)?;
    let cost = parse_number(headers, &REQ_COST, ParameterError::UnreadableCost)?;
    // No client waits longer than its class does, and what the node holds for a request it would hold as long.
    let max_timeout = context.classes[class.0].max_timeout;
    Ok(RequestParameters {
        timeout: Duration::from_millis(timeout.into()).min(max_timeout),
        class,
        expected_work: cost.map(|micros| Duration::from_micros(micros.into())),
        over_quota: false,
    })
}

/// The class that the request names.
fn parse_class(context: &ServerContext, headers: &HeaderMap) -> Result<ClassId, ParameterError> {
    let kind = text_value(headers, &REQ_KIND)?.ok_or(ParameterError::MissingKind)?;
    context
        .classes
        .iter()
        .position(|class| class.name.as_str() == kind)
        .map(ClassId)
        .ok_or(ParameterError::UnknownKind)
}

/// Checks that the owner is a tenant. Where there are no tenants, any owner means nothing.
fn check_owner(context: &ServerContext, headers: &HeaderMap) -> Result<(), ParameterError> {
    let owner = text_value(headers, &REQ_OWNER)?;
    if context.tenants.is_empty() {
        return Ok(());
    }
    let owner = owner.ok_or(ParameterError::MissingOwner)?;
    if context.tenants.iter().any(|name| name.as_str() == owner) {
        Ok(())
    } else {
        Err(ParameterError::UnknownOwner)
    }
}

/// The value of a header that must not stand twice: the parsers on the client side and at the endpoint could pick
/// different values (request smuggling).
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

/// The value of a header as text.
fn text_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, ParameterError> {
    single_value(headers, name)?
        .map(|value| value.to_str().map_err(|_| ParameterError::UnreadableHeader))
        .transpose()
}

/// A number in 32 bits: as milliseconds that is under 50 days, and safe to add to a clock.
fn parse_number(
    headers: &HeaderMap,
    name: &HeaderName,
    unreadable: ParameterError,
) -> Result<Option<u32>, ParameterError> {
    text_value(headers, name)?
        .map(|text| text.parse().map_err(|_| unreadable))
        .transpose()
}
