//! Compares two nodes or two runs: figures side by side and, for runs over the same seeds, the
//! confidence interval of their mean difference.

use crate::report::Report;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

/// Number of bootstrap samples (Efron and Tibshirani 1993, section 13.3).
const BOOTSTRAP_SAMPLES: usize = 10_000;

/// Part of a report that a comparison needs.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Measured {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Whether no rule was broken and every expectation was met.
    pub holds: bool,
    /// Lowest share of the priority weight served in time in any second.
    pub worst_second: f64,
    /// Number of fetches and writes sent to the database.
    pub fetches: u64,
    /// Figures of all requests.
    pub all: Totals,
}

/// Figures of all requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Totals {
    /// Share of the priority weight that was served in time.
    pub served: f64,
    /// 50th percentile of the latency of served requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same latency.
    pub p99_ms: f64,
}

impl Measured {
    /// Extracts the figures of a report.
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

/// Returns the figures of two runs and their differences as text.
pub fn compare_runs(a: &Measured, b: &Measured) -> String {
    let mut text = String::new();
    let mut push_line = |text_line: String| text.extend([text_line.as_str(), "\n"]);
    if (&a.scenario, a.seed) != (&b.scenario, b.seed) {
        push_line(format!(
            "note: {} seed {} and {} seed {} are different loads",
            a.scenario, a.seed, b.scenario, b.seed
        ));
    }
    push_line(format!(
        "{:<16} {:>10} {:>10} {:>10}",
        "", "A", "B", "B - A"
    ));
    for ((name, a), (_, b)) in a.figures().into_iter().zip(b.figures()) {
        push_line(format!("{name:<16} {a:>10.3} {b:>10.3} {:>+10.3}", b - a));
    }
    push_line(format!("{:<16} {:>10} {:>10}", "holds", a.holds, b.holds));
    text
}

/// Returns as text the means, the mean difference and its 95 % interval over pairs of runs with
/// equal seeds.
pub fn compare_paired_runs(name: &str, pairs: &[(Measured, Measured)]) -> String {
    let mut text = String::new();
    let mut push_line = |text_line: String| text.extend([text_line.as_str(), "\n"]);
    push_line(format!("{name}, {} seeds", pairs.len()));
    push_line(format!(
        "{:<16} {:>10} {:>10} {:>10}  95 % interval of B - A",
        "", "A", "B", "B - A"
    ));
    let Some((first, _)) = pairs.first() else {
        return text;
    };
    for (index, (name, _)) in first.figures().into_iter().enumerate() {
        let figure = |run: &Measured| run.figures()[index].1;
        let differences: Vec<f64> = pairs.iter().map(|(a, b)| figure(b) - figure(a)).collect();
        let (low, high) = bootstrap_interval(&differences);
        let mean = |values: Vec<f64>| values.iter().sum::<f64>() / values.len() as f64;
        let a = mean(pairs.iter().map(|(a, _)| figure(a)).collect());
        let b = mean(pairs.iter().map(|(_, b)| figure(b)).collect());
        push_line(format!(
            "{name:<16} {a:>10.3} {b:>10.3} {:>+10.3}  {low:+.3} to {high:+.3}",
            b - a
        ));
    }
    let count_holding =
        |which: fn(&(Measured, Measured)) -> bool| pairs.iter().filter(|pair| which(pair)).count();
    push_line(format!(
        "{:<16} {:>10} {:>10}",
        "runs that hold",
        count_holding(|pair| pair.0.holds),
        count_holding(|pair| pair.1.holds)
    ));
    text
}

/// Returns the 95 % interval of the mean by the percentile bootstrap. The random generator is
/// seeded, so that equal values give the same interval.
fn bootstrap_interval(values: &[f64]) -> (f64, f64) {
    let mut random = ChaCha8Rng::seed_from_u64(values.len() as u64);
    let mut means: Vec<f64> = (0..BOOTSTRAP_SAMPLES)
        .map(|_| {
            let resampled = (0..values.len()).map(|_| values[random.random_range(0..values.len())]);
            resampled.sum::<f64>() / values.len() as f64
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
