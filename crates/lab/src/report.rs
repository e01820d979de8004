//! What a run comes to: figures by class and second, the verdict, and its page.

use crate::record::{AppliedFault, End, Record, TryId};
use crate::rules::Breach;
use crate::run::Played;
use crate::scenario::{Kind, Scenario};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// The rig's own lateness past which its figures are doubted: the 99th percentile, in milliseconds.
pub const LATE_MS: f64 = 5.0;
/// Breaches listed in full; all of them are counted.
const MAX_LISTED_BREACHES: usize = 20;

/// Requests of a class, or of all.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests.
    pub asked: u64,
    /// Served within the aim.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Never served.
    pub unserved: u64,
    /// Share of the worth that was served in time.
    pub served: f64,
    /// Milliseconds from when the first try was due to the answer, of what was served: 50th, 90th, 99th percentile, most.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p90_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// See `p50_ms`.
    pub most_ms: f64,
}

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Requests due in it.
    pub asked: u64,
    /// Share of their worth that was served in time.
    pub served: f64,
    /// Milliseconds, of those that were served.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// Tries by how they ended without serving.
    pub ends: BTreeMap<&'static str, u64>,
}

/// Something that went wrong, on the time line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultSpan {
    /// Its kind.
    pub kind: String,
    /// Whom it struck.
    pub whom: String,
    /// Seconds.
    pub from: f64,
    /// Seconds.
    pub to: f64,
}

/// Everything that a report says.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The scenario's name.
    pub scenario: String,
    /// What it is for.
    pub about: String,
    /// The seed.
    pub seed: u64,
    /// Whether rules and expectations hold.
    pub holds: bool,
    /// Seconds that load arrived.
    pub seconds: f64,
    /// Requests a second that were offered.
    pub offered: f64,
    /// All requests.
    pub all: Figures,
    /// By class.
    pub classes: BTreeMap<String, Figures>,
    /// Tries, by how they ended.
    pub ends: BTreeMap<&'static str, u64>,
    /// Attempts at servers.
    pub attempts: u64,
    /// Fetches and writes that the database was sent.
    pub fetches: u64,
    /// The worst second's share of the worth.
    pub worst_second: f64,
    /// How many times each rule was broken.
    pub broken: BTreeMap<String, usize>,
    /// The first of them, worded.
    pub breaches: Vec<Breach>,
    /// Expectations that do not hold.
    pub unmet: Vec<String>,
    /// How late the rig sent first tries: 99th percentile in milliseconds. Not the node's doing.
    pub rig_late_ms: f64,
    /// What to make of the figures, where the rig was late.
    pub doubt: Option<String>,
    /// By second.
    pub by_second: Vec<Second>,
    /// Faults, and changes of the load that have a beginning.
    pub faults: Vec<FaultSpan>,
    /// By second and server: requests held at most.
    pub held: Vec<Vec<usize>>,
    /// By second: calls at the database at most.
    pub database: Vec<usize>,
}

/// A name for how a try ended.
fn end_name(end: End) -> &'static str {
    match end {
        End::Served => "served",
        End::Refused { .. } => "refused",
        End::Failed(_) => "failed",
        End::TimedOut => "timed_out",
        End::Broke { .. } => "broke",
        End::NotSent => "not_sent",
        End::Foreign => "foreign",
        End::Twice => "twice",
    }
}

