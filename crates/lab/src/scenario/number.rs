//! Numbers with a fixed range, validated when they are parsed.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Error of a number outside its range.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("{value} is not a number from {min} to {max}")]
pub struct OutOfRange {
    /// Value met.
    pub value: f64,
    /// Minimum allowed value.
    pub min: f64,
    /// Maximum allowed value.
    pub max: f64,
}

/// A number from `MIN` to `MAX`, both in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Bounded<const MIN: u64, const MAX: u64>(pub(super) f64);

impl<const MIN: u64, const MAX: u64> Bounded<MIN, MAX> {
    /// Returns the number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl<const MIN: u64, const MAX: u64> TryFrom<f64> for Bounded<MIN, MAX> {
    type Error = OutOfRange;
    fn try_from(value: f64) -> Result<Self, OutOfRange> {
        let (min, max) = (MIN as f64 / 1e3, MAX as f64 / 1e3);
        // NaN fails both comparisons and is rejected.
        if value >= min && value <= max {
            Ok(Self(value))
        } else {
            Err(OutOfRange { value, min, max })
        }
    }
}

impl<const MIN: u64, const MAX: u64> From<Bounded<MIN, MAX>> for f64 {
    fn from(value: Bounded<MIN, MAX>) -> f64 {
        value.0
    }
}

/// A fraction from 0 to 1.
pub type Share = Bounded<0, 1_000>;
/// Seconds, up to an hour.
pub type Seconds = Bounded<0, 3_600_000>;
/// A factor from 0.001 to 1000.
pub type Factor = Bounded<1, 1_000_000>;
/// Milliseconds, up to a minute.
pub type Milliseconds = Bounded<0, 60_000_000>;

pub(super) fn share(value: f64) -> Share {
    Bounded(value)
}
