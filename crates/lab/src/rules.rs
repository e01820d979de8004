//! Checks a run against the rules, on the observations of the clients and of the simulated servers
//! and discovery. Data that the node under test reports about itself is not used.

use crate::record::{
    Attempt, AttemptOutcome, AvailabilityChange, NodeEvent, ProcessEvent, Record, Try, TryId,
    TryOutcome, UnknownRequest,
};
use crate::scenario::{Class, Idempotency};
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::fmt;

/// Rule that each run must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each request that a running node has accepted gets exactly one final response.
    OneAnswer,
    /// A request that may have run is repeated only as its class allows.
    Repeats,
    /// A node sends no new request to a server later than 250 ms after the notice that the server
    /// drains or has left.
    Drains,
    /// The nodes overload no cold server and no database.
    #[serde(rename = "pushed_over")]
    Overloads,
    /// A request is refused only where a repeat is harmless, since a client may repeat a refused
    /// request.
    Refusals,
    /// A node does not exit on its own.
    Alive,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OneAnswer => "one final answer",
            Self::Repeats => "repeats as the class allows",
            Self::Drains => "nothing new after a drain",
            Self::Overloads => "nothing pushed over",
            Self::Refusals => "refusals only where a repeat is harmless",
            Self::Alive => "a node stays alive",
        })
    }
}

/// Breach of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// The broken rule.
    pub rule: Rule,
    /// Description with the request, the times and the servers.
    pub what: String,
}

/// Tolerance past each time limit, in microseconds: real sockets add delays.
const CLOCK_TOLERANCE: u64 = 50_000;
/// Time after the notice of a drain or removal during which a node may still send to the server, in
/// microseconds.
const DRAIN_GRACE: u64 = 250_000;
/// Longest delay of a notice, in microseconds: a node then counts as informed of a change, whether
/// or not it has requested the list.
const LATEST_NOTICE: u64 = 6_000_000;
/// Time after SIGTERM during which a node must still respond to new requests, in microseconds.
/// Later requests are excused, since SIGKILL may end the node before the response.
const STOP_GRACE: u64 = 700_000;
/// An overload of the database is a breach when misses at cold servers exceed this share of its
/// work.
const MAX_COLD_SHARE: f64 = 0.3;
/// Maximum number of attempts of a try.
const MAX_ATTEMPTS: usize = 6;

/// Checks a record against all rules. `class_of` returns the index of a try's class in `classes`.
pub fn check(record: &Record, classes: &[Class], class_of: impl Fn(TryId) -> usize) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut attempts: HashMap<TryId, Vec<&Attempt>> = HashMap::new();
    for attempt in &record.attempts {
        attempts.entry(attempt.id).or_default().push(attempt);
    }
    let attempts_of = |id: TryId| attempts.get(&id).map_or(&[][..], Vec::as_slice);
    let class_by_id = |id| &classes[class_of(id)];
    for try_record in &record.tries {
        check_responses(
            record,
            try_record,
            attempts_of(try_record.id),
            &mut breaches,
        );
        check_refusals(
            try_record,
            attempts_of(try_record.id),
            class_by_id(try_record.id),
            &mut breaches,
        );
    }
    let mut ids: Vec<_> = attempts.keys().copied().collect();
    ids.sort_unstable();
    for id in ids {
        check_repeats(id, attempts_of(id), class_by_id(id), &mut breaches);
    }
    check_unknown_requests(record, &mut breaches);
    check_drains(record, &mut breaches);
    check_overloads(record, &mut breaches);
    check_exits(record, &mut breaches);
    breaches
}

/// Reports each request with an id that no client sent.
fn check_unknown_requests(record: &Record, breaches: &mut Vec<Breach>) {
    for UnknownRequest { server, id, at } in &record.unknown_requests {
        let what = format!(
            "server {server} got a request with id {id:?} at {}, which no client sent",
            milliseconds(*at)
        );
        breaches.push(Breach {
            rule: Rule::Repeats,
            what,
        });
    }
}

