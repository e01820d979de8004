//! Tracks the versions that each node has applied and the time until a change has reached the last
//! node. No I/O and no clock.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Change that every node has to apply, identified by its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Change of the endpoint list, in this version.
    List(u64),
    /// Change of the fleet's configuration, in this version.
    Configuration(u64),
}

/// Cause of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeCause {
    /// Planned change.
    Planned,
    /// Start of a fault.
    FaultBegins,
    /// End of a fault.
    FaultEnds,
}

/// Versions that a node has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AppliedVersions {
    list: u64,
    configuration: u64,
}

impl AppliedVersions {
    fn includes(self, change: Change) -> bool {
        match change {
            Change::List(version) => self.list >= version,
            Change::Configuration(version) => self.configuration >= version,
        }
    }
}

/// Change that at least one node has not applied yet.
#[derive(Debug)]
struct PendingChange {
    change: Change,
    cause: ChangeCause,
    at_us: u64,
    /// Number of nodes that have not applied the change.
    missing: usize,
    /// Latest time at which a node applied the change.
    last_us: u64,
}

/// Propagation times of changes of one kind, in microseconds.
#[derive(Debug)]
pub struct PropagationTimes {
    /// Time until the last node applied the change; one value per change.
    pub until_last_node: Histogram<u64>,
    /// Time until a node applied the change; one value per change and node.
    pub until_each_node: Histogram<u64>,
}

/// Significant digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest recorded time, one hour in microseconds; longer times are recorded as one hour.
const MAX_RECORDED_US: u64 = 3_600_000_000;

fn histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_max(MAX_RECORDED_US, SIGNIFICANT_DIGITS)
}

impl PropagationTimes {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            until_last_node: histogram()?,
            until_each_node: histogram()?,
        })
    }
}

/// Distribution summary of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TimeSummary {
    /// Number of recorded times.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Longest time.
    pub worst_ms: f64,
}

impl TimeSummary {
    /// Summarizes a histogram of times in microseconds.
    pub fn of(times: &Histogram<u64>) -> Self {
        let ms = |us: u64| us as f64 / 1e3;
        Self {
            count: times.len(),
            p50_ms: ms(times.value_at_quantile(0.5)),
            p99_ms: ms(times.value_at_quantile(0.99)),
            worst_ms: ms(times.max()),
        }
    }

    /// Summarizes individual times in microseconds.
    pub fn of_each(
        times: impl IntoIterator<Item = u64>,
    ) -> Result<Self, hdrhistogram::CreationError> {
        let mut all = histogram()?;
        times
            .into_iter()
            .for_each(|time| all.saturating_record(time));
        Ok(Self::of(&all))
    }
}

/// Versions applied by all nodes of the fleet, and the propagation times of changes.
#[derive(Debug)]
pub struct Convergence {
    nodes: Vec<AppliedVersions>,
    newest: AppliedVersions,
    pending: VecDeque<PendingChange>,
    /// Start time of each node that has no list yet.
    starting: BTreeMap<usize, u64>,
    /// Nodes with their time from start to first list, not yet taken by
    /// [`take_start_times`](Self::take_start_times).
    started: Vec<(usize, u64)>,
    list_times: PropagationTimes,
    configuration_times: PropagationTimes,
    fault_times: BTreeMap<ChangeCause, u64>,
}

