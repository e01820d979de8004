//! Estimated speed of each kind of endpoint, used if weights state only the number of cores.
//!
//! The slowness of a kind is estimated from the ratio of a response's latency to its expected work.
//! Logarithms are averaged, so that a few responses with a very high latency do not dominate.

use crate::api::{Name, Settings};
use crate::endpoint_table::EndpointTable;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of responses over which a kind's slowness is averaged.
const MAX_AVERAGED_RESPONSES: f64 = 200.0;
/// Initial number of responses of a kind, all assumed to have a ratio of 1.
const PRIOR_RESPONSES: f64 = 10.0;
/// Minimum ratio of a latency to the expected work; lower ratios are raised to this value.
const MIN_RATIO: f64 = 1e-3;
/// Number of stored kinds above which kinds without a listed endpoint are removed.
const MAX_KINDS: usize = 256;

#[derive(Debug)]
struct KindSpeed {
    /// Mean logarithm of the ratio of latency to expected work: 0 for a ratio of 1, more for a
    /// slower kind.
    slowness: f64,
    /// Weight of the mean in responses: the initial and the recorded responses, up to the maximum.
    responses: f64,
}

/// Speeds by kind.
#[derive(Debug, Default)]
pub(crate) struct KindSpeeds {
    /// The results never depend on the iteration order, which differs from run to run.
    by_kind: HashMap<Option<Name>, KindSpeed>,
}

impl KindSpeeds {
    /// Removes the kinds without a listed endpoint if more than [`MAX_KINDS`] kinds are stored.
    pub(crate) fn evict_unlisted(&mut self, table: &EndpointTable) {
        if self.by_kind.len() > MAX_KINDS {
            self.by_kind
                .retain(|kind, _| table.iter().any(|state| state.endpoint.kind == *kind));
        }
    }

    /// Records a response from an endpoint of this kind; `expected_seconds` is in seconds and
    /// greater than 0.
    pub(crate) fn record(&mut self, kind: &Option<Name>, latency: Duration, expected_seconds: f64) {
        let speed = self.by_kind.entry(kind.clone()).or_insert(KindSpeed {
            slowness: 0.0,
            responses: PRIOR_RESPONSES,
        });
        speed.responses = (speed.responses + 1.0).min(MAX_AVERAGED_RESPONSES);
        let ratio = (latency.as_secs_f64() / expected_seconds).max(MIN_RATIO);
        speed.slowness += (ratio.ln() - speed.slowness) / speed.responses;
    }

    /// Returns the factor by which a kind's speed multiplies weights: 1 if weights include speeds
    /// and for an unknown kind.
    pub(crate) fn factor(&self, settings: &Settings, kind: &Option<Name>) -> f64 {
        if settings.weights_include_speed {
            return 1.0;
        }
        let slowness = self.by_kind.get(kind).map_or(0.0, |speed| speed.slowness);
        (-slowness).exp()
    }
}
