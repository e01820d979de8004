//! Report of a run: figures by class and by second, rule breaches, and the verdict.

mod tally;
mod text;

use crate::record::{AppliedFault, Record};
use crate::rules::Breach;
use crate::run::CompletedRun;
use crate::scenario::{FaultKind, Scenario};
use serde::Serialize;
use std::collections::BTreeMap;
use tally::{send_delay_p99_ms, Tallies};

/// Limit of the 99th percentile of the load generator's send delay, in milliseconds. Past this
/// limit the report warns that its figures do not measure the node.
pub const MAX_SEND_DELAY_MS: f64 = 5.0;
/// Converts the times of a record, in microseconds, to seconds.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Maximum number of breaches listed in full; every breach is counted.
const MAX_LISTED_BREACHES: usize = 20;

/// Figures of the requests of one class or of all classes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Number of requests.
    pub asked: u64,
    /// Requests served within the latency objective.
    pub in_time: u64,
    /// Requests served after the latency objective.
    pub late: u64,
    /// Requests that were never served.
    pub unserved: u64,
    /// Share of the priority weight that was served in time.
    pub served: f64,
    /// 50th percentile of the latency of served requests in milliseconds, from the due time of the
    /// first try to the response.
    pub p50_ms: f64,
    /// 90th percentile of the same latency.
    pub p90_ms: f64,
    /// 99th percentile of the same latency.
    pub p99_ms: f64,
    /// Maximum of the same latency.
    pub most_ms: f64,
}

/// Figures of one second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Number of requests due in this second.
    pub asked: u64,
    /// Share of their priority weight that was served in time.
    pub served: f64,
    /// 50th percentile of the latency of the served requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the same latency.
    pub p99_ms: f64,
    /// Number of tries that were not served, by outcome.
    pub ends: BTreeMap<&'static str, u64>,
}

/// Time span of a fault or of a load change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultSpan {
    /// Kind of the fault or change.
    pub kind: String,
    /// Target: a server, a node, discovery or the load.
    pub whom: String,
    /// Start in seconds.
    pub from: f64,
    /// End in seconds.
    pub to: f64,
}

/// Report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Purpose of the scenario.
    pub about: String,
    /// Seed of the run.
    pub seed: u64,
    /// Whether no rule is broken and every expectation is met.
    pub holds: bool,
    /// Duration of the load phase in seconds.
    pub seconds: f64,
    /// Offered load in requests per second.
    pub offered: f64,
    /// Figures of all requests.
    pub all: Figures,
    /// Figures by class name.
    pub classes: BTreeMap<String, Figures>,
    /// Number of tries by outcome.
    pub ends: BTreeMap<&'static str, u64>,
    /// Number of attempts at servers.
    pub attempts: u64,
    /// Number of fetches and writes sent to the database.
    pub fetches: u64,
    /// Lowest share of the priority weight served in time in any second.
    pub worst_second: f64,
    /// Number of breaches by rule.
    pub broken: BTreeMap<String, usize>,
    /// Descriptions of the first breaches, up to a limit.
    pub breaches: Vec<Breach>,
    /// Expectations that are not met.
    pub unmet: Vec<String>,
    /// 99th percentile of the load generator's send delay of first tries, in milliseconds. The
    /// delay is not caused by the node.
    #[serde(rename = "rig_late_ms")]
    pub send_delay_p99_ms: f64,
    /// Warning that the figures are unreliable, if the send delay exceeds its limit.
    #[serde(rename = "doubt")]
    pub warning: Option<String>,
    /// Figures by second.
    pub by_second: Vec<Second>,
    /// Faults, and load changes with a start and an end.
    pub faults: Vec<FaultSpan>,
    /// Maximum number of requests held, by second and server.
    pub held: Vec<Vec<usize>>,
    /// Maximum number of database calls held, by second.
    pub database: Vec<usize>,
}

impl Report {
    /// Creates the report of a run.
    pub fn new(name: &str, scenario: &Scenario, seed: u64, completed_run: &CompletedRun) -> Self {
        let CompletedRun {
            plan,
            record,
            breaches,
            load_duration,
        } = completed_run;
        let sent_count = record.send_delays_us.len();
        let seconds = load_duration.as_secs_f64().min(scenario.seconds.get());
        let tallies = Tallies::of(scenario, plan, record, seconds);
        let by_second = tallies.by_second();
        let peaks = PeakLoads::of(record, by_second.len());
        let send_delay_p99_ms = send_delay_p99_ms(record);
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
            send_delay_p99_ms,
            warning: send_delay_warning(send_delay_p99_ms),
            by_second,
            faults: fault_spans(scenario, record, seconds),
            held: peaks.held,
            database: peaks.database,
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
            // A fault without an end lasts to the end of the run if it persists; otherwise it is
            // instantaneous.
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

/// Counts the breaches of each rule.
fn count_by_rule(breaches: &[Breach]) -> BTreeMap<String, usize> {
    let mut broken = BTreeMap::new();
    for breach in breaches {
        *broken.entry(breach.rule.to_string()).or_insert(0) += 1;
    }
    broken
}

/// Returns a warning about the figures if the load generator's send delay exceeds its limit.
fn send_delay_warning(send_delay_p99_ms: f64) -> Option<String> {
    (send_delay_p99_ms > MAX_SEND_DELAY_MS).then(|| {
        format!(
            "the rig itself sent first tries late ({send_delay_p99_ms:.1} ms at the 99th percentile): its figures are no node's"
        )
    })
}

/// Peak load of the servers and of the database, by second.
struct PeakLoads {
    /// Maximum number of requests held, by second and server.
    held: Vec<Vec<usize>>,
    /// Maximum number of database calls held, by second.
    database: Vec<usize>,
}

impl PeakLoads {
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
