//! Validation of a scenario beyond the types of its fields.

use super::{Fault, FaultKind, Fleet, Scenario};
use std::ops::RangeInclusive;
use thiserror::Error;

/// Allowed number of nodes in a fleet.
const NODES: RangeInclusive<usize> = 1..=64;
/// Allowed number of cache servers in a fleet.
const SERVERS: RangeInclusive<usize> = 1..=512;
/// Allowed number of cores of a cache server.
const CORES: RangeInclusive<usize> = 1..=64;
/// Tolerated deviation of the sum of class shares from 1: shares are decimal fractions.
const SHARE_TOLERANCE: f64 = 1e-6;

/// Validation error and its position in the scenario text.
#[derive(Debug)]
pub(super) struct InvalidScenario {
    /// Byte offset of the invalid part in the text.
    pub(super) offset: usize,
    /// Cause of the rejection.
    pub(super) problem: Problem,
}

/// Cause of the rejection of a scenario.
#[derive(Debug, Error)]
pub(super) enum Problem {
    #[error("fleet of {nodes} nodes and {servers} servers with {cores} cores each, expected 1 to 64 nodes, 1 to 512 servers and 1 to 64 cores")]
    FleetSize {
        nodes: usize,
        servers: usize,
        cores: usize,
    },
    #[error("zones, database workers and keys must each be at least 1")]
    ZeroCount,
    #[error("the class shares add up to {0}, expected 1")]
    Shares(f64),
    #[error("at_s {at_s} is after the end of the scenario at {end_s} s")]
    FaultAfterEnd { at_s: f64, end_s: f64 },
    #[error("unknown zone {zone:?}, expected one of {zones:?}")]
    UnknownZone { zone: String, zones: Vec<String> },
    #[error("unknown server {server}, expected 0 to {last}")]
    UnknownServer { server: usize, last: usize },
    #[error("unknown node {node}, expected 0 to {last}")]
    UnknownNode { node: usize, last: usize },
    #[error("a fault of kind {kind} requires {required}")]
    MissingField {
        kind: String,
        required: &'static str,
    },
}

impl Scenario {
    /// Checks the constraints that the field types do not express.
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
            return Err(Problem::ZeroCount);
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
        let missing = |required| {
            let kind = serde_json::to_string(&fault.kind).unwrap_or_default();
            Err(Problem::MissingField { kind, required })
        };
        if fault.kind.targets_servers() && fault.target_servers(&self.fleet).is_empty() {
            return missing("servers or a zone");
        }
        if fault.kind.targets_nodes() && fault.nodes.is_empty() {
            return missing("nodes");
        }
        if matches!(fault.kind, FaultKind::Slow | FaultKind::DiscoveryLate) && fault.by.is_none() {
            return missing("by");
        }
        Ok(())
    }

    /// Checks that the zone, servers and nodes of a fault exist in the fleet.
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
