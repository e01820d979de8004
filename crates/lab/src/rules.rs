//! The rules, checked on what stand-ins and clients saw. Nothing here comes from the node under test.

use crate::record::{
    Attempt, AttemptOutcome, AvailabilityChange, End, NodeEvent, ProcessEvent, Record, Try, TryId,
    UnknownRequest,
};
use crate::scenario::{Class, Idempotency};
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::fmt;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Exactly one final answer for each request that a running node has taken.
    OneAnswer,
    /// A request that may have run is sent again only as its class allows.
    Repeats,
    /// Nothing new to a server later than 250 ms after the node was informed that it drains or is gone.
    Drains,
    /// No cold server and no database is pushed over.
    PushedOver,
    /// A refusal says that a repeat is harmless: it may stand only where that is so.
    Refusals,
    /// A node does not end by itself.
    Alive,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OneAnswer => "one final answer",
            Self::Repeats => "repeats as the class allows",
            Self::Drains => "nothing new after a drain",
            Self::PushedOver => "nothing pushed over",
            Self::Refusals => "refusals only where a repeat is harmless",
            Self::Alive => "a node stays alive",
        })
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Which rule.
    pub rule: Rule,
    /// The request, the times and the servers.
    pub what: String,
}

/// Grace past the stated limits on real sockets, in microseconds.
const CLOCK_TOLERANCE: u64 = 50_000;
/// After the node was informed that a server drains or is gone, in microseconds.
const DRAIN_GRACE: u64 = 250_000;
/// A node counts as informed of a change so much later at the latest, whether or not it has asked, in microseconds.
const LATEST_NOTICE: u64 = 6_000_000;
/// A request sent to a node this long before its kill or after its SIGTERM is beyond its power: what SIGKILL
/// finds unanswered, in microseconds.
const STOP_GRACE: u64 = 700_000;
/// Misses at cold servers that are over this share of what pushed the database over break the rule.
const COLD_SHARE: f64 = 0.3;
/// Attempts of a request, at most.
const MAX_ATTEMPTS: usize = 6;

/// Checks a record. `class_of` gives the position of a try's class in `classes`.
pub fn check(record: &Record, classes: &[Class], class_of: impl Fn(TryId) -> usize) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut attempts: HashMap<TryId, Vec<&Attempt>> = HashMap::new();
    for attempt in &record.attempts {
        attempts.entry(attempt.id).or_default().push(attempt);
    }
    let attempts_of = |id: TryId| attempts.get(&id).map_or(&[][..], Vec::as_slice);
    let class_by_id = |id| &classes[class_of(id)];
    for tried in &record.tries {
        answers(record, tried, attempts_of(tried.id), &mut breaches);
        refusals(
            tried,
            attempts_of(tried.id),
            class_by_id(tried.id),
            &mut breaches,
        );
    }
    let mut ids: Vec<_> = attempts.keys().copied().collect();
    ids.sort_unstable();
    for id in ids {
        repeats(id, attempts_of(id), class_by_id(id), &mut breaches);
    }
    unknown_requests(record, &mut breaches);
    drains(record, &mut breaches);
    overloads(record, &mut breaches);
    deaths(record, &mut breaches);
    breaches
}

