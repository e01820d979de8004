//! Timeline of a run: planned list changes, new configurations and a fault. No I/O and no clock.

use crate::list_protocol::Availability;
use crate::scale::endpoint_list::EndpointChange;
use crate::scale::options::{FaultKind, Options};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;

/// Planned step of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Change of the endpoint list.
    ListChange,
    /// New configuration for the whole fleet.
    Configuration,
}

/// Start or end of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultStep {
    /// The fault begins.
    Begin(FaultKind),
    /// The fault ends.
    End(FaultKind),
}

/// Planned steps and fault steps, ordered by due time.
#[derive(Debug)]
pub struct Schedule {
    steps: VecDeque<(Duration, Step)>,
    fault: VecDeque<(Duration, FaultStep)>,
}

impl Schedule {
    /// Plans a run. Steps of the same kind are evenly spaced.
    pub fn new(options: &Options) -> Self {
        let lists = evenly_spaced(
            options.planned_list_changes(),
            options.list_changes,
            Step::ListChange,
        );
        let configurations = evenly_spaced(
            options.planned_configurations(),
            options.configurations,
            Step::Configuration,
        );
        let mut steps: Vec<_> = lists.chain(configurations).collect();
        // Stable sort: of two steps due at the same time, the list change always comes first.
        steps.sort_by_key(|(due, _)| *due);
        let fault = options.fault.map(|fault| {
            let begin = (
                Duration::from_secs_f64(fault.at_s),
                FaultStep::Begin(fault.kind),
            );
            let end = Duration::from_secs_f64(fault.at_s + fault.for_s);
            let has_end = fault.kind != FaultKind::RestartTenth;
            [begin]
                .into_iter()
                .chain(has_end.then_some((end, FaultStep::End(fault.kind))))
        });
        Self {
            steps: steps.into(),
            fault: fault.into_iter().flatten().collect(),
        }
    }

    /// Removes and returns the next planned step that is due at `now`.
    pub fn next_step(&mut self, now: Duration) -> Option<Step> {
        pop_due(&mut self.steps, now)
    }

    /// Removes and returns the next fault step that is due at `now`.
    pub fn next_fault(&mut self, now: Duration) -> Option<FaultStep> {
        pop_due(&mut self.fault, now)
    }

    /// Checks whether no step is left.
    pub fn is_finished(&self) -> bool {
        self.steps.is_empty() && self.fault.is_empty()
    }
}

fn evenly_spaced(count: usize, rate: f64, step: Step) -> impl Iterator<Item = (Duration, Step)> {
    // Each step is due in the middle of its interval, which leaves the fleet time before the first
    // step and after the last one.
    (0..count).map(move |i| (Duration::from_secs_f64((i as f64 + 0.5) / rate), step))
}

fn pop_due<T>(timeline: &mut VecDeque<(Duration, T)>, now: Duration) -> Option<T> {
    if timeline.front().is_some_and(|(at, _)| *at <= now) {
        timeline.pop_front().map(|(_, item)| item)
    } else {
        None
    }
}

/// Draws the content of the steps from the run's seed.
#[derive(Debug)]
pub struct ChangeGenerator {
    random: StdRng,
    availability: Vec<Availability>,
    zones: usize,
    nodes: usize,
}

/// A restart fault restarts one in this many nodes.
const RESTART_DIVISOR: usize = 10;

impl ChangeGenerator {
    /// Returns the generator of a run.
    pub fn new(options: &Options) -> Self {
        Self {
            random: StdRng::seed_from_u64(options.seed),
            availability: vec![Availability::Ready; options.servers],
            zones: options.zones,
            nodes: options.nodes(),
        }
    }

    /// Draws a list change: one server starts to drain or becomes ready again. The last ready
    /// server stays ready; its entry is only published again.
    pub fn list_change(&mut self) -> Vec<EndpointChange> {
        let listed_servers: Vec<_> = (0..self.availability.len())
            .filter(|&i| self.availability[i] != Availability::Removed)
            .collect();
        let server = listed_servers[self.random.random_range(0..listed_servers.len())];
        let ready_servers = self
            .availability
            .iter()
            .filter(|availability| **availability == Availability::Ready)
            .count();
        let starts_draining = self.availability[server] == Availability::Ready && ready_servers > 1;
        self.set_availability(
            server,
            if starts_draining {
                Availability::Draining
            } else {
                Availability::Ready
            },
            None,
        )
    }

    /// Removes the servers of the first zone from the list.
    pub fn remove_zone(&mut self) -> Vec<EndpointChange> {
        self.first_zone_servers()
            .flat_map(|server| self.set_availability(server, Availability::Removed, None))
            .collect()
    }

    /// Restores the servers of the first zone, with this start time in Unix milliseconds.
    pub fn restore_zone(&mut self, now_ms: u64) -> Vec<EndpointChange> {
        self.first_zone_servers()
            .flat_map(|server| self.set_availability(server, Availability::Ready, Some(now_ms)))
            .collect()
    }

    /// Draws a tenth of the nodes, rounded up to at least one, in ascending order.
    pub fn nodes_to_restart(&mut self) -> Vec<usize> {
        let mut nodes: Vec<_> = (0..self.nodes).collect();
        nodes.shuffle(&mut self.random);
        nodes.truncate(self.nodes.div_ceil(RESTART_DIVISOR));
        nodes.sort_unstable();
        nodes
    }

    fn first_zone_servers(&self) -> impl Iterator<Item = usize> {
        (0..self.availability.len()).step_by(self.zones)
    }

    fn set_availability(
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
