//! A client's request, parsed from its method and target.

use super::{MAX_WATCH_WAIT, STATUS_PATH};
use crate::list_client::LIST_PATH;
use hyper::{Method, Uri};
use slatelink_membership::Version;
use std::time::Duration;
use thiserror::Error;

/// Path of the health check.
const HEALTH_PATH: &str = "/healthz";

/// Request of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRequest {
    /// A call for the endpoint list, or for the changes after a version.
    List(ListParameters),
    /// The health check, which reports whether the relay can serve the list.
    Health,
    /// A request for the relay's state and counters.
    Status,
}

/// Parameters of a call for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListParameters {
    /// Version that the client has; `None` to request a snapshot.
    pub after: Option<Version>,
    /// Time that the client waits for a newer version; at most [`MAX_WATCH_WAIT`].
    pub wait: Duration,
}

/// Reason why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The method is not GET.
    #[error("the method is {0}: GET is expected")]
    Method(String),
    /// The path names no resource.
    #[error("there is nothing at {0}: lists are at {LIST_PATH}")]
    Path(String),
    /// A parameter is not a number.
    #[error("{name} is {value:?}: a whole number is expected")]
    Number {
        /// Name of the parameter.
        name: &'static str,
        /// Value of the parameter.
        value: String,
    },
    /// The wait, in milliseconds, exceeds [`MAX_WATCH_WAIT`].
    #[error("wait_ms is {0}: at most {longest} is possible", longest = MAX_WATCH_WAIT.as_millis())]
    Wait(u64),
}

impl RelayRequest {
    /// Parses a request from its method and target.
    ///
    /// # Errors
    ///
    /// Returns an error if the resource does not exist, the method is not GET or the parameters are
    /// invalid.
    pub fn parse(method: &Method, target: &Uri) -> Result<Self, RequestError> {
        if method != Method::GET {
            return Err(RequestError::Method(method.to_string()));
        }
        match target.path() {
            LIST_PATH => ListParameters::parse(target.query().unwrap_or_default()).map(Self::List),
            HEALTH_PATH => Ok(Self::Health),
            STATUS_PATH => Ok(Self::Status),
            other => Err(RequestError::Path(other.to_owned())),
        }
    }
}

impl ListParameters {
    fn parse(query: &str) -> Result<Self, RequestError> {
        let after = number_parameter(query, "after")?.map(Version);
        let wait_ms = number_parameter(query, "wait_ms")?.unwrap_or(0);
        let wait = Duration::from_millis(wait_ms);
        if wait > MAX_WATCH_WAIT {
            return Err(RequestError::Wait(wait_ms));
        }
        Ok(Self { after, wait })
    }
}

/// Returns the value of a query parameter; `None` if the query has no parameter of this name.
fn number_parameter(query: &str, name: &'static str) -> Result<Option<u64>, RequestError> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, value)) = pairs.find(|pair| pair.0 == name) else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| RequestError::Number {
        name,
        value: value.to_owned(),
    })
}
