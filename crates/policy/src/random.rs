//! The node's random numbers, a function of its seed: equal events give equal actions.

use crate::hashing::{mix, unit_interval};

/// A generator of uniform random numbers between 0 and 1.
#[derive(Debug)]
pub(crate) struct Random {
    seed: u64,
    drawn: u64,
}

impl Random {
    /// A generator that starts from this seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed, drawn: 0 }
    }

    /// The next random number.
    pub(crate) fn draw(&mut self) -> f64 {
        self.drawn += 1;
        unit_interval(mix(self.seed ^ self.drawn))
    }

    /// The number that belongs to `salt`: always the same at this node, another one at a node of
    /// another seed.
    pub(crate) fn fixed(&self, salt: u64) -> f64 {
        unit_interval(mix(self.seed ^ salt))
    }
}
