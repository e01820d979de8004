//! Numbers with a stated range, checked as they are read.

use serde::{Deserialize, Serialize};

/// A number from `LEAST` to `MOST`, both in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Within<const LEAST: u64, const MOST: u64>(pub(super) f64);

impl<const LEAST: u64, const MOST: u64> Within<LEAST, MOST> {
    /// The number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl<const LEAST: u64, const MOST: u64> TryFrom<f64> for Within<LEAST, MOST> {
    type Error = String;
    fn try_from(value: f64) -> Result<Self, String> {
        let (least, most) = (LEAST as f64 / 1e3, MOST as f64 / 1e3);
        // Not a number is in no range.
        if value >= least && value <= most {
            Ok(Self(value))
        } else {
            Err(format!("{value} is not a number from {least} to {most}"))
        }
    }
}

impl<const LEAST: u64, const MOST: u64> From<Within<LEAST, MOST>> for f64 {
    fn from(value: Within<LEAST, MOST>) -> f64 {
        value.0
    }
}

/// A part of a whole, 0 to 1.
pub type Share = Within<0, 1_000>;
/// Seconds on the time line, up to an hour.
pub type Seconds = Within<0, 3_600_000>;
/// A multiple, a thousandth to a thousand.
pub type Times = Within<1, 1_000_000>;
/// Milliseconds, up to a minute.
pub type Millis = Within<0, 60_000_000>;

pub(super) fn share(value: f64) -> Share {
    Within(value)
}
