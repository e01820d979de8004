//! What a scenario must hold beyond the types of its fields.

use super::{Fault, FaultKind, Fleet, Scenario};
use std::ops::RangeInclusive;
use thiserror::Error;

/// Nodes of a fleet.
const NODES: RangeInclusive<usize> = 1..=64;
/// Cache servers of a fleet.
const SERVERS: RangeInclusive<usize> = 1..=512;
/// Cores of a cache server.
const CORES: RangeInclusive<usize> = 1..=64;
/// The classes' shares may miss 1 by this much: they are written in decimals.
const SHARE_TOLERANCE: f64 = 1e-6;

/// A scenario that makes no sense.
#[derive(Debug)]
pub(super) struct InvalidScenario {
    /// The byte of its text where that shows.
    pub(super) offset: usize,
    /// Why.
    pub(super) problem: Problem,
}

/// Why a scenario makes no sense.
#[derive(Debug, Error)]
pub(super) enum Problem {
    #[error("a fleet has 1 to 64 nodes, 1 to 512 servers and 1 to 64 cores each, not {nodes}, {servers} and {cores}")]
    FleetSize {
        nodes: usize,
        servers: usize,
        cores: usize,
    },
    #[error("zones, database workers and keys cannot be none")]
    Nothing,
    #[error("the classes' shares add up to {0}, not to 1")]
    Shares(f64),
    #[error("at_s {at_s} lies past the scenario's {end_s} s")]
    FaultAfterEnd { at_s: f64, end_s: f64 },
    #[error("zone {zone:?} is none of {zones:?}")]
    UnknownZone { zone: String, zones: Vec<String> },
    #[error("server {server} is none of 0 to {last}")]
    UnknownServer { server: usize, last: usize },
    #[error("node {node} is none of 0 to {last}")]
    UnknownNode { node: usize, last: usize },
    #[error("a fault of kind {kind} needs {needs}")]
    FaultNeeds { kind: String, needs: &'static str },
}

impl Scenario {
    /// Checks what types alone do not say.
    pub(super) fn check(&self) -> Result<(), InvalidScenario> {
        self.check_fleet_and_load()
            .map_err(|problem| InvalidScenario { offset: 0, problem })?;
        for fault in &self.faults {
            self.check_fault(fault.get_ref())
                .map_err(|problem| InvalidScenario {
                    offset: fault.span().start,
                    problem,
                })?;
        }
        Ok(())
    }

    fn check_fleet_and_load(&self) -> Result<(), Problem> {
        let Fleet {
            nodes,
            servers,
            cores,
            ref zones,
            ..
        } = self.fleet;
        if !NODES.contains(&nodes) || !SERVERS.contains(&servers) || !CORES.contains(&cores) {
            return Err(Problem::FleetSize {
                nodes,
                servers,
                cores,
            });
        }
        if zones.is_empty() || self.database.workers == 0 || self.load.keys == 0 {
            return Err(Problem::Nothing);
        }
        let shares: f64 = self.classes.iter().map(|class| class.share.get()).sum();
        if (shares - 1.0).abs() > SHARE_TOLERANCE {
            return Err(Problem::Shares(shares));
        }
        Ok(())
    }

    fn check_fault(&self, fault: &Fault) -> Result<(), Problem> {
        let (at_s, end_s) = (fault.at_s.get(), self.seconds.get());
        if at_s > end_s {
            return Err(Problem::FaultAfterEnd { at_s, end_s });
        }
        self.check_fault_targets(fault)?;
        let needs = |needs| {
            let kind = serde_json::to_string(&fault.kind).unwrap_or_default();
            Err(Problem::FaultNeeds { kind, needs })
        };
        if fault.kind.targets_servers() && fault.target_servers(&self.fleet).is_empty() {
            return needs("servers or a zone");
        }
        if fault.kind.targets_nodes() && fault.nodes.is_empty() {
            return needs("nodes");
        }
        if matches!(fault.kind, FaultKind::Slow | FaultKind::DiscoveryLate) && fault.by.is_none() {
            return needs("by");
        }
        Ok(())
    }

    /// Checks that the zone, servers and nodes that a fault names are in the fleet.
    fn check_fault_targets(&self, fault: &Fault) -> Result<(), Problem> {
        let Fleet {
            nodes,
            servers,
            ref zones,
            ..
        } = self.fleet;
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !zones.contains(zone)) {
            return Err(Problem::UnknownZone {
                zone: zone.clone(),
                zones: zones.clone(),
            });
        }
        let targets = fault.target_servers(&self.fleet);
        if let Some(&server) = targets.iter().find(|&&server| server >= servers) {
            let last = servers - 1;
            return Err(Problem::UnknownServer { server, last });
        }
        if let Some(&node) = fault.nodes.iter().find(|&&node| node >= nodes) {
            let last = nodes - 1;
            return Err(Problem::UnknownNode { node, last });
        }
        Ok(())
    }
}
