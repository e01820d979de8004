//! What a run comes to: figures by class and second, the verdict, and its page.

mod tally;
mod text;

use crate::record::{AppliedFault, Record};
use crate::rules::Breach;
use crate::run::CompletedRun;
use crate::scenario::{FaultKind, Scenario};
use serde::Serialize;
use std::collections::BTreeMap;
use tally::{rig_late_ms, Tallies};

/// The rig's own lateness past which its figures are doubted: the 99th percentile, in milliseconds.
pub const LATE_MS: f64 = 5.0;
/// Times of a record are in microseconds.
const MICROS_PER_SECOND: u64 = 1_000_000;
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

impl Report {
    /// Makes a report of a run.
    pub fn new(name: &str, scenario: &Scenario, seed: u64, played: &CompletedRun) -> Self {
        let CompletedRun {
            plan,
            record,
            breaches,
            load_duration,
        } = played;
        let sent_count = record.late.len();
        let seconds = load_duration.as_secs_f64().min(scenario.seconds.get());
        let tallies = Tallies::of(scenario, plan, record, seconds);
        let by_second = tallies.by_second();
        let loads = LoadsBySecond::of(record, by_second.len());
        let rig_late_ms = rig_late_ms(record);
        let mut report = Self {
            scenario: name.to_owned(),
            about: scenario.about.clone(),
            seed,
            holds: breaches.is_empty(),
            seconds,
            offered: sent_count as f64 / seconds.max(1e-9),
            all: tallies.all.figures(),
            classes: tallies.by_class(scenario),
            ends: tallies.ends,
            attempts: record.attempts.len() as u64,
            fetches: record.fetches,
            worst_second: by_second
                .iter()
                .map(|second| second.served)
                .fold(1.0, f64::min),
            broken: count_by_rule(breaches),
            breaches: breaches.iter().take(MAX_LISTED_BREACHES).cloned().collect(),
            unmet: Vec::new(),
            rig_late_ms,
            doubt: doubt(rig_late_ms),
            by_second,
            faults: fault_spans(scenario, record, seconds),
            held: loads.held,
            database: loads.database,
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
}

fn fault_spans(scenario: &Scenario, record: &Record, seconds: f64) -> Vec<FaultSpan> {
    let name = |kind: &FaultKind| {
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

/// How many times each rule was broken.
fn count_by_rule(breaches: &[Breach]) -> BTreeMap<String, usize> {
    let mut broken = BTreeMap::new();
    for breach in breaches {
        *broken.entry(breach.rule.to_string()).or_insert(0) += 1;
    }
    broken
}

/// What to make of the figures, where the rig sent tries this late.
fn doubt(rig_late_ms: f64) -> Option<String> {
    (rig_late_ms > LATE_MS).then(|| {
        format!(
            "the rig itself sent first tries late ({rig_late_ms:.1} ms at the 99th percentile): its figures are no node's"
        )
    })
}

/// The most that servers and the database had to do at once, by second.
struct LoadsBySecond {
    /// By second and server: requests held.
    held: Vec<Vec<usize>>,
    /// By second: calls at the database.
    database: Vec<usize>,
}

impl LoadsBySecond {
    fn of(record: &Record, seconds: usize) -> Self {
        let last_server = record.samples.iter().map(|sample| sample.server).max();
        let servers = last_server.map_or(0, |last| last + 1);
        let (mut held, mut database) = (vec![vec![0; servers]; seconds], vec![0; seconds]);
        for sample in &record.samples {
            let second = (sample.at / MICROS_PER_SECOND) as usize;
            if let (Some(held), Some(database)) = (held.get_mut(second), database.get_mut(second)) {
                held[sample.server] = held[sample.server].max(sample.held);
                *database = (*database).max(sample.fetches);
            }
        }
        Self { held, database }
    }
}
