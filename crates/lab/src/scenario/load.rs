//! The load: its rate, its changes over time, how clients retry, and the classes of requests.

use super::number::{share, Bounded, Factor, Milliseconds, Seconds, Share};
use serde::{Deserialize, Serialize};

/// Request rate and client behaviour.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Rate of first tries per second.
    pub rate: Bounded<1, 200_000_000>,
    /// Number of keys.
    #[serde(default = "Load::default_keys")]
    pub keys: u32,
    /// Exponent of the Zipf distribution of keys.
    #[serde(default = "Load::default_zipf")]
    pub zipf: Bounded<1, 5_000>,
    /// Maximum number of tries after the first.
    #[serde(default = "Load::default_retries")]
    pub retries: u8,
    /// Wait before each further try.
    #[serde(default = "Load::default_retry_wait")]
    pub retry_wait_ms: Milliseconds,
    /// Timeout of a try, as a share of the deadline of its class.
    #[serde(rename = "patience", default = "Load::default_give_up_share")]
    pub give_up_share: Share,
    /// Share of the clients that honour `Retry-After`.
    #[serde(rename = "heed", default = "Load::default_honours_retry_after")]
    pub honours_retry_after: Share,
    /// Scheduled changes of the load.
    #[serde(default, rename = "change")]
    pub changes: Vec<Change>,
}

impl Load {
    fn default_keys() -> u32 {
        20_000
    }
    fn default_zipf() -> Bounded<1, 5_000> {
        Bounded(1.0)
    }
    fn default_retries() -> u8 {
        2
    }
    fn default_retry_wait() -> Milliseconds {
        Bounded(20.0)
    }
    fn default_give_up_share() -> Share {
        share(0.5)
    }
    fn default_honours_retry_after() -> Share {
        share(0.0)
    }
}

/// A change of the load. Rate changes that overlap are multiplied.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// A sine wave over the whole run, around the base rate.
    Wave {
        /// Period in seconds.
        period_s: Bounded<10, 3_600_000>,
        /// Amplitude as a share of the rate.
        depth: Share,
    },
    /// The rate is multiplied for a limited time.
    Burst {
        /// Start in seconds from the start of the load.
        at_s: Seconds,
        /// Duration in seconds.
        for_s: Seconds,
        /// Multiple of the rate.
        times: Factor,
    },
    /// Linear change from the base rate at the start to a multiple of it at the end.
    Ramp {
        /// Multiple of the rate at the end.
        to: Factor,
    },
    /// A few keys receive a share of the reads.
    HotKey {
        /// Start in seconds from the start of the load.
        at_s: Seconds,
        /// Duration in seconds.
        for_s: Seconds,
        /// Share of the affected reads.
        share: Share,
        /// Number of hot keys.
        keys: u32,
    },
    /// A share of the reads requests keys that are read only once.
    Scan {
        /// Start in seconds from the start of the load.
        at_s: Seconds,
        /// Duration in seconds.
        for_s: Seconds,
        /// Share of the affected reads.
        share: Share,
    },
}

impl Change {
    /// Returns the name, start and duration in seconds of a change of limited duration.
    pub fn span(&self) -> Option<(&'static str, f64, f64)> {
        match self {
            Self::Burst { at_s, for_s, .. } => Some(("burst", at_s.get(), for_s.get())),
            Self::HotKey { at_s, for_s, .. } => Some(("hot_key", at_s.get(), for_s.get())),
            Self::Scan { at_s, for_s, .. } => Some(("scan", at_s.get(), for_s.get())),
            Self::Wave { .. } | Self::Ramp { .. } => None,
        }
    }
}

/// Effect of a repeated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// No effect: the request may be repeated at any time.
    #[serde(rename = "safe")]
    Idempotent,
    /// No effect within the repeat window: servers drop duplicates by their key.
    Keyed,
    /// The request takes effect again, so it must not be repeated.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Share of all requests.
    pub share: Share,
    /// Effect of a repeated request.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// For a keyed class: seconds for which servers drop repeats.
    #[serde(rename = "window_s", default = "Class::default_repeat_window")]
    pub repeat_window_s: Seconds,
    /// Whether requests of the class are forwarded to the database and invalidate cached copies.
    #[serde(default)]
    pub write: bool,
    /// Mean work of a request in milliseconds on a standard core.
    pub work_ms: Bounded<1, 60_000_000>,
    /// Maximum time from the due time of the first try for a response to count as in time.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: Bounded<1_000, 60_000_000>,
    /// Time after which the client abandons a request.
    pub deadline_ms: Bounded<1_000, 60_000_000>,
    /// Weight of a request in the share served in time.
    #[serde(rename = "worth")]
    pub priority_weight: Bounded<0, 1_000_000>,
}

impl Class {
    fn default_repeat_window() -> Seconds {
        Bounded(4.0)
    }
}

/// Returns the lookup, queue-join and entry-fee classes of the operators' fleet with their times
/// divided by four.
pub fn default_classes() -> Vec<Class> {
    let class =
        |name: &str, class_share, idempotency, write, work, aim, deadline, priority_weight| Class {
            name: name.into(),
            share: share(class_share),
            idempotency,
            repeat_window_s: Bounded(4.0),
            write,
            work_ms: Bounded(work),
            latency_objective_ms: Bounded(aim),
            deadline_ms: Bounded(deadline),
            priority_weight: Bounded(priority_weight),
        };
    vec![
        class(
            "lookup",
            0.95,
            Idempotency::Idempotent,
            false,
            6.0,
            250.0,
            625.0,
            1.0,
        ),
        class(
            "queue-join",
            0.027,
            Idempotency::Keyed,
            true,
            5.0,
            200.0,
            500.0,
            3.0,
        ),
        class(
            "entry-fee",
            0.023,
            Idempotency::NonIdempotent,
            true,
            2.0,
            250.0,
            750.0,
            10.0,
        ),
    ]
}
