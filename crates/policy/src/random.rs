//! Random numbers of a node, a function of the node's seed, so that equal events give equal
//! actions.

use crate::hashing::{mix, unit_interval};

/// Generator of uniform random numbers between 0 and 1.
#[derive(Debug)]
pub(crate) struct Random {
    seed: u64,
    drawn: u64,
}

impl Random {
    /// Returns a generator with this seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed, drawn: 0 }
    }

    /// Returns the next random number.
    pub(crate) fn draw(&mut self) -> f64 {
        self.drawn += 1;
        unit_interval(mix(self.seed ^ self.drawn))
    }

    /// Returns the random number for `salt`: constant at this node, different at a node with
    /// another seed.
    pub(crate) fn fixed(&self, salt: u64) -> f64 {
        unit_interval(mix(self.seed ^ salt))
    }
}
