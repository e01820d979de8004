//! A caller's request, read from its method and target.

use hyper::{Method, Uri};
use slatelink_membership::Version;
use std::time::Duration;
use thiserror::Error;

/// The longest wait that a watch may ask for.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Where lists are asked for.
const LIST_PATH: &str = "/v1/servers";
/// Where it shows whether the relay can answer.
const HEALTH_PATH: &str = "/healthz";

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRequest {
    /// The list, or what is newer than a version.
    List(ListRequest),
    /// Whether the relay can answer.
    Health,
    /// What the relay counted.
    Status,
}

/// A call for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListRequest {
    /// The version that the caller has.
    pub after: Option<Version>,
    /// How long it waits for something newer.
    pub wait: Duration,
}

/// Why a request cannot be answered.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// Only reading is possible.
    #[error("the method is {0}: GET is expected")]
    Method(String),
    /// Another path.
    #[error("there is nothing at {0}: lists are at {LIST_PATH}")]
    Path(String),
    /// A parameter that is no number.
    #[error("{name} is {value:?}: a whole number is expected")]
    Number {
        /// Which parameter.
        name: &'static str,
        /// What was read.
        value: String,
    },
    /// A wait that is too long.
    #[error("wait_ms is {0}: at most {longest} is possible", longest = MAX_WATCH_WAIT.as_millis())]
    Wait(u64),
}

impl RelayRequest {
    /// Reads a request.
    pub fn parse(method: &Method, target: &Uri) -> Result<Self, RequestError> {
        if method != Method::GET {
            return Err(RequestError::Method(method.to_string()));
        }
        match target.path() {
            LIST_PATH => ListRequest::parse(target.query().unwrap_or_default()).map(Self::List),
            HEALTH_PATH => Ok(Self::Health),
            super::STATUS_PATH => Ok(Self::Status),
            other => Err(RequestError::Path(other.to_owned())),
        }
    }
}

impl ListRequest {
    fn parse(query: &str) -> Result<Self, RequestError> {
        let after = number(query, "after")?.map(Version);
        let wait = number(query, "wait_ms")?.unwrap_or(0);
        if Duration::from_millis(wait) > MAX_WATCH_WAIT {
            return Err(RequestError::Wait(wait));
        }
        Ok(Self {
            after,
            wait: Duration::from_millis(wait),
        })
    }
}

/// A parameter's value; `None` where it is not there.
fn number(query: &str, name: &'static str) -> Result<Option<u64>, RequestError> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, value)) = pairs.find(|pair| pair.0 == name) else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| RequestError::Number {
        name,
        value: value.to_owned(),
    })
}
