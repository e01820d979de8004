//! A client's request, read from its method and target.

use super::{MAX_WATCH_WAIT, STATUS_PATH};
use crate::list_client::LIST_PATH;
use hyper::{Method, Uri};
use slatelink_membership::Version;
use std::time::Duration;
use thiserror::Error;

/// Path of the health check.
const HEALTH_PATH: &str = "/healthz";

/// What a client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRequest {
    /// The endpoint list, or what is newer than a version.
    List(ListParameters),
    /// Whether the relay can serve the list.
    Health,
    /// The relay's state and counters.
    Status,
}

/// A call for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListParameters {
    /// The version that the client has; `None` if it asks for a snapshot.
    pub after: Option<Version>,
    /// How long it waits for something newer, at most [`MAX_WATCH_WAIT`].
    pub wait: Duration,
}

/// Why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// Another method than GET.
    #[error("the method is {0}: GET is expected")]
    Method(String),
    /// A path without a resource.
    #[error("there is nothing at {0}: lists are at {LIST_PATH}")]
    Path(String),
    /// A parameter that is not a number.
    #[error("{name} is {value:?}: a whole number is expected")]
    Number {
        /// Name of the parameter.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// A wait that is too long, in milliseconds.
    #[error("wait_ms is {0}: at most {longest} is possible", longest = MAX_WATCH_WAIT.as_millis())]
    Wait(u64),
}

impl RelayRequest {
    /// Reads a request from its method and target.
    ///
    /// # Errors
    ///
    /// If there is no such resource, or its parameters are invalid.
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

/// Value of a parameter of the query; `None` if the query has none of this name.
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
