//! The load: its rate, its changes over time, how clients retry, and the classes of requests.

use super::number::{share, Bounded, Factor, Milliseconds, Seconds, Share};
use serde::{Deserialize, Serialize};

/// What is asked, and how clients behave.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries a second.
    pub rate: Bounded<1, 200_000_000>,
    /// Keys there are.
    #[serde(default = "Load::default_keys")]
    pub keys: u32,
    /// Exponent of their Zipf distribution.
    #[serde(default = "Load::default_zipf")]
    pub zipf: Bounded<1, 5_000>,
    /// Tries a client makes after the first.
    #[serde(default = "Load::default_retries")]
    pub retries: u8,
    /// It waits so long before each.
    #[serde(default = "Load::default_wait")]
    pub retry_wait_ms: Milliseconds,
    /// A client gives a try up after this share of its class's deadline.
    #[serde(rename = "patience", default = "Load::default_patience")]
    pub give_up_share: Share,
    /// Share of the clients that honour `Retry-After`.
    #[serde(rename = "heed", default = "Load::default_heed")]
    pub honours_retry_after: Share,
    /// Changes of the load on the time line.
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
    fn default_wait() -> Milliseconds {
        Bounded(20.0)
    }
    fn default_patience() -> Share {
        share(0.5)
    }
    fn default_heed() -> Share {
        share(0.0)
    }
}

/// A change of the load. Several at once multiply.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// A sine over the whole time: the rate goes up and down by this share.
    Wave {
        /// Seconds from crest to crest.
        period_s: Bounded<10, 3_600_000>,
        /// Of the rate.
        depth: Share,
    },
    /// So many times the rate.
    Burst {
        /// From.
        at_s: Seconds,
        /// For.
        for_s: Seconds,
        /// Of the rate.
        times: Factor,
    },
    /// Evenly from the rate at the start to this multiple at the end.
    Ramp {
        /// At the end.
        to: Factor,
    },
    /// A few keys draw a share of the reads.
    HotKey {
        /// From.
        at_s: Seconds,
        /// For.
        for_s: Seconds,
        /// Of the reads.
        share: Share,
        /// How many keys.
        keys: u32,
    },
    /// A share of the reads asks for keys that are wanted only once.
    Scan {
        /// From.
        at_s: Seconds,
        /// For.
        for_s: Seconds,
        /// Of the reads.
        share: Share,
    },
}

impl Change {
    /// Its name, beginning and length in seconds, where it has one.
    pub fn span(&self) -> Option<(&'static str, f64, f64)> {
        match self {
            Self::Burst { at_s, for_s, .. } => Some(("burst", at_s.get(), for_s.get())),
            Self::HotKey { at_s, for_s, .. } => Some(("hot_key", at_s.get(), for_s.get())),
            Self::Scan { at_s, for_s, .. } => Some(("scan", at_s.get(), for_s.get())),
            Self::Wave { .. } | Self::Ramp { .. } => None,
        }
    }
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Nothing: it may be repeated at any time.
    #[serde(rename = "safe")]
    Idempotent,
    /// Nothing within the repeat window: servers drop duplicates by their key.
    Keyed,
    /// It runs again: it must not be repeated.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Of all requests.
    pub share: Share,
    /// What a repeat of a request does.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// For a keyed class: servers drop repeats for so many seconds.
    #[serde(rename = "window_s", default = "Class::default_window")]
    pub repeat_window_s: Seconds,
    /// Whether it goes on to the database and voids kept copies.
    #[serde(default)]
    pub write: bool,
    /// Mean work on a standard core.
    pub work_ms: Bounded<1, 60_000_000>,
    /// Answers within this time after the first try was due count as in time.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: Bounded<1_000, 60_000_000>,
    /// The client gives a request up after this time.
    pub deadline_ms: Bounded<1_000, 60_000_000>,
    /// Weight of a request in the share that is served in time.
    #[serde(rename = "worth")]
    pub priority_weight: Bounded<0, 1_000_000>,
}

impl Class {
    fn default_window() -> Seconds {
        Bounded(4.0)
    }
}

/// Lookups, queue-joins and entry fees, as the operators' fleet has them, a quarter of the times.
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
