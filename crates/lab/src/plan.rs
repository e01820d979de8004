//! The load of a scenario, drawn from its seed before the run: due time, key and work of each
//! request.
//!
//! Equal scenarios and seeds give equal plans, independent of the responses during the run.

use crate::scenario::{Change, Scenario};
use rand::distr::Distribution;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Exp1, LogNormal, Zipf};
use std::time::Duration;

/// Standard deviation of the logarithm of a request's work.
const WORK_SIGMA: f64 = 0.5;
/// Size of a value: median in bytes, and standard deviation of the logarithm.
const VALUE_SIZE: (f64, f64) = (600.0, 0.8);
/// Size limit of a value in bytes; a body is limited to 64 KiB.
const MAX_VALUE_SIZE: f64 = 60_000.0;

/// One planned request; all its tries share these properties.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Due time of the first try.
    pub due: Duration,
    /// Index of the class in the scenario.
    pub class: usize,
    /// Key that is read or written.
    pub key: u64,
    /// Processing time on a standard core.
    pub work: Duration,
    /// Whether the client honours `Retry-After`.
    pub honours_retry_after: bool,
}

/// All requests of a run, ordered by due time.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The planned requests.
    pub arrivals: Vec<Arrival>,
    /// Seed of the value sizes and of the database service times.
    pub seed: u64,
}

impl Plan {
    /// Draws the load of a scenario.
    pub fn draw(scenario: &Scenario, seed: u64) -> Self {
        let load = &scenario.load;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let zipf = Zipf::new(f64::from(load.keys), load.zipf.get());
        let work = LogNormal::new(-WORK_SIGMA * WORK_SIGMA / 2.0, WORK_SIGMA);
        let end = scenario.seconds.get();
        // Thinning (Lewis and Shedler 1979): arrivals are drawn at the maximum rate, and each is
        // kept with a probability of current rate / maximum rate.
        let factor_at = |now: f64| {
            load.changes
                .iter()
                .map(|change| change.factor(now, end))
                .product::<f64>()
        };
        let max_factor = load.changes.iter().map(Change::max_factor).product::<f64>();
        let (mut now, mut arrivals, mut scanned_keys) = (0.0, Vec::new(), 0u64);
        loop {
            let gap: f64 = Exp1.sample(&mut random);
            now += gap / (load.rate.get() * max_factor);
            if now >= end {
                break;
            }
            if random.random::<f64>() * max_factor >= factor_at(now) {
                continue;
            }
            let mut draw = random.random::<f64>();
            let class = scenario.classes.iter().position(|class| {
                draw -= class.share.get();
                draw < 0.0
            });
            let class = class.unwrap_or(scenario.classes.len() - 1);
            let rank = zipf.as_ref().map_or(0.0, |zipf| zipf.sample(&mut random)) as u64;
            let mut key = mix(seed ^ rank);
            if !scenario.classes[class].write {
                for change in &load.changes {
                    match change {
                        Change::HotKey {
                            at_s,
                            for_s,
                            share,
                            keys,
                        } if within(now, at_s.get(), for_s.get())
                            && random.random::<f64>() < share.get() =>
                        {
                            key = mix(!seed ^ random.random_range(0..u64::from((*keys).max(1))));
                        }
                        Change::Scan { at_s, for_s, share }
                            if within(now, at_s.get(), for_s.get())
                                && random.random::<f64>() < share.get() =>
                        {
                            scanned_keys += 1;
                            key = mix(seed.rotate_left(32) ^ scanned_keys);
                        }
                        _ => {}
                    }
                }
            }
            let work_factor = work.as_ref().map_or(1.0, |work| work.sample(&mut random));
            arrivals.push(Arrival {
                due: Duration::from_secs_f64(now),
                class,
                key,
                work: Duration::from_secs_f64(
                    scenario.classes[class].work_ms.get() / 1e3 * work_factor,
                ),
                honours_retry_after: random.random::<f64>() < load.honours_retry_after.get(),
            });
        }
        Self { arrivals, seed }
    }

    /// Returns the size in bytes of the value of a key; the same for all servers.
    pub fn size(&self, key: u64) -> usize {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ key);
        let size = LogNormal::new(VALUE_SIZE.0.ln(), VALUE_SIZE.1)
            .map_or(VALUE_SIZE.0, |size| size.sample(&mut random));
        size.clamp(64.0, MAX_VALUE_SIZE) as usize
    }
}

fn within(now: f64, start: f64, duration: f64) -> bool {
    (start..start + duration).contains(&now)
}

impl Change {
    /// Returns the factor on the rate at second `now` of a load phase of `end` seconds.
    fn factor(&self, now: f64, end: f64) -> f64 {
        match self {
            Self::Wave { period_s, depth } => {
                1.0 + depth.get() * (now / period_s.get() * std::f64::consts::TAU).sin()
            }
            Self::Burst { at_s, for_s, times } if within(now, at_s.get(), for_s.get()) => {
                times.get()
            }
            Self::Ramp { to } => 1.0 + (to.get() - 1.0) * now / end,
            _ => 1.0,
        }
    }

    /// Returns an upper bound of [`Self::factor`].
    fn max_factor(&self) -> f64 {
        match self {
            Self::Wave { depth, .. } => 1.0 + depth.get(),
            Self::Burst { times, .. } => times.get().max(1.0),
            Self::Ramp { to } => to.get().max(1.0),
            _ => 1.0,
        }
    }
}

/// Scatters nearby numbers (the finaliser of splitmix64, Steele, Lea and Flood 2014).
pub fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests;
