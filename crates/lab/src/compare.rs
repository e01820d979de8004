//! Two nodes, or two runs, side by side: figures and, over the same seeds, the interval of their difference.

use crate::report::Report;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

/// Samples of the bootstrap (Efron and Tibshirani 1993, section 13.3).
const BOOTSTRAP_SAMPLES: usize = 10_000;

/// What a comparison needs of a report.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Measured {
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Whether rules and expectations held.
    pub holds: bool,
    /// The worst second's share of the worth.
    pub worst_second: f64,
    /// Calls at the database.
    pub fetches: u64,
    /// All requests.
    pub all: Totals,
}

/// Figures of all requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Totals {
    /// Share of the worth in time.
    pub served: f64,
    /// Milliseconds.
    pub p50_ms: f64,
    /// Milliseconds.
    pub p99_ms: f64,
}

impl Measured {
    /// Of a report at hand.
    pub fn of(report: &Report) -> Self {
        let all = Totals {
            served: report.all.served,
            p50_ms: report.all.p50_ms,
            p99_ms: report.all.p99_ms,
        };
        Self {
            scenario: report.scenario.clone(),
            seed: report.seed,
            holds: report.holds,
            worst_second: report.worst_second,
            fetches: report.fetches,
            all,
        }
    }

    fn figures(&self) -> [(&'static str, f64); 5] {
        [
            ("worth in time", self.all.served),
            ("worst second", self.worst_second),
            ("p50 ms", self.all.p50_ms),
            ("p99 ms", self.all.p99_ms),
            ("database calls", self.fetches as f64),
        ]
    }
}

/// Two runs.
pub fn pair(a: &Measured, b: &Measured) -> String {
    let mut text = String::new();
    let mut line = |what: String| text.extend([what.as_str(), "\n"]);
    if (&a.scenario, a.seed) != (&b.scenario, b.seed) {
        line(format!(
            "note: {} seed {} and {} seed {} are not the same day",
            a.scenario, a.seed, b.scenario, b.seed
        ));
    }
    line(format!(
        "{:<16} {:>10} {:>10} {:>10}",
        "", "A", "B", "B - A"
    ));
    for ((name, a), (_, b)) in a.figures().into_iter().zip(b.figures()) {
        line(format!("{name:<16} {a:>10.3} {b:>10.3} {:>+10.3}", b - a));
    }
    line(format!("{:<16} {:>10} {:>10}", "holds", a.holds, b.holds));
    text
}

/// Pairs over the same seeds: means, the mean difference and its 95 % interval.
pub fn paired(name: &str, pairs: &[(Measured, Measured)]) -> String {
    let mut text = String::new();
    let mut line = |what: String| text.extend([what.as_str(), "\n"]);
    line(format!("{name}, {} seeds", pairs.len()));
    line(format!(
        "{:<16} {:>10} {:>10} {:>10}  95 % interval of B - A",
        "", "A", "B", "B - A"
    ));
    let Some((first, _)) = pairs.first() else {
        return text;
    };
    for (index, (name, _)) in first.figures().into_iter().enumerate() {
        let figure = |run: &Measured| run.figures()[index].1;
        let differences: Vec<f64> = pairs.iter().map(|(a, b)| figure(b) - figure(a)).collect();
        let (low, high) = interval(&differences);
        let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len() as f64;
        let a = mean(pairs.iter().map(|(a, _)| figure(a)).collect());
        let b = mean(pairs.iter().map(|(_, b)| figure(b)).collect());
        line(format!(
            "{name:<16} {a:>10.3} {b:>10.3} {:>+10.3}  {low:+.3} to {high:+.3}",
            b - a
        ));
    }
    let count_holding =
        |which: fn(&(Measured, Measured)) -> bool| pairs.iter().filter(|pair| which(pair)).count();
    line(format!(
        "{:<16} {:>10} {:>10}",
        "runs that hold",
        count_holding(|pair| pair.0.holds),
        count_holding(|pair| pair.1.holds)
    ));
    text
}

/// The 95 % interval of the mean, by the bootstrap's percentiles; seeded, so that it is the same each time.
fn interval(values: &[f64]) -> (f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(values.len() as u64);
    let mut means: Vec<f64> = (0..BOOTSTRAP_SAMPLES)
        .map(|_| {
            let drawn = (0..values.len()).map(|_| values[random.random_range(0..values.len())]);
            drawn.sum::<f64>() / values.len() as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    (
        means[BOOTSTRAP_SAMPLES / 40],
        means[BOOTSTRAP_SAMPLES - 1 - BOOTSTRAP_SAMPLES / 40],
    )
}

#[cfg(test)]
mod tests;
