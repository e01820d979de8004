//! Learned speeds of the kinds of endpoints, for where weights tell only how many cores an endpoint
//! has.
//!
//! The latency of an answer against its expected work tells how slow a kind is. Logarithms are
//! averaged, so that a few answers that took very long do not decide.

use crate::api::{Name, Settings};
use crate::endpoint_table::EndpointTable;
use std::collections::HashMap;
use std::time::Duration;

/// Answers over which a kind's slowness is averaged at most.
const AVERAGED_ANSWERS: f64 = 200.0;
/// Answers at par that a kind starts with.
const PRIOR_ANSWERS: f64 = 10.0;
/// Least ratio of a latency to the expected work that is told apart.
const MIN_RATIO: f64 = 1e-3;
/// Kinds that are remembered beyond those of listed endpoints.
const MAX_KINDS: usize = 256;

#[derive(Debug)]
struct KindSpeed {
    /// Mean logarithm of latency to expected work: 0 for a kind at par, more for a slower one.
    slowness: f64,
    answers: f64,
}

/// Speeds by the name of a kind.
#[derive(Debug, Default)]
pub(crate) struct KindSpeeds {
    /// Never walked in order: it differs from run to run.
    by_kind: HashMap<Option<Name>, KindSpeed>,
}

impl KindSpeeds {
    /// Drops the kinds that no listed endpoint is of, once there are very many.
    pub(crate) fn evict_unlisted(&mut self, table: &EndpointTable) {
        if self.by_kind.len() > MAX_KINDS {
            self.by_kind
                .retain(|kind, _| table.iter().any(|state| state.endpoint.kind == *kind));
        }
    }

    /// Takes in an answer of an endpoint of this kind; `expected` is in seconds and over 0.
    pub(crate) fn record(&mut self, kind: &Option<Name>, latency: Duration, expected: f64) {
        let speed = self.by_kind.entry(kind.clone()).or_insert(KindSpeed {
            slowness: 0.0,
            answers: PRIOR_ANSWERS,
        });
        speed.answers = (speed.answers + 1.0).min(AVERAGED_ANSWERS);
        let ratio = (latency.as_secs_f64() / expected).max(MIN_RATIO);
        speed.slowness += (ratio.ln() - speed.slowness) / speed.answers;
    }

    /// The speed of a kind, to be multiplied with weights: 1 where weights include speeds and for
    /// an unknown kind.
    pub(crate) fn factor(&self, settings: &Settings, kind: &Option<Name>) -> f64 {
        if settings.weights_include_speed {
            return 1.0;
        }
        let slowness = self.by_kind.get(kind).map_or(0.0, |speed| speed.slowness);
        (-slowness).exp()
    }
}