/// Reports each overload that the nodes could have avoided: of a cold server, or of the database by
/// misses at cold servers.
fn check_overloads(record: &Record, breaches: &mut Vec<Breach>) {
    for overload in &record.overloads {
        let avoidable = overload.server.is_some() || overload.cold_share > MAX_COLD_SHARE;
        if !avoidable {
            continue;
        }
        let overloaded = overload.server.map_or("the database".to_owned(), |server| {
            format!("cold server {server}")
        });
        let what = format!(
            "{overloaded} fell over at {}: sent {:.2} s of work where it can do {:.2} s, {:.0} % of it misses at cold servers",
            milliseconds(overload.at),
            overload.sent,
            overload.capacity,
            overload.cold_share * 100.0
        );
        breaches.push(Breach {
            rule: Rule::Overloads,
            what,
        });
    }
}

/// Reports each node that exited on its own.
fn check_exits(record: &Record, breaches: &mut Vec<Breach>) {
    for NodeEvent {
        node,
        event,
        at,
        detail,
    } in &record.node_events
    {
        if *event == ProcessEvent::Died {
            breaches.push(Breach {
                rule: Rule::Alive,
                what: format!("node {node} ended at {}: {detail}", milliseconds(*at)),
            });
        }
    }
}

/// Checks that a try that a running node has accepted has exactly one final response.
fn check_responses(
    record: &Record,
    try_record: &Try,
    attempts: &[&Attempt],
    breaches: &mut Vec<Breach>,
) {
    let mut report_breach = |reason: &str| {
        let what = format!(
            "request {} to node {}, sent at {}, {reason} at {}; attempts: {}",
            try_record.id.text(),
            try_record.node,
            milliseconds(try_record.sent),
            milliseconds(try_record.ended),
            describe_attempts(attempts)
        );
        breaches.push(Breach {
            rule: Rule::OneAnswer,
            what,
        });
    };
    match try_record.end {
        TryOutcome::UnmatchedBody => report_breach("was served with what no server made for it,"),
        TryOutcome::DuplicateResponse => report_breach("had more than one answer,"),
        // A close before any response bytes is excused for the first request on a connection, which
        // counts as failed and not as lost. On a reused connection the close may have crossed a
        // request that the node had not read; a request that had reached a server was read.
        TryOutcome::ConnectionLost { partial } if !explained_by_node_exit(record, try_record) => {
            if !partial
                && (try_record.first_on_connection
                    || attempts
                        .iter()
                        .all(|attempt| attempt.first_byte_at > try_record.ended))
            {
                return;
            }
            report_breach("lost its connection before a whole answer,");
        }
        _ => {}
    }
}

/// Returns whether the end of the node process explains a lost connection.
fn explained_by_node_exit(record: &Record, try_record: &Try) -> bool {
    record.node_events.iter().any(
        |NodeEvent {
             node, event, at, ..
         }| {
            *node == try_record.node
                && match event {
                    ProcessEvent::Killed => {
                        *at + CLOCK_TOLERANCE >= try_record.sent
                            && *at <= try_record.ended + CLOCK_TOLERANCE
                    }
                    // A request sent later than this may be cut off by SIGKILL.
                    ProcessEvent::Terminating => try_record.sent > *at + STOP_GRACE,
                    ProcessEvent::Died => *at <= try_record.ended + CLOCK_TOLERANCE,
                    ProcessEvent::Ready | ProcessEvent::Exited => false,
                }
        },
    )
}

fn check_refusals(
    try_record: &Try,
    attempts: &[&Attempt],
    class: &Class,
    breaches: &mut Vec<Breach>,
) {
    let TryOutcome::Refused { .. } = try_record.end else {
        return;
    };
    let ran = attempts.iter().find(|attempt| {
        attempt.outcome == AttemptOutcome::Ran && attempt.received_at <= try_record.ended
    });
    if let Some(ran) = ran.filter(|_| class.idempotency == Idempotency::NonIdempotent) {
        let what = format!(
            "request {} of class {} was refused at {}, but server {} had it from {} on",
            try_record.id.text(),
            class.name,
            milliseconds(try_record.ended),
            ran.server,
            milliseconds(ran.received_at)
        );
        breaches.push(Breach {
            rule: Rule::Refusals,
            what,
        });
    }
}

