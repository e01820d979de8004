//! Which node has which version in force, and how long a change takes to the last of them. No I/O and no clock.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// What changed, with the version that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The list.
    List(u64),
    /// The fleet's configuration.
    Configuration(u64),
}

/// What a change is part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeCause {
    /// The planned changes.
    Planned,
    /// The begin of a fault.
    FaultBegins,
    /// The end of a fault.
    FaultEnds,
}

/// What a node has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct InForce {
    list: u64,
    configuration: u64,
}

impl InForce {
    fn has(self, change: Change) -> bool {
        match change {
            Change::List(version) => self.list >= version,
            Change::Configuration(version) => self.configuration >= version,
        }
    }
}

/// A change that some node does not have yet.
#[derive(Debug)]
struct Pending {
    change: Change,
    cause: ChangeCause,
    at_us: u64,
    missing: usize,
    last_us: u64,
}

/// Times of changes of one kind, in microseconds.
#[derive(Debug)]
pub struct Times {
    /// To the last node, of each change.
    pub to_last: Histogram<u64>,
    /// To each node, of each change.
    pub to_each: Histogram<u64>,
}

/// Significant digits that times are recorded to.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The longest time recorded, an hour in microseconds; a longer one counts as this.
const MAX_RECORDED_US: u64 = 3_600_000_000;

fn histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_max(MAX_RECORDED_US, SIGNIFICANT_DIGITS)
}

impl Times {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            to_last: histogram()?,
            to_each: histogram()?,
        })
    }
}

/// A summary of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TimeSummary {
    /// How many there are.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The longest.
    pub worst_ms: f64,
}

impl TimeSummary {
    /// Of times in microseconds.
    pub fn of(times: &Histogram<u64>) -> Self {
        let ms = |us: u64| us as f64 / 1e3;
        Self {
            count: times.len(),
            p50_ms: ms(times.value_at_quantile(0.5)),
            p99_ms: ms(times.value_at_quantile(0.99)),
            worst_ms: ms(times.max()),
        }
    }

    /// Of times in microseconds.
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

/// The whole fleet.
#[derive(Debug)]
pub struct Convergence {
    nodes: Vec<InForce>,
    newest: InForce,
    pending: VecDeque<Pending>,
    /// When each node that has no list yet was started.
    starting: BTreeMap<usize, u64>,
    started: Vec<(usize, u64)>,
    lists: Times,
    configurations: Times,
    fault_times: BTreeMap<ChangeCause, u64>,
}

impl Convergence {
    /// A fleet of so many nodes that have nothing yet, and a list of version 1.
    pub fn new(nodes: usize) -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            nodes: vec![InForce::default(); nodes],
            newest: InForce {
                list: 1,
                configuration: 0,
            },
            pending: VecDeque::new(),
            starting: BTreeMap::new(),
            started: Vec::new(),
            lists: Times::new()?,
            configurations: Times::new()?,
            fault_times: BTreeMap::new(),
        })
    }

    /// A node starts under this configuration, with no list in force.
    pub fn starts(&mut self, node: usize, configuration: u64, at_us: u64) {
        let has = InForce {
            list: 0,
            configuration,
        };
        let had = std::mem::replace(&mut self.nodes[node], has);
        for pending in &mut self.pending {
            match (had.has(pending.change), has.has(pending.change)) {
                (true, false) => pending.missing += 1,
                (false, true) => pending.missing -= 1,
                _ => {}
            }
        }
        self.starting.insert(node, at_us);
    }

    /// Something changed.
    pub fn changed(&mut self, change: Change, cause: ChangeCause, at_us: u64) {
        match change {
            Change::List(version) => self.newest.list = version,
            Change::Configuration(version) => self.newest.configuration = version,
        }
        let missing = self.nodes.iter().filter(|node| !node.has(change)).count();
        self.pending.push_back(Pending {
            change,
            cause,
            at_us,
            missing,
            last_us: at_us,
        });
        self.retire();
    }

    /// A node has these versions in force; one that is lower than before is no news.
    pub fn in_force(&mut self, node: usize, list: u64, configuration: u64, at_us: u64) {
        let had = self.nodes[node];
        let has = InForce {
            list: had.list.max(list),
            configuration: had.configuration.max(configuration),
        };
        self.nodes[node] = has;
        if has.list > 0 {
            if let Some(since) = self.starting.remove(&node) {
                self.started.push((node, at_us.saturating_sub(since)));
            }
        }
        for pending in &mut self.pending {
            if has.has(pending.change) && !had.has(pending.change) {
                pending.missing -= 1;
                pending.last_us = pending.last_us.max(at_us);
                let times = match pending.change {
                    Change::List(_) => &mut self.lists,
                    Change::Configuration(_) => &mut self.configurations,
                };
                if pending.cause == ChangeCause::Planned {
                    times
                        .to_each
                        .saturating_record(at_us.saturating_sub(pending.at_us));
                }
            }
        }
        self.retire();
    }

    /// Notes the times of changes that all nodes have.
    fn retire(&mut self) {
        let everywhere = |pending: &Pending| pending.missing == 0;
        while let Some(place) = self.pending.iter().position(everywhere) {
            let Some(pending) = self.pending.remove(place) else {
                return;
            };
            let took = pending.last_us - pending.at_us;
            match (pending.cause, pending.change) {
                (ChangeCause::Planned, Change::List(_)) => {
                    self.lists.to_last.saturating_record(took)
                }
                (ChangeCause::Planned, Change::Configuration(_)) => {
                    self.configurations.to_last.saturating_record(took);
                }
                (cause, _) => {
                    self.fault_times.insert(cause, took);
                }
            }
        }
    }

    /// Nodes that do not have the newest list and configuration in force.
    pub fn behind(&self) -> usize {
        let newest = self.newest;
        let current = |node: &&InForce| {
            node.has(Change::List(newest.list))
                && node.has(Change::Configuration(newest.configuration))
        };
        self.nodes.len() - self.nodes.iter().filter(current).count()
    }

    /// Nodes that were started and have no list yet.
    pub fn starting(&self) -> usize {
        self.starting.len()
    }

    /// Nodes that got their first list, each with its time since the start in microseconds; forgotten with this.
    pub fn take_started(&mut self) -> Vec<(usize, u64)> {
        std::mem::take(&mut self.started)
    }

    /// Times of the planned changes of the list.
    pub fn lists(&self) -> &Times {
        &self.lists
    }

    /// Times of the planned configurations.
    pub fn configurations(&self) -> &Times {
        &self.configurations
    }

    /// Microseconds from the change at this point of a fault to the last node that had it.
    pub fn fault_time(&self, cause: ChangeCause) -> Option<u64> {
        self.fault_times.get(&cause).copied()
    }
}

#[cfg(test)]
mod tests;
