//! Requests and tries of a run counted by class, by second and by how they ended.

use super::{Figures, Second, MICROS_PER_SECOND};
use crate::plan::Plan;
use crate::record::{End, Record};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Tries by the stored name of how they ended.
type EndCounts = BTreeMap<&'static str, u64>;

/// The stored name of how a try ended.
fn end_name(end: End) -> &'static str {
    match end {
        End::Served => "served",
        End::Refused { .. } => "refused",
        End::Failed(_) => "failed",
        End::TimedOut => "timed_out",
        End::ConnectionLost { .. } => "broke",
        End::NotSent => "not_sent",
        End::UnmatchedBody => "foreign",
        End::DuplicateResponse => "twice",
    }
}

/// Requests of one group.
pub(super) struct Tally {
    figures: Figures,
    /// Priority weight of the requests that were served in time.
    priority_weight_in_time: f64,
    /// Priority weight of all requests.
    priority_weight: f64,
    /// Microseconds from when the first try was due to the answer.
    times: Histogram<u64>,
}

impl Tally {
    #[allow(
        clippy::expect_used,
        reason = "the bounds are constants that the crate accepts"
    )]
    fn new() -> Self {
        // Microseconds up to ten minutes.
        let times = Histogram::new_with_bounds(1, 600_000_000, 3)
            .expect("three digits are in the crate's range");
        Self {
            figures: Figures::default(),
            priority_weight_in_time: 0.0,
            priority_weight: 0.0,
            times,
        }
    }

    /// Counts a request of this priority weight, served after `took` microseconds or never; `objective` is its latency
    /// objective in microseconds.
    fn add(&mut self, priority_weight: f64, took: Option<u64>, objective: u64) {
        self.figures.asked += 1;
        self.priority_weight += priority_weight;
        match took {
            Some(took) => {
                self.times.saturating_record(took.max(1));
                if took <= objective {
                    self.figures.in_time += 1;
                    self.priority_weight_in_time += priority_weight;
                } else {
                    self.figures.late += 1;
                }
            }
            None => self.figures.unserved += 1,
        }
    }

    /// A quantile of the times, in milliseconds; 0 where nothing was served.
    fn ms(&self, quantile: f64) -> f64 {
        if self.times.is_empty() {
            0.0
        } else {
            self.times.value_at_quantile(quantile) as f64 / 1e3
        }
    }

    /// Share of the priority weight that was served in time; 1 where there is none.
    fn served(&self) -> f64 {
        if self.priority_weight > 0.0 {
            self.priority_weight_in_time / self.priority_weight
        } else {
            1.0
        }
    }

    /// The figures of the requests counted so far.
    pub(super) fn figures(&self) -> Figures {
        Figures {
            served: self.served(),
            p50_ms: self.ms(0.5),
            p90_ms: self.ms(0.9),
            p99_ms: self.ms(0.99),
            most_ms: self.ms(1.0),
            ..self.figures.clone()
        }
    }
}

/// One second's requests, and its tries that did not serve.
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
    /// Of a run whose load arrived for so many seconds.
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

    /// Counts tries by how they ended; when each request was served first, by its arrival.
    fn add_tries(&mut self, record: &Record) -> BTreeMap<u32, u64> {
        let mut served = BTreeMap::new();
        for tried in &record.tries {
            let name = end_name(tried.end);
            *self.ends.entry(name).or_insert(0) += 1;
            let second = (tried.due / MICROS_PER_SECOND) as usize;
            if tried.end == End::Served {
                served.entry(tried.id.arrival).or_insert(tried.ended);
            } else if let Some(second) = self.seconds.get_mut(second) {
                *second.ends.entry(name).or_insert(0) += 1;
            }
        }
        served
    }

    /// Counts the requests that were sent, the first `sent_count` of the plan.
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
            let took = served.get(&(index as u32)).map(|at| at.saturating_sub(due));
            let objective = (class.latency_objective_ms.get() * 1e3) as u64;
            let priority_weight = class.priority_weight.get();
            self.all.add(priority_weight, took, objective);
            if let Some(tally) = self.classes.get_mut(arrival.class) {
                tally.add(priority_weight, took, objective);
            }
            if let Some(second) = self.seconds.get_mut(arrival.due.as_secs() as usize) {
                second.requests.add(priority_weight, took, objective);
            }
        }
    }

    /// The figures of each class.
    pub(super) fn by_class(&self, scenario: &Scenario) -> BTreeMap<String, Figures> {
        let classes = scenario.classes.iter().zip(&self.classes);
        classes
            .map(|(class, tally)| (class.name.clone(), tally.figures()))
            .collect()
    }

    /// The figures of each second.
    pub(super) fn by_second(&self) -> Vec<Second> {
        let figures = |SecondTally { requests, ends }: &SecondTally| Second {
            asked: requests.figures.asked,
            served: requests.served(),
            p50_ms: requests.ms(0.5),
            p99_ms: requests.ms(0.99),
            ends: ends.clone(),
        };
        self.seconds.iter().map(figures).collect()
    }
}

/// How late the rig sent first tries: the 99th percentile, in milliseconds.
pub(super) fn rig_late_ms(record: &Record) -> f64 {
    let mut late = Tally::new();
    for late_us in &record.send_delays_us {
        late.times.saturating_record(u64::from(*late_us).max(1));
    }
    late.ms(0.99)
}
