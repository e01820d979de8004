//! Properties of the connection table and its budget, over random sequences of events.

mod common;
#[path = "../../policy/tests/common/events.rs"]
mod events;

use common::{address, ms};
use events::{check, Step};
use slatelink_admission::{
    Budget, ConnectionKind, ConnectionLimits, ConnectionTable, Directive, Phase, Quota,
};
use std::time::Duration;

const MAX_DESCRIPTORS: usize = 12;
const MAX_BYTES: usize = 40_000;
const MAX_PER_CLASS: usize = 3;
/// Bytes of a request, for each millisecond of its client's deadline: a random number that the steps have at hand.
const REQUEST_BYTES_PER_MS: usize = 20;

/// A table, and the requests that should be in flight.
struct Run {
    table: ConnectionTable,
    budget: Budget,
    now: Duration,
    /// Connection and class of each.
    in_flight: Vec<(u32, usize)>,
}

impl Run {
    fn new() -> Self {
        let quota = |reserved| Quota {
            reserved,
            limit: MAX_DESCRIPTORS,
        };
        let quotas = [quota(4), quota(2), quota(0)];
        let limits = ConnectionLimits {
            keep_alive_limit: 8,
            idle_timeout: ms(500),
            active_bytes: 4_000,
            parked_bytes: 100,
            per_class: vec![Some(MAX_PER_CLASS); 4],
            ..ConnectionLimits::default()
        };
        Self {
            table: ConnectionTable::new(limits),
            budget: Budget::new(MAX_DESCRIPTORS, quotas, MAX_BYTES).expect("the quotas fit"),
            now: Duration::ZERO,
            in_flight: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::SendRequest {
                class, timeout_ms, ..
            } => self.request(*class, *timeout_ms as usize * REQUEST_BYTES_PER_MS),
            Step::EndAttempt { index, .. } if !self.in_flight.is_empty() => {
                let (id, _) = self.in_flight.remove(index % self.in_flight.len());
                self.table.on_response(self.now, id);
                self.table.on_flushed(self.now, id);
            }
            Step::Disconnect { index } if !self.in_flight.is_empty() => {
                let (id, _) = self.in_flight.remove(index % self.in_flight.len());
                self.table.remove(id);
                self.table.remove(id);
            }
            Step::Advance { ms: time } => self.pass_time(ms(*time)),
            _ => {}
        }
    }

    fn request(&mut self, class: usize, bytes: usize) {
        let Ok(lease) = self.budget.lease(ConnectionKind::Client) else {
            return;
        };
        let id = self.table.insert(self.now, address(1), lease);
        if self.table.on_readable(self.now, id).is_err() {
            self.table.remove(id);
            return;
        }
        self.table.on_bytes_read(self.now, id);
        self.table.on_request_head(self.now, id);
        self.table.reserve_request_bytes(id, bytes);
        let before = self
            .in_flight
            .iter()
            .filter(|(_, other)| *other == class)
            .count();
        assert_eq!(
            self.table.on_request(self.now, id, class),
            before >= MAX_PER_CLASS,
            "the class has {before} requests in flight"
        );
        self.in_flight.push((id, class));
    }

    fn pass_time(&mut self, time: Duration) {
        self.now += time;
        let mut woken = Vec::new();
        while !self.table.advance(self.now, 3, &mut woken) {}
        for id in woken {
            match self.table.directive(id) {
                Directive::Park => self.table.on_parked(id),
                Directive::Finish | Directive::Abort => {
                    assert!(
                        self.in_flight.iter().all(|(other, _)| *other != id),
                        "{id} has a request in flight, and is told to close"
                    );
                    self.table.remove(id);
                }
                Directive::Continue => {}
            }
        }
    }

    fn check(&self) {
        let usage = self.budget.usage();
        assert!(
            usage.bytes <= MAX_BYTES && usage.descriptors[0] == self.table.len(),
            "{usage:?} of {} connections",
            self.table.len()
        );
        assert_eq!(
            self.table.stats().phases[Phase::Processing as usize],
            self.in_flight.len()
        );
    }

    fn remove_all(mut self) {
        let ids: Vec<_> = self.table.ids().collect();
        for id in ids {
            self.table.remove(id);
        }
        assert_eq!(self.budget.usage(), Default::default());
    }
}

// Each request in flight is counted until its one end, nothing is leased beyond the budget, and all of it is given back
// when every connection is removed. The same sequences are played against the decision module and the node.
#[test]
fn every_request_ends_once_and_the_budget_is_whole_again() {
    check(0..6, 60, 300, |_, steps| {
        let mut run = Run::new();
        for step in steps {
            run.step(step);
            run.check();
        }
        run.remove_all();
    });
}