impl Convergence {
    /// Returns the state of a fleet whose nodes have applied nothing, with a list of version 1.
    pub fn new(nodes: usize) -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            nodes: vec![AppliedVersions::default(); nodes],
            newest: AppliedVersions {
                list: 1,
                configuration: 0,
            },
            pending: VecDeque::new(),
            starting: BTreeMap::new(),
            started: Vec::new(),
            list_times: PropagationTimes::new()?,
            configuration_times: PropagationTimes::new()?,
            fault_times: BTreeMap::new(),
        })
    }

    /// Records the start of a node with this configuration and without a list.
    pub fn node_started(&mut self, node: usize, configuration: u64, at_us: u64) {
        let applied = AppliedVersions {
            list: 0,
            configuration,
        };
        let previous = std::mem::replace(&mut self.nodes[node], applied);
        for pending in &mut self.pending {
            match (
                previous.includes(pending.change),
                applied.includes(pending.change),
            ) {
                (true, false) => pending.missing += 1,
                (false, true) => pending.missing -= 1,
                _ => {}
            }
        }
        self.starting.insert(node, at_us);
    }

    /// Records a published change.
    pub fn change_published(&mut self, change: Change, cause: ChangeCause, at_us: u64) {
        match change {
            Change::List(version) => self.newest.list = version,
            Change::Configuration(version) => self.newest.configuration = version,
        }
        let missing = self
            .nodes
            .iter()
            .filter(|node| !node.includes(change))
            .count();
        self.pending.push_back(PendingChange {
            change,
            cause,
            at_us,
            missing,
            last_us: at_us,
        });
        self.record_completed_changes();
    }

    /// Records the versions that a node has applied; versions below the recorded ones are ignored.
    pub fn versions_applied(&mut self, node: usize, list: u64, configuration: u64, at_us: u64) {
        let previous = self.nodes[node];
        let applied = AppliedVersions {
            list: previous.list.max(list),
            configuration: previous.configuration.max(configuration),
        };
        self.nodes[node] = applied;
        if applied.list > 0 {
            if let Some(started_us) = self.starting.remove(&node) {
                self.started.push((node, at_us.saturating_sub(started_us)));
            }
        }
        for pending in &mut self.pending {
            if applied.includes(pending.change) && !previous.includes(pending.change) {
                pending.missing -= 1;
                pending.last_us = pending.last_us.max(at_us);
                let times = match pending.change {
                    Change::List(_) => &mut self.list_times,
                    Change::Configuration(_) => &mut self.configuration_times,
                };
                if pending.cause == ChangeCause::Planned {
                    times
                        .until_each_node
                        .saturating_record(at_us.saturating_sub(pending.at_us));
                }
            }
        }
        self.record_completed_changes();
    }

    /// Removes pending changes that all nodes have applied, and records their times.
    fn record_completed_changes(&mut self) {
        let is_complete = |pending: &PendingChange| pending.missing == 0;
        while let Some(index) = self.pending.iter().position(is_complete) {
            let Some(pending) = self.pending.remove(index) else {
                return;
            };
            let duration_us = pending.last_us - pending.at_us;
            match (pending.cause, pending.change) {
                (ChangeCause::Planned, Change::List(_)) => self
                    .list_times
                    .until_last_node
                    .saturating_record(duration_us),
                (ChangeCause::Planned, Change::Configuration(_)) => {
                    self.configuration_times
                        .until_last_node
                        .saturating_record(duration_us);
                }
                (cause, _) => {
                    self.fault_times.insert(cause, duration_us);
                }
            }
        }
    }

    /// Returns the number of nodes that have not applied the newest list and configuration.
    pub fn outdated_nodes(&self) -> usize {
        let newest = self.newest;
        let is_current = |node: &&AppliedVersions| {
            node.includes(Change::List(newest.list))
                && node.includes(Change::Configuration(newest.configuration))
        };
        self.nodes.len() - self.nodes.iter().filter(is_current).count()
    }

    /// Returns the number of started nodes that have no list yet.
    pub fn starting_nodes(&self) -> usize {
        self.starting.len()
    }

    /// Takes the nodes that applied their first list since the previous call, each with the
    /// microseconds since its start.
    pub fn take_start_times(&mut self) -> Vec<(usize, u64)> {
        std::mem::take(&mut self.started)
    }

    /// Returns the propagation times of planned list changes.
    pub fn list_times(&self) -> &PropagationTimes {
        &self.list_times
    }

    /// Returns the propagation times of planned configurations.
    pub fn configuration_times(&self) -> &PropagationTimes {
        &self.configuration_times
    }

    /// Returns the microseconds from the change at the start or end of a fault until the last node
    /// applied that change.
    pub fn fault_time(&self, cause: ChangeCause) -> Option<u64> {
        self.fault_times.get(&cause).copied()
    }
}

#[cfg(test)]
mod tests;
