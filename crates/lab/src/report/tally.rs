//! Counts requests and tries of a run by class, by second and by outcome.

use super::{Figures, Second, MICROS_PER_SECOND};
use crate::plan::Plan;
use crate::record::{Record, TryOutcome};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Number of tries by the stored name of the outcome.
type EndCounts = BTreeMap<&'static str, u64>;

/// Returns the stored name of an outcome.
fn end_name(end: TryOutcome) -> &'static str {
    match end {
        TryOutcome::Served => "served",
        TryOutcome::Refused { .. } => "refused",
        TryOutcome::Failed(_) => "failed",
        TryOutcome::TimedOut => "timed_out",
        TryOutcome::ConnectionLost { .. } => "broke",
        TryOutcome::NotSent => "not_sent",
        TryOutcome::UnmatchedBody => "foreign",
        TryOutcome::DuplicateResponse => "twice",
    }
}

/// Counts and latencies of one group of requests.
pub(super) struct Tally {
    figures: Figures,
    /// Total priority weight of the requests served in time.
    priority_weight_in_time: f64,
    /// Total priority weight of all requests.
    priority_weight: f64,
    /// Latencies in microseconds, from the due time of the first try to the response.
    latencies: Histogram<u64>,
}

impl Tally {
    #[allow(
        clippy::expect_used,
        reason = "the bounds are constants in the range of the crate"
    )]
    fn new() -> Self {
        // Microseconds, up to ten minutes.
        let latencies = Histogram::new_with_bounds(1, 600_000_000, 3)
            .expect("the bounds and three significant digits are in the range of the crate");
        Self {
            figures: Figures::default(),
            priority_weight_in_time: 0.0,
            priority_weight: 0.0,
            latencies,
        }
    }

    /// Counts a request that was served after `latency` microseconds, or never if `None`.
    /// `objective` is its latency objective in microseconds.
    fn add(&mut self, priority_weight: f64, latency: Option<u64>, objective: u64) {
        self.figures.asked += 1;
        self.priority_weight += priority_weight;
        match latency {
            Some(latency) => {
                self.latencies.saturating_record(latency.max(1));
                if latency <= objective {
                    self.figures.in_time += 1;
                    self.priority_weight_in_time += priority_weight;
                } else {
                    self.figures.late += 1;
                }
            }
            None => self.figures.unserved += 1,
        }
    }

    /// Returns a quantile of the latencies in milliseconds; 0 if no request was served.
    fn quantile_ms(&self, quantile: f64) -> f64 {
        if self.latencies.is_empty() {
            0.0
        } else {
            self.latencies.value_at_quantile(quantile) as f64 / 1e3
        }
    }

    /// Returns the share of the priority weight that was served in time; 1 without any weight.
    fn served_share(&self) -> f64 {
        if self.priority_weight > 0.0 {
            self.priority_weight_in_time / self.priority_weight
        } else {
            1.0
        }
    }

    /// Returns the figures of the requests counted so far.
    pub(super) fn figures(&self) -> Figures {
        Figures {
            served: self.served_share(),
            p50_ms: self.quantile_ms(0.5),
            p90_ms: self.quantile_ms(0.9),
            p99_ms: self.quantile_ms(0.99),
            most_ms: self.quantile_ms(1.0),
            ..self.figures.clone()
        }
    }
}

/// Requests and unserved tries of one second.
struct SecondTally {
    requests: Tally,
    ends: EndCounts,
}

/// All counts of a run.
pub(super) struct Tallies {
    /// All requests.
    pub(super) all: Tally,
    /// All tries.
    pub(super) ends: EndCounts,
    classes: Vec<Tally>,
    seconds: Vec<SecondTally>,
}

impl Tallies {
    /// Counts the requests and tries of a run with a load phase of `seconds`.
    pub(super) fn of(scenario: &Scenario, plan: &Plan, record: &Record, seconds: f64) -> Self {
        let empty = |_| SecondTally {
            requests: Tally::new(),
            ends: EndCounts::new(),
        };
        let mut tallies = Self {
            all: Tally::new(),
            ends: EndCounts::new(),
            classes: scenario.classes.iter().map(|_| Tally::new()).collect(),
            seconds: (0..seconds.ceil() as usize).map(empty).collect(),
        };
        let served = tallies.add_tries(record);
        tallies.add_requests(scenario, plan, record.send_delays_us.len(), &served);
        tallies
    }

    /// Counts tries by outcome. Returns the time of the first served try of each request, by its
    /// index in the plan.
    fn add_tries(&mut self, record: &Record) -> BTreeMap<u32, u64> {
        let mut served = BTreeMap::new();
        for try_record in &record.tries {
            let name = end_name(try_record.end);
            *self.ends.entry(name).or_insert(0) += 1;
            let second = (try_record.due / MICROS_PER_SECOND) as usize;
            if try_record.end == TryOutcome::Served {
                served
                    .entry(try_record.id.arrival)
                    .or_insert(try_record.ended);
            } else if let Some(second) = self.seconds.get_mut(second) {
                *second.ends.entry(name).or_insert(0) += 1;
            }
        }
        served
    }

    /// Counts the requests that were sent: the first `sent_count` requests of the plan.
    fn add_requests(
        &mut self,
        scenario: &Scenario,
        plan: &Plan,
        sent_count: usize,
        served: &BTreeMap<u32, u64>,
    ) {
        for (index, arrival) in plan.arrivals.iter().take(sent_count).enumerate() {
            let class = &scenario.classes[arrival.class];
            let due = arrival.due.as_micros() as u64;
            let latency = served.get(&(index as u32)).map(|at| at.saturating_sub(due));
            let objective = (class.latency_objective_ms.get() * 1e3) as u64;
            let priority_weight = class.priority_weight.get();
            self.all.add(priority_weight, latency, objective);
            if let Some(tally) = self.classes.get_mut(arrival.class) {
                tally.add(priority_weight, latency, objective);
            }
            if let Some(second) = self.seconds.get_mut(arrival.due.as_secs() as usize) {
                second.requests.add(priority_weight, latency, objective);
            }
        }
    }

    /// Returns the figures by class name.
    pub(super) fn by_class(&self, scenario: &Scenario) -> BTreeMap<String, Figures> {
        let classes = scenario.classes.iter().zip(&self.classes);
        classes
            .map(|(class, tally)| (class.name.clone(), tally.figures()))
            .collect()
    }

    /// Returns the figures of each second.
    pub(super) fn by_second(&self) -> Vec<Second> {
        let figures = |SecondTally { requests, ends }: &SecondTally| Second {
            asked: requests.figures.asked,
            served: requests.served_share(),
            p50_ms: requests.quantile_ms(0.5),
            p99_ms: requests.quantile_ms(0.99),
            ends: ends.clone(),
        };
        self.seconds.iter().map(figures).collect()
    }
}

/// Returns the 99th percentile of the load generator's send delay of first tries, in milliseconds.
pub(super) fn send_delay_p99_ms(record: &Record) -> f64 {
    let mut delays = Tally::new();
    for delay_us in &record.send_delays_us {
        delays
            .latencies
            .saturating_record(u64::from(*delay_us).max(1));
    }
    delays.quantile_ms(0.99)
}