struct Tally {
    figures: Figures,
    worth: (f64, f64),
    times: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        // Microseconds up to ten minutes.
        let times = Histogram::new_with_bounds(1, 600_000_000, 3)
            .expect("three digits are in the crate's range");
        Self {
            figures: Figures::default(),
            worth: (0.0, 0.0),
            times,
        }
    }

    fn add(&mut self, worth: f64, took: Option<u64>, aim: u64) {
        self.figures.asked += 1;
        self.worth.1 += worth;
        match took {
            Some(took) => {
                self.times.saturating_record(took.max(1));
                if took <= aim {
                    self.figures.in_time += 1;
                    self.worth.0 += worth;
                } else {
                    self.figures.late += 1;
                }
            }
            None => self.figures.unserved += 1,
        }
    }

    fn ms(&self, quantile: f64) -> f64 {
        if self.times.is_empty() {
            0.0
        } else {
            self.times.value_at_quantile(quantile) as f64 / 1e3
        }
    }

    fn served(&self) -> f64 {
        if self.worth.1 > 0.0 {
            self.worth.0 / self.worth.1
        } else {
            1.0
        }
    }

    fn figures(&self) -> Figures {
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

impl Report {
    /// Makes a report of a run.
    pub fn new(name: &str, scenario: &Scenario, seed: u64, played: &Played) -> Self {
        let Played {
            plan,
            record,
            breaches,
            lasted,
        } = played;
        let sent_count = record.late.len();
        let mut served: BTreeMap<u32, u64> = BTreeMap::new();
        let mut ends = BTreeMap::new();
        let seconds = lasted.as_secs_f64().min(scenario.seconds.get());
        let mut by_second: Vec<(Tally, BTreeMap<&'static str, u64>)> = (0..seconds.ceil() as usize)
            .map(|_| (Tally::new(), BTreeMap::new()))
            .collect();
        for tried in &record.tries {
            *ends.entry(end_name(tried.end)).or_insert(0) += 1;
            let TryId { arrival, .. } = tried.id;
            if tried.end == End::Served {
                served.entry(arrival).or_insert(tried.ended);
            } else if let Some((_, ends)) = by_second.get_mut((tried.due / 1_000_000) as usize) {
                *ends.entry(end_name(tried.end)).or_insert(0) += 1;
            }
        }
        let mut all = Tally::new();
        let mut classes: Vec<_> = scenario.classes.iter().map(|_| Tally::new()).collect();
        for (index, arrival) in plan.arrivals.iter().take(sent_count).enumerate() {
            let class = &scenario.classes[arrival.class];
            let due = arrival.due.as_micros() as u64;
            let took = served.get(&(index as u32)).map(|at| at.saturating_sub(due));
            let aim = (class.aim_ms.get() * 1e3) as u64;
            let second = by_second
                .get_mut(arrival.due.as_secs() as usize)
                .map(|(tally, _)| tally);
            for tally in [Some(&mut all), classes.get_mut(arrival.class), second]
                .into_iter()
                .flatten()
            {
                tally.add(class.worth.get(), took, aim);
            }
        }
        let mut late = Tally::new();
        record
            .late
            .iter()
            .for_each(|late_us| late.times.saturating_record(u64::from(*late_us).max(1)));
        let rig_late_ms = late.ms(0.99);
        let mut broken = BTreeMap::new();
        breaches
            .iter()
            .for_each(|breach| *broken.entry(breach.rule.to_string()).or_insert(0) += 1);
        let by_second: Vec<_> = by_second
            .into_iter()
            .map(|(tally, ends)| Second {
                asked: tally.figures.asked,
                served: tally.served(),
                p50_ms: tally.ms(0.5),
                p99_ms: tally.ms(0.99),
                ends,
            })
            .collect();
        let (held, database) = loads_by_second(record, by_second.len());
        let figures_by_class = scenario.classes.iter().zip(&classes);
        let figures_by_class = figures_by_class
            .map(|(class, tally)| (class.name.clone(), tally.figures()))
            .collect();
        let mut report = Self {
            scenario: name.to_owned(),
            about: scenario.about.clone(),
            seed,
            holds: breaches.is_empty(),
            seconds,
            offered: sent_count as f64 / seconds.max(1e-9),
            all: all.figures(),
            classes: figures_by_class,
            ends,
            attempts: record.attempts.len() as u64,
            fetches: record.fetches,
            worst_second: by_second.iter().map(|second| second.served).fold(1.0, f64::min),
            broken,
            breaches: breaches.iter().take(MAX_LISTED_BREACHES).cloned().collect(),
            unmet: Vec::new(),
            rig_late_ms,
            doubt: (rig_late_ms > LATE_MS).then(|| {
                format!("the rig itself sent first tries late ({rig_late_ms:.1} ms at the 99th percentile): its figures are no node's")
            }),
            by_second,
            faults: fault_spans(scenario, record, seconds),
            held,
            database,
        };
        report.check_expectations(scenario);
        report
    }

    fn check_expectations(&mut self, scenario: &Scenario) {
        let expect = &scenario.expect;
        let tries = self.ends.values().sum::<u64>().max(1) as f64;
        let refused = *self.ends.get("refused").unwrap_or(&0) as f64 / tries;
        let minimums = [
            (
                "served",
                expect.served.map(|share| share.get()),
                self.all.served,
            ),
            (
                "worst_second",
                expect.worst_second.map(|share| share.get()),
                self.worst_second,
            ),
        ];
        for (name, expected, measured) in minimums {
            if let Some(expected) = expected.filter(|expected| measured < *expected) {
                self.unmet.push(format!(
                    "{name} is {measured:.3} where at least {expected} was expected"
                ));
            }
        }
        let maximums = [
            ("refused", expect.refused.map(|share| share.get()), refused),
            ("p99_ms", expect.p99_ms.map(|ms| ms.get()), self.all.p99_ms),
        ];
        for (name, expected, measured) in maximums {
            if let Some(expected) = expected.filter(|expected| measured > *expected) {
                self.unmet.push(format!(
                    "{name} is {measured:.3} where at most {expected} was expected"
                ));
            }
        }
        self.holds = self.breaches.is_empty() && self.unmet.is_empty();
    }

    /// The report for a terminal.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |what: String| text.extend([what.as_str(), "\n"]);
        line(format!(
            "{}: {} (seed {})",
            self.scenario,
            if self.holds { "holds" } else { "DOES NOT HOLD" },
            self.seed
        ));
        line(format!(
            "  {} requests in {:.1} s, {} attempts at servers, {} calls at the database; worth in time:",
            self.all.asked, self.seconds, self.attempts, self.fetches
        ));
        let classes = self
            .classes
            .iter()
            .map(|(name, figures)| (name.as_str(), figures));
        for (name, figures) in classes.chain([("all", &self.all)]) {
            line(format!(
                "  {name:<12}{:>7} asked {:>5.1} % in time {:>5} late {:>5} unserved, p50 {:>6.1} p99 {:>6.1} ms",
                figures.asked,
                figures.served * 100.0,
                figures.late,
                figures.unserved,
                figures.p50_ms,
                figures.p99_ms
            ));
        }
        let ends: Vec<_> = self
            .ends
            .iter()
            .map(|(end, count)| format!("{} {count}", end.replace('_', " ")))
            .collect();
        line(format!(
            "  tries: {}; worst second {:.1} %",
            ends.join(", "),
            self.worst_second * 100.0
        ));
        for (rule, count) in &self.broken {
            line(format!("  rule broken {count} times: {rule}"));
        }
        self.breaches
            .iter()
            .take(5)
            .for_each(|breach| line(format!("    {}", breach.what)));
        self.unmet
            .iter()
            .for_each(|unmet| line(format!("  not as expected: {unmet}")));
        self.doubt
            .iter()
            .for_each(|doubt| line(format!("  doubt: {doubt}")));
        text
    }
}

fn fault_spans(scenario: &Scenario, record: &Record, seconds: f64) -> Vec<FaultSpan> {
    let name = |kind: &Kind| {
        serde_json::to_value(kind)
            .ok()
            .and_then(|kind| Some(kind.as_str()?.to_owned()))
    };
    let load = scenario.load.changes.iter().filter_map(|change| {
        let (kind, start, duration) = change.span()?;
        let (from, to) = (start.min(seconds), (start + duration).min(seconds));
        Some(FaultSpan {
            kind: kind.to_owned(),
            whom: "the load".to_owned(),
            from,
            to,
        })
    });
    let faults = record.faults.iter().map(
        |AppliedFault {
             kind,
             from,
             until,
             target,
         }| FaultSpan {
            kind: name(kind).unwrap_or_default(),
            whom: match kind {
                kind if kind.targets_servers() => format!("server {target}"),
                kind if kind.targets_nodes() => format!("node {target}"),
                _ => "discovery".to_owned(),
            },
            from: *from as f64 / 1e6,
            // What has no end of its own is a moment, but for what stays as it is.
            to: match until {
                Some(until) => *until as f64 / 1e6,
                None if kind.persists() => seconds,
                None => *from as f64 / 1e6,
            }
            .min(seconds),
        },
    );
    load.chain(faults).collect()
}

/// By second: requests held at each server at most, and calls at the database.
fn loads_by_second(record: &Record, seconds: usize) -> (Vec<Vec<usize>>, Vec<usize>) {
    let servers = record
        .samples
        .iter()
        .map(|sample| sample.server + 1)
        .max()
        .unwrap_or(0);
    let (mut held, mut database) = (vec![vec![0; servers]; seconds], vec![0; seconds]);
    for sample in &record.samples {
        let second = (sample.at / 1_000_000) as usize;
        if let (Some(held), Some(database)) = (held.get_mut(second), database.get_mut(second)) {
            held[sample.server] = held[sample.server].max(sample.held);
            *database = (*database).max(sample.fetches);
        }
    }
    (held, database)
}