fn check_repeats(id: TryId, attempts: &[&Attempt], class: &Class, breaches: &mut Vec<Breach>) {
    let mut in_order = attempts.to_vec();
    in_order.sort_by_key(|attempt| attempt.received_at);
    let mut report_repeat = |what: String| {
        let what = format!(
            "request {} of class {} {what}; attempts: {}",
            id.text(),
            class.name,
            describe_attempts(&in_order)
        );
        breaches.push(Breach {
            rule: Rule::Repeats,
            what,
        });
    };
    if in_order.len() > MAX_ATTEMPTS {
        report_repeat(format!(
            "had {} attempts, {MAX_ATTEMPTS} at most",
            in_order.len()
        ));
    }
    // A dropped attempt counts as run, since no message tells the node that the server dropped it.
    let Some(ran) = in_order
        .iter()
        .find(|attempt| attempt.outcome != AttemptOutcome::Declined)
    else {
        return;
    };
    let later_attempts = in_order
        .iter()
        .filter(|attempt| attempt.received_at > ran.received_at || attempt.server != ran.server);
    for repeat in later_attempts.filter(|repeat| repeat.outcome != AttemptOutcome::Declined) {
        let limit = match class.idempotency {
            Idempotency::Idempotent => continue,
            Idempotency::NonIdempotent => 0,
            Idempotency::Keyed => (class.repeat_window_s.get() * 1e6) as u64 + CLOCK_TOLERANCE,
        };
        if repeat.received_at.saturating_sub(ran.first_byte_at) >= limit {
            report_repeat(format!(
                "went to server {} again at {}",
                repeat.server,
                milliseconds(repeat.received_at)
            ));
            return;
        }
    }
}

fn check_drains(record: &Record, breaches: &mut Vec<Breach>) {
    // Availability reports (time, ready) by node and server.
    let mut reports_by_pair: HashMap<(usize, usize), Vec<(u64, bool)>> = HashMap::new();
    for notice in &record.notices {
        reports_by_pair
            .entry((notice.node, notice.server))
            .or_default()
            .push((notice.at, notice.ready));
    }
    let nodes: HashSet<usize> = record.attempts.iter().map(|attempt| attempt.node).collect();
    for &AvailabilityChange { server, ready, at } in &record.availability_changes {
        let supersedes = |other: &AvailabilityChange| {
            other.server == server && other.at > at && other.at <= at + LATEST_NOTICE
        };
        if !record.availability_changes.iter().any(supersedes) {
            nodes.iter().for_each(|&node| {
                reports_by_pair
                    .entry((node, server))
                    .or_default()
                    .push((at + LATEST_NOTICE, ready))
            });
        }
    }
    reports_by_pair
        .values_mut()
        .for_each(|reports| reports.sort_by_key(|(at, _)| *at));
    // A restarted node has lost the earlier reports.
    let mut starts: HashMap<usize, Vec<u64>> = HashMap::new();
    for event in record
        .node_events
        .iter()
        .filter(|event| event.event == ProcessEvent::Ready)
    {
        starts.entry(event.node).or_default().push(event.at);
    }
    let mut reported_tries = HashSet::new();
    for attempt in &record.attempts {
        let Some(reports) = reports_by_pair.get(&(attempt.node, attempt.server)) else {
            continue;
        };
        // The first of the consecutive "not ready" reports that immediately precede the send.
        let earlier_reports =
            &reports[..reports.partition_point(|(at, _)| *at <= attempt.first_byte_at)];
        let drained = earlier_reports
            .iter()
            .rev()
            .take_while(|(_, ready)| !ready)
            .last();
        let Some((at, _)) = drained else { continue };
        let restarted_since = starts.get(&attempt.node).is_some_and(|all| {
            all.iter()
                .any(|start| start > at && *start <= attempt.first_byte_at)
        });
        if attempt.first_byte_at > at + DRAIN_GRACE + CLOCK_TOLERANCE
            && !restarted_since
            && reported_tries.insert(attempt.id)
        {
            let what = format!(
                "node {} sent request {} to server {} at {}, told at {} to send nothing new there",
                attempt.node,
                attempt.id.text(),
                attempt.server,
                milliseconds(attempt.first_byte_at),
                milliseconds(*at)
            );
            breaches.push(Breach {
                rule: Rule::Drains,
                what,
            });
        }
    }
}

fn describe_attempts(attempts: &[&Attempt]) -> String {
    let describe = |attempt: &&Attempt| {
        format!(
            "server {} at {} ({})",
            attempt.server,
            milliseconds(attempt.received_at),
            format!("{:?}", attempt.outcome).to_lowercase()
        )
    };
    if attempts.is_empty() {
        return "none".to_owned();
    }
    attempts.iter().map(describe).collect::<Vec<_>>().join(", ")
}

fn milliseconds(us: u64) -> String {
    format!("{:.1} ms", us as f64 / 1e3)
}

#[cfg(test)]
mod tests;