/// Requests with an id that no client sent.
fn unknown_requests(record: &Record, breaches: &mut Vec<Breach>) {
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

/// Overloads that the nodes could have avoided: of a cold server, or of the database by misses at cold servers.
fn overloads(record: &Record, breaches: &mut Vec<Breach>) {
    for overload in &record.overloads {
        let avoidable = overload.server.is_some() || overload.cold_share > COLD_SHARE;
        if !avoidable {
            continue;
        }
        let who = overload.server.map_or("the database".to_owned(), |server| {
            format!("cold server {server}")
        });
        let what = format!(
            "{who} fell over at {}: sent {:.2} s of work where it can do {:.2} s, {:.0} % of it misses at cold servers",
            milliseconds(overload.at),
            overload.sent,
            overload.capacity,
            overload.cold_share * 100.0
        );
        breaches.push(Breach {
            rule: Rule::PushedOver,
            what,
        });
    }
}

/// Nodes that ended by themselves.
fn deaths(record: &Record, breaches: &mut Vec<Breach>) {
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

/// A try of a request that a running node has taken has exactly one final answer.
fn answers(record: &Record, tried: &Try, attempts: &[&Attempt], breaches: &mut Vec<Breach>) {
    let mut lost = |why: &str| {
        let what = format!(
            "request {} to node {}, sent at {}, {why} at {}; attempts: {}",
            tried.id.text(),
            tried.node,
            milliseconds(tried.sent),
            milliseconds(tried.ended),
            describe_all(attempts)
        );
        breaches.push(Breach {
            rule: Rule::OneAnswer,
            what,
        });
    };
    match tried.end {
        End::UnmatchedBody => lost("was served with what no server made for it,"),
        End::DuplicateResponse => lost("had more than one answer,"),
        // The first request on a connection that closes without a word has failed and is not lost. On a kept one
        // the close may have crossed a request that the node has not read: one that reached a server was read.
        End::ConnectionLost { begun } if !explained_by_node_exit(record, tried) => {
            if !begun
                && (tried.first_on_connection
                    || attempts
                        .iter()
                        .all(|attempt| attempt.first_byte_at > tried.ended))
            {
                return;
            }
            lost("lost its connection before a whole answer,");
        }
        _ => {}
    }
}

/// Whether the node's own end explains a connection that broke.
fn explained_by_node_exit(record: &Record, tried: &Try) -> bool {
    record.node_events.iter().any(
        |NodeEvent {
             node, event, at, ..
         }| {
            *node == tried.node
                && match event {
                    ProcessEvent::Killed => {
                        *at + CLOCK_TOLERANCE >= tried.sent && *at <= tried.ended + CLOCK_TOLERANCE
                    }
                    // What it takes longer than it has is not its own loss.
                    ProcessEvent::Terminating => tried.sent > *at + STOP_GRACE,
                    ProcessEvent::Died => *at <= tried.ended + CLOCK_TOLERANCE,
                    ProcessEvent::Ready | ProcessEvent::Exited => false,
                }
        },
    )
}

fn refusals(tried: &Try, attempts: &[&Attempt], class: &Class, breaches: &mut Vec<Breach>) {
    let End::Refused { .. } = tried.end else {
        return;
    };
    let ran = attempts.iter().find(|attempt| {
        attempt.outcome == AttemptOutcome::Ran && attempt.received_at <= tried.ended
    });
    if let Some(ran) = ran.filter(|_| class.idempotency == Idempotency::NonIdempotent) {
        let what = format!(
            "request {} of class {} was refused at {}, but server {} had it from {} on",
            tried.id.text(),
            class.name,
            milliseconds(tried.ended),
            ran.server,
            milliseconds(ran.received_at)
        );
        breaches.push(Breach {
            rule: Rule::Refusals,
            what,
        });
    }
}

fn repeats(id: TryId, attempts: &[&Attempt], class: &Class, breaches: &mut Vec<Breach>) {
    let mut in_order = attempts.to_vec();
    in_order.sort_by_key(|attempt| attempt.received_at);
    let mut broken = |what: String| {
        let what = format!(
            "request {} of class {} {what}; attempts: {}",
            id.text(),
            class.name,
            describe_all(&in_order)
        );
        breaches.push(Breach {
            rule: Rule::Repeats,
            what,
        });
    };
    if in_order.len() > MAX_ATTEMPTS {
        broken(format!(
            "had {} attempts, {MAX_ATTEMPTS} at most",
            in_order.len()
        ));
    }
    // One that was dropped unseen may not have run, but its node could not know.
    let Some(ran) = in_order
        .iter()
        .find(|attempt| attempt.outcome != AttemptOutcome::Declined)
    else {
        return;
    };
    let again = in_order
        .iter()
        .filter(|attempt| attempt.received_at > ran.received_at || attempt.server != ran.server);
    for again in again.filter(|again| again.outcome != AttemptOutcome::Declined) {
        let limit = match class.idempotency {
            Idempotency::Idempotent => continue,
            Idempotency::NonIdempotent => 0,
            Idempotency::Keyed => (class.repeat_window_s.get() * 1e6) as u64 + CLOCK_TOLERANCE,
        };
        if again.received_at.saturating_sub(ran.first_byte_at) >= limit {
            broken(format!(
                "went to server {} again at {}",
                again.server,
                milliseconds(again.received_at)
            ));
            return;
        }
    }
}

fn drains(record: &Record, breaches: &mut Vec<Breach>) {
    // What was last reported at each time, by node and server.
    let mut reported: HashMap<(usize, usize), Vec<(u64, bool)>> = HashMap::new();
    for notice in &record.notices {
        reported
            .entry((notice.node, notice.server))
            .or_default()
            .push((notice.at, notice.ready));
    }
    let nodes: HashSet<usize> = record.attempts.iter().map(|attempt| attempt.node).collect();
    for &AvailabilityChange { server, ready, at } in &record.availability_changes {
        let later = |other: &AvailabilityChange| {
            other.server == server && other.at > at && other.at <= at + LATEST_NOTICE
        };
        if !record.availability_changes.iter().any(later) {
            nodes.iter().for_each(|&node| {
                reported
                    .entry((node, server))
                    .or_default()
                    .push((at + LATEST_NOTICE, ready))
            });
        }
    }
    reported
        .values_mut()
        .for_each(|reports| reports.sort_by_key(|(at, _)| *at));
    // A node that starts again has forgotten what was reported to it.
    let mut starts: HashMap<usize, Vec<u64>> = HashMap::new();
    for event in record
        .node_events
        .iter()
        .filter(|event| event.event == ProcessEvent::Ready)
    {
        starts.entry(event.node).or_default().push(event.at);
    }
    let mut named = HashSet::new();
    for attempt in &record.attempts {
        let Some(reports) = reported.get(&(attempt.node, attempt.server)) else {
            continue;
        };
        // The last report before the send, and since when it has been the same.
        let before = &reports[..reports.partition_point(|(at, _)| *at <= attempt.first_byte_at)];
        let since = before.iter().rev().take_while(|(_, ready)| !ready).last();
        let Some((at, _)) = since else { continue };
        let forgotten = starts.get(&attempt.node).is_some_and(|all| {
            all.iter()
                .any(|start| start > at && *start <= attempt.first_byte_at)
        });
        if attempt.first_byte_at > at + DRAIN_GRACE + CLOCK_TOLERANCE
            && !forgotten
            && named.insert(attempt.id)
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

fn describe_all(attempts: &[&Attempt]) -> String {
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
