//! What happens when in a run: planned changes, new configurations and a fault. No I/O and no clock.

use crate::list_protocol::Availability;
use crate::scale::directory::EndpointChange;
use crate::scale::options::{FaultKind, Options};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A change of the list.
    ListChange,
    /// A new configuration for the fleet.
    Configuration,
}

/// A point of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultStep {
    /// It begins.
    Begin(FaultKind),
    /// It ends.
    End(FaultKind),
}

/// The time line.
#[derive(Debug)]
pub struct Schedule {
    steps: VecDeque<(Duration, Step)>,
    fault: VecDeque<(Duration, FaultStep)>,
}

impl Schedule {
    /// Of a run: changes of a kind are evenly apart.
    pub fn new(options: &Options) -> Self {
        let lists = evenly(
            options.planned_list_changes(),
            options.list_changes,
            Step::ListChange,
        );
        let configurations = evenly(
            options.planned_configurations(),
            options.configurations,
            Step::Configuration,
        );
        let mut steps: Vec<_> = lists.chain(configurations).collect();
        // Stable: of two at the same time the list's comes first, each time.
        steps.sort_by_key(|(due, _)| *due);
        let fault = options.fault.map(|fault| {
            let begin = (
                Duration::from_secs_f64(fault.at_s),
                FaultStep::Begin(fault.kind),
            );
            let end = Duration::from_secs_f64(fault.at_s + fault.for_s);
            let ends = fault.kind != FaultKind::RestartTenth;
            [begin]
                .into_iter()
                .chain(ends.then_some((end, FaultStep::End(fault.kind))))
        });
        Self {
            steps: steps.into(),
            fault: fault.into_iter().flatten().collect(),
        }
    }

    /// The next change that is due.
    pub fn next_step(&mut self, now: Duration) -> Option<Step> {
        next(&mut self.steps, now)
    }

    /// The next point of the fault that is due.
    pub fn next_fault(&mut self, now: Duration) -> Option<FaultStep> {
        next(&mut self.fault, now)
    }

    /// Whether nothing is left.
    pub fn is_over(&self) -> bool {
        self.steps.is_empty() && self.fault.is_empty()
    }
}

fn evenly(count: usize, rate: f64, step: Step) -> impl Iterator<Item = (Duration, Step)> {
    // In the middle of its part of the time: the first one leaves the fleet a moment, the last one too.
    (0..count).map(move |i| (Duration::from_secs_f64((i as f64 + 0.5) / rate), step))
}

fn next<T>(due: &mut VecDeque<(Duration, T)>, now: Duration) -> Option<T> {
    if due.front().is_some_and(|(at, _)| *at <= now) {
        due.pop_front().map(|(_, it)| it)
    } else {
        None
    }
}

/// Draws what the steps do, from the run's seed.
#[derive(Debug)]
pub struct ChangeGenerator {
    random: StdRng,
    availability: Vec<Availability>,
    zones: usize,
    nodes: usize,
}

/// Of all nodes, this part is restarted.
const RESTARTED_PART: usize = 10;

impl ChangeGenerator {
    /// Of a run.
    pub fn new(options: &Options) -> Self {
        Self {
            random: StdRng::seed_from_u64(options.seed),
            availability: vec![Availability::Ready; options.servers],
            zones: options.zones,
            nodes: options.nodes(),
        }
    }

    /// A change of the list: one server begins to drain, or is ready again. The last one that is ready stays so, and is
    /// only listed anew.
    pub fn list_change(&mut self) -> Vec<EndpointChange> {
        let listed: Vec<_> = (0..self.availability.len())
            .filter(|&i| self.availability[i] != Availability::Removed)
            .collect();
        let server = listed[self.random.random_range(0..listed.len())];
        let ready = self
            .availability
            .iter()
            .filter(|availability| **availability == Availability::Ready)
            .count();
        let drains = self.availability[server] == Availability::Ready && ready > 1;
        self.set(
            server,
            if drains {
                Availability::Draining
            } else {
                Availability::Ready
            },
            None,
        )
    }

    /// The servers of the first zone are gone.
    pub fn lose_zone(&mut self) -> Vec<EndpointChange> {
        self.zone()
            .flat_map(|server| self.set(server, Availability::Removed, None))
            .collect()
    }

    /// The servers of the first zone are back, and start anew at this Unix time in milliseconds.
    pub fn return_zone(&mut self, now_ms: u64) -> Vec<EndpointChange> {
        self.zone()
            .flat_map(|server| self.set(server, Availability::Ready, Some(now_ms)))
            .collect()
    }

    /// A tenth of the nodes, one at least.
    pub fn tenth(&mut self) -> Vec<usize> {
        let mut nodes: Vec<_> = (0..self.nodes).collect();
        nodes.shuffle(&mut self.random);
        nodes.truncate(self.nodes.div_ceil(RESTARTED_PART));
        nodes.sort_unstable();
        nodes
    }

    fn zone(&self) -> impl Iterator<Item = usize> {
        (0..self.availability.len()).step_by(self.zones)
    }

    fn set(
        &mut self,
        server: usize,
        availability: Availability,
        started_ms: Option<u64>,
    ) -> Vec<EndpointChange> {
        self.availability[server] = availability;
        vec![EndpointChange {
            server,
            availability,
            started_ms,
        }]
    }
}

#[cfg(test)]
mod tests;
