//! Requests that a control plane generates for itself, as a Poisson process.

use slatelink_policy::{ClassId, Settings};
use std::time::Duration;
use tokio::time::Instant;

/// Keys of generated requests are below this.
const KEY_COUNT: u64 = 20_000;

/// One generated request.
pub struct GeneratedRequest {
    /// Its number, from 1.
    pub number: u64,
    /// Its class.
    pub class: ClassId,
    /// The time after which its client would give up.
    pub timeout: Duration,
    /// Its key.
    pub key: u64,
}

/// Generates requests at a rate, of classes and keys that are drawn uniformly.
pub struct RequestGenerator {
    /// Each class with the timeout of its clients.
    classes: Vec<(ClassId, Duration)>,
    /// Requests a second.
    rate: f64,
    random: fastrand::Rng,
    generated: u64,
    /// When the next request comes; `None` if none does.
    next_arrival: Option<Instant>,
}

impl RequestGenerator {
    /// Generates requests of the settings' classes from now on; none at a rate of zero, or without classes.
    pub fn new(settings: &Settings, rate: f64, random: fastrand::Rng) -> Self {
        let timeouts = settings.classes.iter().map(|class| class.deadline);
        let classes: Vec<_> = timeouts
            .enumerate()
            .map(|(i, timeout)| (ClassId(i), timeout))
            .collect();
        let mut generator = Self {
            classes,
            rate,
            random,
            generated: 0,
            next_arrival: None,
        };
        generator.schedule_next(Instant::now());
        generator
    }

    /// When the next request comes; `None` if none does.
    pub const fn next_arrival(&self) -> Option<Instant> {
        self.next_arrival
    }

    /// Generates the request that has come.
    pub fn generate(&mut self, now: Instant) -> GeneratedRequest {
        self.generated += 1;
        let class_index = self.random.usize(..self.classes.len());
        let (class, timeout) = self.classes[class_index];
        let key = self.random.u64(..KEY_COUNT);
        // From the time at which this one was due: if it is late, the next ones are not delayed with it.
        self.schedule_next(self.next_arrival.unwrap_or(now));
        GeneratedRequest {
            number: self.generated,
            class,
            timeout,
            key,
        }
    }

    /// Draws an exponential gap from `from` to the next request.
    fn schedule_next(&mut self, from: Instant) {
        if self.rate > 0.0 && !self.classes.is_empty() {
            let gap = -(1.0 - self.random.f64()).ln() / self.rate;
            self.next_arrival = Some(from + Duration::from_secs_f64(gap));
        }
    }
}
