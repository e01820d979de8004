//! Requests that a control plane generates for itself, as a Poisson process.

use slatelink_policy::{ClassId, Settings};
use std::time::Duration;
use tokio::time::Instant;

/// Exclusive upper bound of the keys of generated requests.
const KEY_COUNT: u64 = 20_000;

/// One generated request.
pub struct GeneratedRequest {
    /// Sequence number, from 1.
    pub number: u64,
    pub class: ClassId,
    /// Time after which the client would abandon the request.
    pub timeout: Duration,
    pub key: u64,
}

/// Generates requests at a given rate, with classes and keys drawn uniformly.
pub struct RequestGenerator {
    /// Each class with the timeout of its clients.
    classes: Vec<(ClassId, Duration)>,
    /// Requests per second.
    rate: f64,
    random: fastrand::Rng,
    generated: u64,
    /// Time of the next request; `None` if there is none.
    next_arrival: Option<Instant>,
}

impl RequestGenerator {
    /// Creates a generator for the classes of the settings. It generates no requests if the rate is
    /// zero or there are no classes.
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

    /// Returns the time of the next request; `None` if there is none.
    pub const fn next_arrival(&self) -> Option<Instant> {
        self.next_arrival
    }

    /// Generates the request that is due.
    pub fn generate(&mut self, now: Instant) -> GeneratedRequest {
        self.generated += 1;
        let class_index = self.random.usize(..self.classes.len());
        let (class, timeout) = self.classes[class_index];
        let key = self.random.u64(..KEY_COUNT);
        // The gap starts at the due time of this request, so a late request does not delay the next
        // ones.
        self.schedule_next(self.next_arrival.unwrap_or(now));
        GeneratedRequest {
            number: self.generated,
            class,
            timeout,
            key,
        }
    }

    /// Schedules the next request after an exponentially distributed gap from `from`.
    fn schedule_next(&mut self, from: Instant) {
        if self.rate > 0.0 && !self.classes.is_empty() {
            let gap = -(1.0 - self.random.f64()).ln() / self.rate;
            self.next_arrival = Some(from + Duration::from_secs_f64(gap));
        }
    }
}
