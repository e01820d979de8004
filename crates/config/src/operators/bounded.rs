//! Integers within bounds.

use serde::Deserialize;
use thiserror::Error;

/// An integer from `MIN` to `MAX`, both inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(try_from = "i64")]
pub struct BoundedInteger<const MIN: usize, const MAX: usize>(usize);

impl<const MIN: usize, const MAX: usize> BoundedInteger<MIN, MAX> {
    /// Creates a constant. A value out of bounds does not compile.
    pub(super) const fn from_constant(value: usize) -> Self {
        assert!(MIN <= value && value <= MAX);
        Self(value)
    }

    /// Returns the integer.
    pub const fn get(self) -> usize {
        self.0
    }
}

impl<const MIN: usize, const MAX: usize> TryFrom<i64> for BoundedInteger<MIN, MAX> {
    type Error = OutOfBounds;

    fn try_from(value: i64) -> Result<Self, OutOfBounds> {
        usize::try_from(value)
            .ok()
            .filter(|value| (MIN..=MAX).contains(value))
            .map(Self)
            .ok_or(OutOfBounds {
                value,
                min: MIN,
                max: MAX,
            })
    }
}

/// Error for an integer outside its bounds.
#[derive(Debug, Error)]
#[error("{value} is not from {min} to {max}")]
pub struct OutOfBounds {
    value: i64,
    min: usize,
    max: usize,
}
